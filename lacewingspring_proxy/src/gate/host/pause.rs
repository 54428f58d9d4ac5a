//! Notices that the process stood still, and defers slot requests until it is known who still
//! follows this gate.
//!
//! While a gate stands still, the other instances follow another one, which hands out limits. When
//! it goes on, it finds requests of its own callers before it finds that its links are closed.

use std::{sync::Arc, time::Duration};

use lacewingspring_core::dispatch::SlotRequest;
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

/// A slot request that arrived right after a pause.
#[derive(Debug)]
struct Deferred {
    link: u64,
    number: u64,
    request: SlotRequest,
    since: Duration,
}

/// When the process stood still.
#[derive(Debug, Default)]
pub(super) struct Pauses {
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

    /// Keeps a slot request until the gate has settled.
    pub(super) fn defer(&mut self, now: Duration, link: u64, number: u64, request: SlotRequest) {
        self.deferred.push(Deferred { link, number, request, since: now });
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
        state.pauses.active_at.get_or_insert(now);
        state.pauses.observe(now);
        if !state.pauses.is_settling(now)
            && let Some(at) = state.roster.majority_heard_at()
        {
            state.dispatcher.confirm_whole_fleet(at);
        }
        let due = state.pauses.take_due(now);
        drop(state);
        for Deferred { link, number, mut request, since } in due {
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

    /// Defers a slot request while the gate settles; returns it otherwise.
    pub(super) fn defer_while_settling(
        &mut self,
        now: Duration,
        link: u64,
        number: u64,
        request: SlotRequest,
    ) -> Option<SlotRequest> {
        if !self.pauses.is_settling(now) {
            return Some(request);
        }
        self.pauses.defer(now, link, number, request);
        self.send(link, FromGate::Queued { number });
        None
    }
}
