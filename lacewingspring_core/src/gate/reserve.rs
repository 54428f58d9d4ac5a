//! Slots reserved for the top tier, sized by its observed load (Little's law). The top tier is the
//! highest one that is not idle.

use std::{collections::BTreeMap, time::Duration};

/// Time constant of the exponential decay of the arrival count, in seconds.
const ARRIVAL_DECAY_SECONDS: f64 = 10.0;

/// Weight of a new sample in the moving average of the service time.
const SERVICE_TIME_WEIGHT: f64 = 0.1;

/// Offered load up to which a tier counts as idle, in slots.
const IDLE_LOAD_SLOTS: f64 = 0.05;

/// Slots reserved above the offered load, in standard deviations of a Poisson load.
const LOAD_DEVIATIONS: f64 = 2.0;

/// Largest fraction of all slots that is reserved for the top tier.
const MAX_RESERVED_FRACTION: f64 = 0.5;

/// Arrivals, service time, and runs of one tier.
#[derive(Debug, Default)]
struct TierLoad {
    recent_arrivals: f64,
    service_seconds: f64,
    updated_at: Duration,
    running: u32,
}

impl TierLoad {
    /// Returns the offered load: arrival rate times service time, in slots.
    fn offered(&self, now: Duration) -> f64 {
        let elapsed = now.saturating_sub(self.updated_at).as_secs_f64();
        let arrivals = self.recent_arrivals * (-elapsed / ARRIVAL_DECAY_SECONDS).exp();
        arrivals / ARRIVAL_DECAY_SECONDS * self.service_seconds
    }
}

/// Offered load by tier, and the reserved slots that follow from it.
#[derive(Debug, Default)]
pub(super) struct Reserve {
    tiers: BTreeMap<u8, TierLoad>,
    /// Rank of the top tier; `None` if all tiers are idle.
    top: Option<u8>,
    /// Number of slots reserved for the top tier, in use or not.
    slots: u32,
}

impl Reserve {
    /// Counts the arrival of a new request with its expected service time in seconds.
    pub fn arrived(&mut self, now: Duration, rank: u8, seconds: f64, total_slots: u32) {
        let tier = self.tiers.entry(rank).or_default();
        let elapsed = now.saturating_sub(tier.updated_at).as_secs_f64();
        tier.recent_arrivals =
            tier.recent_arrivals * (-elapsed / ARRIVAL_DECAY_SECONDS).exp() + 1.0;
        tier.updated_at = now;
        if tier.service_seconds == 0.0 {
            tier.service_seconds = seconds;
        } else {
            tier.service_seconds += SERVICE_TIME_WEIGHT * (seconds - tier.service_seconds);
        }
        self.refresh(now, total_slots);
    }

    /// Counts a run that starts.
    pub fn started(&mut self, rank: u8) {
        self.tiers.entry(rank).or_default().running += 1;
    }

    /// Counts a run that ended.
    pub fn ended(&mut self, rank: u8) {
        if let Some(tier) = self.tiers.get_mut(&rank) {
            tier.running = tier.running.saturating_sub(1);
        }
    }

    /// Recalculates the reserved slots; an idle tier gets none.
    pub fn refresh(&mut self, now: Duration, total_slots: u32) {
        let loads = self.tiers.iter().map(|(rank, tier)| (*rank, tier.offered(now)));
        let Some((rank, load)) = loads.into_iter().find(|(_, load)| *load > IDLE_LOAD_SLOTS) else {
            self.top = None;
            self.slots = 0;
            return;
        };
        let most = (f64::from(total_slots) * MAX_RESERVED_FRACTION).floor();
        self.top = Some(rank);
        self.slots = (load + LOAD_DEVIATIONS * load.sqrt()).ceil().min(most) as u32;
    }

    /// Returns the number of slots that requests of `rank` must leave free.
    pub fn slots_to_keep_free(&self, rank: u8) -> u32 {
        match self.top {
            Some(top) if rank > top => self.slots.saturating_sub(self.running(top)),
            _ => 0,
        }
    }

    /// Returns the number of slots reserved for the top tier, in use or not.
    pub fn slots(&self) -> u32 {
        self.slots
    }

    /// Returns the number of runs of a tier.
    pub fn running(&self, rank: u8) -> u32 {
        self.tiers.get(&rank).map_or(0, |tier| tier.running)
    }

    /// Returns whether a request of a lower tier runs.
    pub fn has_running_below(&self, rank: u8) -> bool {
        self.tiers.iter().rev().take_while(|(lower, _)| **lower > rank).any(|(_, t)| t.running > 0)
    }

    /// Returns whether a tier above `rank` has running requests or was the top tier with load at
    /// the last refresh.
    pub fn is_busy_above(&self, rank: u8) -> bool {
        self.top.is_some_and(|top| top < rank)
            || self.tiers.range(..rank).any(|(_, tier)| tier.running > 0)
    }
}
