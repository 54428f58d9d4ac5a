//! What a gate publishes for the next one: the usage of limits, and the hand-over.

use std::{sync::Arc, time::Duration};

use lacewingspring_core::dispatch::{HandOver, StoredUsage};

use super::{FromGate, GateHost, Link};

/// Maximum number of links over which the usage of limits is sent, the longest open first.
const MAX_USAGE_RECEIVERS: usize = 10;

impl GateHost {
    /// Adds the usage of limits that an earlier gate stored.
    pub fn import_usage(&self, now: Duration, usage: &[StoredUsage]) {
        self.state().dispatcher.import_usage(now, Duration::ZERO, usage);
    }

    /// Returns whether so much of a limit was used that the usage must be published at once.
    pub fn is_usage_due(&self) -> bool {
        self.state().dispatcher.must_publish_usage()
    }

    /// Returns the usage of limits, and sends it to a few instances, which report it to the next
    /// gate.
    pub fn publish_usage(&self, now: Duration) -> Vec<StoredUsage> {
        let mut state = self.state();
        // What is reserved for missing instances ends with time.
        state.update_fleet_share(now);
        let usage = state.dispatcher.export_usage(now);
        let mut links: Vec<(&u64, &Link)> = state.links.iter().collect();
        links.sort_unstable_by_key(|(id, _)| **id);
        for (_, link) in links.into_iter().take(MAX_USAGE_RECEIVERS) {
            // A closed receiver means that the link is about to be removed.
            let _ = link.tx.send(FromGate::Usage(usage.clone()));
        }
        usage
    }

    /// Adds what an earlier gate stored.
    pub fn take_over(&self, now: Duration, hand_over: &HandOver) {
        self.state().dispatcher.take_over(now, Duration::ZERO, hand_over);
    }

    /// Returns what the next gate must know, besides the usage of limits.
    pub fn hand_over(&self, now: Duration) -> HandOver {
        self.state().dispatcher.hand_over(now)
    }

    /// Returns a number that changes when the next gate must know something else.
    pub fn hand_over_version(&self) -> u64 {
        self.state().dispatcher.hand_over_version()
    }

    /// Sends what the next gate must know to all instances, and returns it.
    pub fn publish_hand_over(&self, now: Duration) -> HandOver {
        let state = self.state();
        let hand_over = Arc::new(state.dispatcher.hand_over(now));
        for link in state.links.values() {
            // A closed receiver means that the link is about to be removed.
            let _ = link.tx.send(FromGate::HandOver(hand_over.clone()));
        }
        Arc::unwrap_or_clone(hand_over)
    }
}
