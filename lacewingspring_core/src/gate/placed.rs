//! Requests that name where they run: on one upstream, or on one that runs nothing else.
//!
//! They wait apart from the queue, so that requests that may run anywhere never wait behind them.
//! At most one upstream at a time is reserved for requests that run alone, from the time it drains
//! until the last of them ends. Queued requests of higher tiers go first.

use std::{collections::VecDeque, time::Duration};

use super::{
    Gate,
    run::Run,
    upstream::Demand,
    view::Availability,
    work::{Decision, PermitRequest, Placement, Ticket},
};
use crate::{error::ErrorKind, names::UpstreamName};

/// Fraction of its maximum wait after which a request that is to run alone no longer yields to
/// queued requests of its own tier.
const ALONE_YIELD_FRACTION: f64 = 0.5;

/// Waiting request that names where it runs.
#[derive(Clone, Debug)]
struct WaitingPlaced {
    ticket: Ticket,
    request: PermitRequest,
    deadline: Duration,
}

/// Reservation of an upstream for a request that waits to run alone.
#[derive(Clone, Debug)]
struct Reservation {
    ticket: Ticket,
    upstream: UpstreamName,
}

/// Waiting requests that name where they run, in the order of arrival.
#[derive(Debug, Default)]
pub(super) struct Placed {
    waiting: VecDeque<WaitingPlaced>,
    reservation: Option<Reservation>,
}

impl Placed {
    pub(super) fn contains(&self, ticket: Ticket) -> bool {
        self.waiting.iter().any(|waiting| waiting.ticket == ticket)
    }

    pub(super) fn push(&mut self, now: Duration, ticket: Ticket, request: PermitRequest) {
        let deadline = now + request.max_wait;
        self.waiting.push_back(WaitingPlaced { ticket, request, deadline });
    }

    /// Returns the first request of the highest tier that is to run alone.
    fn first_alone(&self) -> Option<&WaitingPlaced> {
        let alone = self.waiting.iter().filter(|w| w.request.placement == Placement::Alone);
        alone.min_by_key(|waiting| waiting.request.rank)
    }
}

impl Gate {
    /// Removes a waiting request; returns false if it does not wait.
    pub(super) fn remove_placed(&mut self, ticket: Ticket) -> bool {
        let before = self.placed.waiting.len();
        self.placed.waiting.retain(|waiting| waiting.ticket != ticket);
        if self.placed.reservation.as_ref().is_some_and(|held| held.ticket == ticket) {
            self.cancel_reservation();
        }
        self.placed.waiting.len() < before
    }

    /// Reserves the upstream with the fewest runs, a healthy one if possible, for the first request
    /// that is to run alone, unless an upstream is reserved for or runs such a request.
    pub(super) fn reserve_for_alone(&mut self, now: Duration) {
        if self.placed.reservation.as_ref().is_some_and(|held| !self.is_healthy(&held.upstream)) {
            self.cancel_reservation();
        }
        if self.fleet.upstreams().iter().any(|upstream| upstream.reserved) {
            return;
        }
        let Some(first) = self.placed.first_alone().filter(|first| self.may_reserve(now, first))
        else {
            return;
        };
        let ticket = first.ticket;
        let upstreams = self.fleet.upstreams().iter();
        let open = upstreams.filter(|upstream| !upstream.spec.leaving);
        let best = open.min_by_key(|upstream| (!upstream.is_healthy(), upstream.running));
        let Some(upstream) = best.map(|best| best.spec.name.clone()) else { return };
        if let Some(mut reserved) = self.fleet.get_mut(&upstream) {
            reserved.reserved = true;
        }
        self.placed.reservation = Some(Reservation { ticket, upstream });
    }

    /// Returns whether an upstream may be reserved for a request. A reservation takes the capacity
    /// of many requests, so queued requests of higher tiers go first, and for a part of the wait
    /// also those of the request's own tier.
    fn may_reserve(&self, now: Duration, waiting: &WaitingPlaced) -> bool {
        let urgent_time_left = waiting.request.max_wait.mul_f64(1.0 - ALONE_YIELD_FRACTION);
        let urgent = now + urgent_time_left >= waiting.deadline;
        let highest = self.queue.ranks().first().copied();
        highest.is_none_or(|highest| {
            highest > waiting.request.rank || (highest == waiting.request.rank && urgent)
        })
    }

    /// Grants permits where the queue left capacity, and refuses requests that waited too long.
    pub(super) fn grant_placed(&mut self, now: Duration, decisions: &mut Vec<Decision>) {
        for waiting in self.placed.waiting.clone() {
            let ticket = waiting.ticket;
            if let Some(upstream) = self.available_upstream(now, &waiting) {
                self.placed.reservation.take_if(|held| held.ticket == ticket);
                self.remove_placed(ticket);
                decisions.push(self.grant_on(now, waiting, upstream));
            } else if let Some(kind) = self.refusal_kind(now, &waiting) {
                self.remove_placed(ticket);
                decisions.push(Decision::Refused(ticket, kind, Duration::ZERO));
            }
        }
    }

    fn available_upstream(&self, now: Duration, waiting: &WaitingPlaced) -> Option<UpstreamName> {
        match &waiting.request.placement {
            Placement::Any => None,
            Placement::On(name) => match self.fleet.get(name)?.view().availability {
                Availability::Slots(free) if free > 0 => Some(name.clone()),
                Availability::Probe(due) if now >= due => Some(name.clone()),
                _ => None,
            },
            Placement::Alone => {
                let reservation = self.placed.reservation.as_ref()?;
                let open = self.fleet.get(&reservation.upstream)?.can_run_alone(now);
                (reservation.ticket == waiting.ticket && open).then(|| reservation.upstream.clone())
            }
        }
    }

    fn refusal_kind(&self, now: Duration, waiting: &WaitingPlaced) -> Option<ErrorKind> {
        let gone = match &waiting.request.placement {
            Placement::On(name) => self.fleet.get(name).is_none(),
            Placement::Any | Placement::Alone => false,
        };
        if gone {
            return Some(ErrorKind::NoUpstream);
        }
        (now >= waiting.deadline).then_some(ErrorKind::DeadlineExceeded)
    }

    fn grant_on(&mut self, now: Duration, waiting: WaitingPlaced, name: UpstreamName) -> Decision {
        let WaitingPlaced { ticket, request, .. } = waiting;
        let demand = Demand::new(&request, self.fleet.is_long(&request));
        self.reserve.started(request.rank);
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        let load = match self.fleet.get_mut(&name) {
            Some(mut upstream) => {
                let load = upstream.start(&demand, 0);
                upstream.start_probe(ticket);
                load
            }
            None => Default::default(),
        };
        let run = Run::granted(self.started_at(now), request, name.clone(), load, sequence);
        self.runs.insert(ticket, run);
        Decision::Granted(ticket, name)
    }

    fn cancel_reservation(&mut self) {
        let Some(reservation) = self.placed.reservation.take() else { return };
        if let Some(mut upstream) = self.fleet.get_mut(&reservation.upstream) {
            upstream.reserved = false;
        }
    }

    fn is_healthy(&self, name: &UpstreamName) -> bool {
        self.fleet.get(name).is_some_and(|upstream| upstream.is_healthy())
    }
}
