//! Requests that name where they run: on one upstream, or on one that runs nothing else.
//!
//! They stand apart from the queue, so that work that may run anywhere never stands behind them.
//! At most one upstream at a time is kept for requests that run alone, from the time it drains until
//! the last of them ends. Waiting work of higher tiers goes before them.

use std::{collections::VecDeque, time::Duration};

use super::{
    Gate,
    run::Run,
    upstream::Need,
    view::Opening,
    work::{Decision, PermitRequest, Placement, Ticket},
};
use crate::{error::ErrorKind, names::UpstreamName};

/// Part of its longest wait after which a request that is to run alone yields to waiting work of
/// its own tier no more.
const ALONE_PATIENCE: f64 = 0.5;

/// A waiting request that names where it runs.
#[derive(Clone, Debug)]
struct WaitingPlaced {
    ticket: Ticket,
    ask: PermitRequest,
    deadline: Duration,
}

/// Upstream that is kept for a request which waits to run alone.
#[derive(Clone, Debug)]
struct Kept {
    ticket: Ticket,
    upstream: UpstreamName,
}

/// Waiting requests that name where they run, in the order of arrival.
#[derive(Debug, Default)]
pub(super) struct Placed {
    waiting: VecDeque<WaitingPlaced>,
    kept: Option<Kept>,
}

impl Placed {
    pub(super) fn contains(&self, ticket: Ticket) -> bool {
        self.waiting.iter().any(|waiting| waiting.ticket == ticket)
    }

    pub(super) fn push(&mut self, now: Duration, ticket: Ticket, ask: PermitRequest) {
        let deadline = now + ask.max_wait;
        self.waiting.push_back(WaitingPlaced { ticket, ask, deadline });
    }

    /// Returns the first of the highest tier that is to run alone.
    fn first_alone(&self) -> Option<&WaitingPlaced> {
        let alone = self.waiting.iter().filter(|w| w.ask.placement == Placement::Alone);
        alone.min_by_key(|waiting| waiting.ask.rank)
    }
}

impl Gate {
    /// Forgets a request that waits; false when it doesn't.
    pub(super) fn forget_placed(&mut self, ticket: Ticket) -> bool {
        let before = self.placed.waiting.len();
        self.placed.waiting.retain(|waiting| waiting.ticket != ticket);
        if self.placed.kept.as_ref().is_some_and(|kept| kept.ticket == ticket) {
            self.give_up_kept();
        }
        self.placed.waiting.len() < before
    }

    /// Keeps the upstream on which least runs free for the first request that is to run alone,
    /// unless one is kept or runs such a request.
    pub(super) fn reserve_for_alone(&mut self, now: Duration) {
        if self.placed.kept.as_ref().is_some_and(|kept| !self.is_healthy(&kept.upstream)) {
            self.give_up_kept();
        }
        if self.fleet.upstreams().iter().any(|upstream| upstream.reserved) {
            return;
        }
        let Some(first) = self.placed.first_alone().filter(|first| self.may_keep(now, first))
        else {
            return;
        };
        let ticket = first.ticket;
        let upstreams = self.fleet.upstreams().iter();
        let open = upstreams.filter(|upstream| !upstream.spec.leaving);
        let best = open.min_by_key(|upstream| (!upstream.is_healthy(), upstream.running));
        let Some(upstream) = best.map(|best| best.spec.name.clone()) else { return };
        if let Some(mut kept) = self.fleet.get_mut(&upstream) {
            kept.reserved = true;
        }
        self.placed.kept = Some(Kept { ticket, upstream });
    }

    /// Returns whether an upstream may be kept for a request: it takes the room of many, so what
    /// waits in higher tiers goes first, and for a while what waits in its own.
    fn may_keep(&self, now: Duration, waiting: &WaitingPlaced) -> bool {
        let patience = waiting.ask.max_wait.mul_f64(1.0 - ALONE_PATIENCE);
        let pressing = now + patience >= waiting.deadline;
        let highest = self.queue.ranks().first().copied();
        highest.is_none_or(|highest| {
            highest > waiting.ask.rank || (highest == waiting.ask.rank && pressing)
        })
    }

    /// Grants what the queue has left room for, and refuses what waited too long.
    pub(super) fn grant_placed(&mut self, now: Duration, decisions: &mut Vec<Decision>) {
        for waiting in self.placed.waiting.clone() {
            let ticket = waiting.ticket;
            if let Some(upstream) = self.place_of(now, &waiting) {
                self.placed.kept.take_if(|kept| kept.ticket == ticket);
                self.forget_placed(ticket);
                decisions.push(self.grant_on(now, waiting, upstream));
            } else if let Some(kind) = self.reason_to_refuse(now, &waiting) {
                self.forget_placed(ticket);
                decisions.push(Decision::Refused(ticket, kind, Duration::ZERO));
            }
        }
    }

    fn place_of(&self, now: Duration, waiting: &WaitingPlaced) -> Option<UpstreamName> {
        match &waiting.ask.placement {
            Placement::Any => None,
            Placement::On(name) => match self.fleet.get(name)?.view().opening {
                Opening::Slots(free) if free > 0 => Some(name.clone()),
                Opening::Probe(due) if now >= due => Some(name.clone()),
                _ => None,
            },
            Placement::Alone => {
                let kept = self.placed.kept.as_ref()?;
                let open = self.fleet.get(&kept.upstream)?.is_open_alone(now);
                (kept.ticket == waiting.ticket && open).then(|| kept.upstream.clone())
            }
        }
    }

    fn reason_to_refuse(&self, now: Duration, waiting: &WaitingPlaced) -> Option<ErrorKind> {
        let gone = match &waiting.ask.placement {
            Placement::On(name) => self.fleet.get(name).is_none(),
            Placement::Any | Placement::Alone => false,
        };
        if gone {
            return Some(ErrorKind::NoUpstream);
        }
        (now >= waiting.deadline).then_some(ErrorKind::DeadlineExceeded)
    }

    fn grant_on(&mut self, now: Duration, waiting: WaitingPlaced, name: UpstreamName) -> Decision {
        let WaitingPlaced { ticket, ask, .. } = waiting;
        let need = Need::new(&ask, self.fleet.is_long(&ask));
        self.reserve.started(ask.rank);
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        let load = match self.fleet.get_mut(&name) {
            Some(mut upstream) => {
                let load = upstream.start(&need, 0);
                upstream.start_probe(ticket);
                load
            }
            None => Default::default(),
        };
        let run = Run::granted(self.started_at(now), ask, name.clone(), load, sequence);
        self.runs.insert(ticket, run);
        Decision::Granted(ticket, name)
    }

    fn give_up_kept(&mut self) {
        let Some(kept) = self.placed.kept.take() else { return };
        if let Some(mut upstream) = self.fleet.get_mut(&kept.upstream) {
            upstream.reserved = false;
        }
    }

    fn is_healthy(&self, name: &UpstreamName) -> bool {
        self.fleet.get(name).is_some_and(|upstream| upstream.is_healthy())
    }
}
