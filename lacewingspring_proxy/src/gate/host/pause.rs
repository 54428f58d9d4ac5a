//! Notices that the process stood still.
//!
//! While a gate stands still, the other instances follow another one, which hands out limits. When
//! it goes on, it finds requests of its own callers before it finds that its links are closed.

use std::{sync::Arc, time::Duration};

use log::info;
use tokio::time::sleep;

use super::{GateHost, State};
use crate::{clock, replica::Topic};

/// Interval at which the process notes that it runs.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(50);

/// Longest time between two heartbeats in which no instance can have given this gate up; they wait
/// for 300 ms at least.
const MAX_PAUSE: Duration = Duration::from_millis(250);

/// Time after a pause until the ends of links and the messages of new ones have been read.
const SETTLE_TIME: Duration = Duration::from_millis(100);

/// When the process stood still.
#[derive(Debug, Default)]
pub(super) struct Pauses {
    /// Time of the last sign that the process runs; `None` before the first heartbeat.
    active_at: Option<Duration>,
    /// Time from which decisions are made again after the last pause.
    settled_at: Duration,
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
}

impl GateHost {
    /// Notes regularly that the process runs and who follows this gate. Never returns.
    pub async fn run_heartbeat(self: Arc<Self>) {
        loop {
            self.beat(clock::now());
            sleep(HEARTBEAT_INTERVAL).await;
        }
    }

    /// Notes that the process runs at `now`, and decides on the deferred requests that are due.
    pub fn beat(&self, now: Duration) {
        let orders_age = self.replicas.get(Topic::Declared).age(now);
        let mut state = self.state();
        state.deferral.record_heartbeat(now);
        state.pauses.active_at.get_or_insert(now);
        state.pauses.observe(now);
        if !state.pauses.is_settling(now)
            && let Some(at) = state.roster.majority_heard_at()
        {
            state.dispatcher.confirm_whole_fleet(at);
        }
        state.extend_roll_outs(now, orders_age);
        drop(state);
        self.request_order_confirmation(now);
        self.decide_deferred(now);
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
}
