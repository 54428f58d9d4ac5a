//! Counts what one instance may hold of the limits of a workspace.

use std::time::Duration;

use super::{Demand, Share, ShareConfig};

/// A share that may have reached the instance.
#[derive(Clone, Copy, Debug)]
struct OutstandingShare {
    share: Share,
    expires: Duration,
}

/// Shares and requests of one instance, as its home has to count them.
///
/// A reply may be lost or late, so a share counts until it expires or the instance reports that it
/// holds a later one.
#[derive(Clone, Debug)]
pub(super) struct Account {
    demand: Demand,
    /// Share of an earlier home that the instance held when it first contacted this home.
    inherited: Option<Share>,
    outstanding: Vec<OutstandingShare>,
    /// Requests that may be in progress, under whichever share they were admitted.
    in_use: u32,
    /// Time at which the requests of a silent instance no longer count.
    in_use_expires: Duration,
}

impl Account {
    pub(super) fn new(demand: Demand) -> Self {
        Self {
            demand,
            inherited: demand.held,
            outstanding: Vec::new(),
            in_use: 0,
            in_use_expires: Duration::ZERO,
        }
    }

    /// Records a demand of the instance, and which share it holds.
    pub(super) fn observe(&mut self, now: Duration, demand: Demand, cfg: &ShareConfig) {
        self.in_use_expires = now + cfg.valid_for + cfg.clock_slack + cfg.drain_for;
        let held = demand.held.map_or(0, |share| share.concurrency);
        // A demand that arrives after a later one is outdated.
        if demand.ask < self.demand.ask {
            return;
        }
        self.demand = demand;
        self.in_use = if cfg.policy.count_in_use { demand.in_use.max(held) } else { 0 };
        let Some(share) = demand.held else { return };
        self.outstanding.retain(|outstanding| outstanding.share.ask >= share.ask);
        if !self.outstanding.iter().any(|outstanding| outstanding.share.ask == share.ask) {
            self.add(now, share, cfg);
        }
    }

    pub(super) fn add(&mut self, now: Duration, share: Share, cfg: &ShareConfig) {
        let expires = now + cfg.valid_for + cfg.clock_slack;
        self.outstanding.push(OutstandingShare { share, expires });
    }

    /// Drops expired shares. Returns false if the account no longer counts and can be removed.
    pub(super) fn expire(&mut self, now: Duration, cfg: &ShareConfig) -> bool {
        let expired = self.outstanding.iter().filter(|outstanding| outstanding.expires <= now);
        let in_use = expired.map(|outstanding| outstanding.share.concurrency).max();
        if cfg.policy.count_in_use {
            self.in_use = self.in_use.max(in_use.unwrap_or_default());
        }
        self.outstanding.retain(|outstanding| outstanding.expires > now);
        self.in_use_expires > now
    }

    /// Returns the rate that the instance may be granted while shares of an earlier home may be
    /// unknown.
    pub(super) fn confirmed_rate(&self) -> f64 {
        self.inherited.map_or(0.0, |share| share.rate).max(self.rate())
    }

    /// Returns the concurrency that the instance may be granted while shares of an earlier home may
    /// be unknown.
    pub(super) fn confirmed_concurrency(&self) -> u32 {
        self.inherited.map_or(0, |share| share.concurrency).max(self.concurrency())
    }

    /// Returns the requests per second that the instance may admit.
    pub(super) fn rate(&self) -> f64 {
        self.shares().map(|share| share.rate).fold(0.0, f64::max)
    }

    /// Returns the number of requests that the instance may have in progress.
    pub(super) fn concurrency(&self) -> u32 {
        self.shared_concurrency().max(self.in_use)
    }

    /// Returns the number of requests in progress that the shares of the instance allow.
    pub(super) fn shared_concurrency(&self) -> u32 {
        self.shares().map(|share| share.concurrency).max().unwrap_or_default()
    }

    /// Returns the latest demand of the instance; `None` if all its shares have expired.
    pub(super) fn demand(&self) -> Option<&Demand> {
        (!self.outstanding.is_empty()).then_some(&self.demand)
    }

    fn shares(&self) -> impl Iterator<Item = &Share> {
        self.outstanding.iter().map(|outstanding| &outstanding.share)
    }
}
