//! What one instance may hold of the limits of a workspace.

use std::time::Duration;

use super::{Demand, Share, ShareConfig};

/// A share that may have reached the instance.
#[derive(Clone, Copy, Debug)]
struct Outstanding {
    share: Share,
    expires: Duration,
}

/// What one instance may hold, as the home has to count it.
///
/// An answer may be lost or late, so a share counts until it runs out or the instance reports to
/// hold a later one.
#[derive(Clone, Debug)]
pub(super) struct Account {
    demand: Demand,
    /// Share of an old home that the instance held when this home first heard of it.
    inherited: Option<Share>,
    outstanding: Vec<Outstanding>,
    /// Requests that may be in progress, whatever share they were admitted under.
    in_use: u32,
    /// Time at which `in_use` counts no more.
    drained: Duration,
}

impl Account {
    pub(super) fn new(demand: Demand) -> Self {
        Self {
            demand,
            inherited: demand.held,
            outstanding: Vec::new(),
            in_use: 0,
            drained: Duration::ZERO,
        }
    }

    /// Takes a report of the instance.
    pub(super) fn observe(&mut self, now: Duration, demand: Demand, cfg: &ShareConfig) {
        self.drained = now + cfg.valid_for + cfg.clock_slack + cfg.drain_for;
        let held = demand.held.map_or(0, |share| share.concurrency);
        // An earlier question that arrives late tells nothing new.
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
        self.outstanding.push(Outstanding { share, expires });
    }

    /// Drops what has run out; returns whether anything still counts.
    pub(super) fn expire(&mut self, now: Duration, cfg: &ShareConfig) -> bool {
        let over = self.outstanding.iter().filter(|outstanding| outstanding.expires <= now);
        let in_use = over.map(|outstanding| outstanding.share.concurrency).max();
        if cfg.policy.count_in_use {
            self.in_use = self.in_use.max(in_use.unwrap_or_default());
        }
        self.outstanding.retain(|outstanding| outstanding.expires > now);
        self.drained > now
    }

    /// Rate that the instance may have again while shares of an old home may be unknown.
    pub(super) fn confirmed_rate(&self) -> f64 {
        self.inherited.map_or(0.0, |share| share.rate).max(self.rate())
    }

    /// Concurrency that the instance may have again while shares of an old home may be unknown.
    pub(super) fn confirmed_concurrency(&self) -> u32 {
        self.inherited.map_or(0, |share| share.concurrency).max(self.concurrency())
    }

    /// Requests a second that the instance may be using.
    pub(super) fn rate(&self) -> f64 {
        self.shares().map(|share| share.rate).fold(0.0, f64::max)
    }

    /// Requests that the instance may have in progress.
    pub(super) fn concurrency(&self) -> u32 {
        self.shared_concurrency().max(self.in_use)
    }

    /// Requests that its shares allow the instance to have in progress.
    pub(super) fn shared_concurrency(&self) -> u32 {
        self.shares().map(|share| share.concurrency).max().unwrap_or_default()
    }

    /// What the instance asked for; none when it has gone silent.
    pub(super) fn demand(&self) -> Option<&Demand> {
        (!self.outstanding.is_empty()).then_some(&self.demand)
    }

    fn shares(&self) -> impl Iterator<Item = &Share> {
        self.outstanding.iter().map(|outstanding| &outstanding.share)
    }
}
