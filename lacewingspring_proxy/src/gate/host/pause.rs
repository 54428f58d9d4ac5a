//! Notices that the process stood still, and defers slot requests until it is known who still
//! follows this gate.
//!
//! While a gate stands still, the other instances follow another one, which hands out limits. When
//! it goes on, it finds requests of its own callers before it finds that its links are closed.
//!
//! A process that just started decides for its own callers until it is linked to the gate, and knows
//! nothing of the usage of limits. A gate of a minority hands out a part of each limit, which grows
//! while instances that start again link to it. Neither refuses for a limit at once.

use std::{sync::Arc, time::Duration};

use lacewingspring_core::dispatch::{SlotRequest, Ticket};
use log::info;
use tokio::time::sleep;

use super::{FromGate, GateHost, State};
use crate::clock;

/// Interval at which the process notes that it runs.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(50);

/// Longest time between two heartbeats in which no instance can have given this gate up; they wait
/// for 300 ms at least.
const MAX_PAUSE: Duration = Duration::from_millis(250);

/// Time after a pause until the ends of links and the messages of new ones have been read.
const SETTLE_TIME: Duration = Duration::from_millis(100);

/// Longest time for which a slot request is deferred: a process that gets too little processor time
/// pauses again and again.
const MAX_DEFERRAL: Duration = Duration::from_millis(300);

/// Time after the start of the process, or after an instance linked to the gate of a minority, in
/// which further instances may link, or the usage of limits be loaded.
const JOIN_TIME: Duration = Duration::from_millis(300);

/// A slot request that arrived right after a pause or the start.
#[derive(Debug)]
struct Deferred {
    link: u64,
    number: u64,
    request: SlotRequest,
    since: Duration,
}

/// When the process started and stood still.
#[derive(Debug, Default)]
pub(super) struct Pauses {
    /// Time of the first heartbeat; `None` before it.
    started_at: Option<Duration>,
    /// Time at which an instance linked last; `None` before the first.
    linked_at: Option<Duration>,
    /// Time of the last sign that the process runs; `None` before the first heartbeat.
    active_at: Option<Duration>,
    /// Time from which decisions are made again after the last pause.
    settled_at: Duration,
    deferred: Vec<Deferred>,
}

impl Pauses {
    /// Notes that the process runs at `now`.
    pub(super) fn observe(&mut self, now: Duration) {
        let Some(active_at) = self.active_at.as_mut() else { return };
        let pause = now.saturating_sub(*active_at);
        *active_at = now.max(*active_at);
        if pause > MAX_PAUSE {
            self.settled_at = now + SETTLE_TIME;
            info!(
                pause_ms = pause.as_millis() as u64;
                "The process stood still; the gate waits until it knows its links."
            );
        }
    }

    /// Returns whether it is not known yet who still follows this gate.
    pub(super) fn is_settling(&self, now: Duration) -> bool {
        now < self.settled_at
    }

    /// Notes that an instance linked.
    pub(super) fn record_link(&mut self, now: Duration) {
        self.linked_at = Some(now);
    }

    /// Returns whether the process has just started.
    fn is_starting(&self, now: Duration) -> bool {
        self.started_at.is_some_and(|at| now.saturating_sub(at) < JOIN_TIME)
    }

    /// Returns whether an instance has just linked.
    fn is_joined(&self, now: Duration) -> bool {
        self.linked_at.is_some_and(|at| now.saturating_sub(at) < JOIN_TIME)
    }

    /// Removes a deferred request; returns whether there was one.
    pub(super) fn remove(&mut self, link: u64, number: u64) -> bool {
        let before = self.deferred.len();
        self.deferred.retain(|deferred| (deferred.link, deferred.number) != (link, number));
        self.deferred.len() < before
    }

    /// Removes the requests that are to be decided on: all once the gate has settled, else those
    /// that were deferred for too long.
    fn take_due(&mut self, now: Duration) -> Vec<Deferred> {
        let is_settled = !self.is_settling(now);
        let is_due = |deferred: &mut Deferred| {
            is_settled || now.saturating_sub(deferred.since) >= MAX_DEFERRAL
        };
        self.deferred.extract_if(.., is_due).collect()
    }

    /// Removes the deferred requests of a link.
    pub(super) fn end_link(&mut self, link: u64) {
        self.deferred.retain(|deferred| deferred.link != link);
    }
}

impl GateHost {
    /// Notes regularly that the process runs and who follows this gate. Never returns.
    pub async fn run_heartbeat(self: Arc<Self>) {
        loop {
            self.beat(clock::now());
            sleep(HEARTBEAT_INTERVAL).await;
        }
    }

    /// Notes that the process runs at `now`, and decides on the requests that were deferred after a
    /// pause once it is over.
    pub fn beat(&self, now: Duration) {
        let mut state = self.state();
        state.pauses.started_at.get_or_insert(now);
        state.pauses.active_at.get_or_insert(now);
        state.pauses.observe(now);
        if !state.pauses.is_settling(now)
            && let Some(at) = state.roster.majority_heard_at()
        {
            state.dispatcher.confirm_whole_fleet(at);
        }
        let due = state.pauses.take_due(now);
        drop(state);
        for deferred in due {
            let mut state = self.state();
            if state.must_wait_for_usage(now, &deferred) {
                state.pauses.deferred.push(deferred);
                continue;
            }
            drop(state);
            let Deferred { link, number, mut request, since } = deferred;
            request.shorten_times(now.saturating_sub(since));
            self.decide(now, link, number, request);
        }
    }

    /// Notes that the instance at the other end of a link runs.
    pub fn hear(&self, now: Duration, link: u64) {
        self.state().hear(now, link);
    }
}

impl State {
    /// Notes a message on a link. Those that are read right after a pause may be older than it.
    pub(super) fn hear(&mut self, now: Duration, link: u64) {
        self.pauses.observe(now);
        let instance = self.links.get(&link).and_then(|link| link.instance.as_ref());
        if let Some(instance) = instance.filter(|_| !self.pauses.is_settling(now)) {
            self.roster.hear(now, instance);
        }
    }

    /// Returns whether a request would be refused for a limit of which more may soon be handed out
    /// here, and has not been deferred for too long.
    fn must_wait_for_usage(&mut self, now: Duration, deferred: &Deferred) -> bool {
        let Deferred { link, number, ref request, since } = *deferred;
        let is_growing = self.pauses.is_joined(now) && !self.dispatcher.fleet_share().is_majority();
        (is_growing || self.pauses.is_starting(now))
            && now.saturating_sub(since) < MAX_DEFERRAL
            && self.dispatcher.is_over_limit(now, Ticket { link, number }, request)
    }

    /// Defers a slot request while the gate settles, or if it must wait for the usage of a limit;
    /// returns it otherwise.
    pub(super) fn defer_if_unsettled(
        &mut self,
        now: Duration,
        link: u64,
        number: u64,
        request: SlotRequest,
    ) -> Option<SlotRequest> {
        let deferred = Deferred { link, number, request, since: now };
        if !self.pauses.is_settling(now) && !self.must_wait_for_usage(now, &deferred) {
            return Some(deferred.request);
        }
        self.pauses.deferred.push(deferred);
        self.send(link, FromGate::Queued { number });
        None
    }
}
