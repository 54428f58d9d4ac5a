//! Grants the limits of one workspace in shares; runs at the home of the workspace.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use crate::{names::InstanceName, resources::WorkspaceLimits};

use super::{Demand, Share, ShareConfig, account::Account};

/// Tolerance for rounding errors in sums of rates, in requests per second.
const RATE_TOLERANCE: f64 = 1e-6;

/// Multiple of its demand that an instance is granted while the limit suffices for this multiple of
/// all demand.
const DEMAND_HEADROOM: f64 = 2.0;

/// Shares of the limits of one workspace, kept by its home.
///
/// A new home starts with a grace period in which it only renews the shares that instances report
/// to hold. If it has to reduce such a share because members are unreachable, it may grant it again
/// later. It grants more once all shares of the earlier home have expired. This assumes that the
/// earlier home stops within `view_lag`, since it has crashed or its view of the membership has
/// changed.
///
/// Requests in progress count against the concurrency until they are reported as ended, even after
/// the share that admitted them has expired. Requests at an instance that has never contacted a new
/// home can't be counted.
#[derive(Debug)]
pub struct ShareLedger {
    cfg: ShareConfig,
    limits: WorkspaceLimits,
    reachable: usize,
    known: usize,
    /// Members that can't be reached.
    unreachable: BTreeSet<InstanceName>,
    grace_until: Duration,
    accounts: BTreeMap<InstanceName, Account>,
    violations: u64,
}

impl ShareLedger {
    /// Creates the ledger of an instance that has just become the home.
    pub fn new(cfg: ShareConfig, limits: WorkspaceLimits, now: Duration) -> Self {
        let wait = cfg.policy.wait_for_old_shares;
        let grace = cfg.view_lag + cfg.valid_for + cfg.clock_slack;
        let grace = if wait { grace } else { Duration::ZERO };
        Self {
            cfg,
            limits,
            reachable: 1,
            known: 1,
            unreachable: BTreeSet::new(),
            grace_until: now + grace,
            accounts: BTreeMap::new(),
            violations: 0,
        }
    }

    /// Replaces the declared limits. Shares that were granted before stay in force until they
    /// expire.
    pub fn set_limits(&mut self, limits: WorkspaceLimits) {
        self.limits = limits;
    }

    /// Sets how many of the known members can be reached.
    ///
    /// The others may be on the other side of a network partition and have a home of their own, so
    /// only this side's fraction of the limit is granted.
    pub fn set_member_counts(&mut self, reachable: usize, known: usize) {
        self.reachable = reachable.max(1);
        self.known = known.max(self.reachable);
    }

    /// Sets which members can't be reached. The shares that they may hold count first against the
    /// fraction of the limit that is left to their side.
    pub fn set_unreachable<I>(&mut self, unreachable: I)
    where
        I: IntoIterator<Item = InstanceName>,
    {
        self.unreachable = unreachable.into_iter().collect();
    }

    /// Forgets an instance that is known to have stopped.
    pub fn remove_instance(&mut self, instance: &InstanceName) {
        self.accounts.remove(instance);
    }

    /// Records what an instance reports to hold, without granting it more.
    pub fn record_report(&mut self, now: Duration, instance: &InstanceName, demand: Demand) {
        let cfg = &self.cfg;
        let account = self.accounts.entry(instance.clone());
        account.or_insert_with(|| Account::new(demand)).observe(now, demand, cfg);
    }

    /// Ends the grace period early: every instance has reported what it holds, and accepts no more
    /// replies from an earlier home.
    pub fn end_grace_period(&mut self, now: Duration) {
        self.grace_until = self.grace_until.min(now);
    }

    /// Returns whether instances may hold shares of an earlier home that are unknown here.
    pub fn is_in_grace_period(&self, now: Duration) -> bool {
        now < self.grace_until
    }

    /// Grants an instance its share for a demand.
    pub fn grant(&mut self, now: Duration, instance: &InstanceName, demand: Demand) -> Share {
        let cfg = &self.cfg;
        self.accounts.retain(|_, account| account.expire(now, cfg));
        let (rate_before, concurrency_before) = self.total_shares();
        let mut account = self.accounts.remove(instance).unwrap_or_else(|| Account::new(demand));
        account.observe(now, demand, &self.cfg);
        let mut rate = self.rate_target(&demand).min(self.free_rate());
        let mut concurrency = self.concurrency_target(&demand).min(self.free_concurrency());
        if now < self.grace_until {
            rate = rate.min(account.confirmed_rate());
            concurrency = concurrency.min(account.confirmed_concurrency());
        }
        let valid_for = self.cfg.valid_for;
        let share = Share { ask: demand.ask, rate, concurrency, valid_for };
        account.add(now, share, &self.cfg);
        self.accounts.insert(instance.clone(), account);
        self.check_totals(rate_before, concurrency_before);
        share
    }

    /// Returns how often the shares that instances may hold have exceeded the limit. It must be
    /// zero.
    ///
    /// Reports of shares that two homes granted and that together exceed the limit count too.
    pub fn violations(&self) -> u64 {
        self.violations
    }

    fn check_totals(&mut self, rate_before: f64, concurrency_before: u32) {
        let (rate, concurrency) = self.total_shares();
        let rate_limit = f64::from(self.limits.requests_per_second).max(rate_before);
        let concurrency_limit = self.limits.concurrency.max(concurrency_before);
        if rate > rate_limit + RATE_TOLERANCE || concurrency > concurrency_limit {
            self.violations += 1;
        }
    }

    /// Returns the total rate and concurrency of the shares that instances may hold.
    fn total_shares(&self) -> (f64, u32) {
        let rate = self.accounts.values().map(Account::rate).sum();
        let concurrency = self.accounts.values().map(Account::shared_concurrency).sum();
        (rate, concurrency)
    }

    /// Returns the target rate of an instance: a floor, and a fraction of the rest by demand.
    fn rate_target(&self, demand: &Demand) -> f64 {
        let others: f64 = self.demands().map(|other| other.rate).sum();
        self.target(self.rate_limit(), demand.rate, others)
    }

    fn concurrency_target(&self, demand: &Demand) -> u32 {
        let others: u32 = self.demands().map(|other| other.concurrency).sum();
        let limit = f64::from(self.concurrency_limit());
        let target = self.target(limit, f64::from(demand.concurrency), f64::from(others)) as u32;
        // If the limit is below the number of instances, those with a demand get a slot each.
        target.max(demand.concurrency.min(1))
    }

    /// Returns the target of an instance out of a limit.
    ///
    /// While the limit suffices for twice all demand, it is a floor, twice the demand and an even
    /// fraction of what is left; else it is the floor and a fraction of the rest in proportion to
    /// demand.
    fn target(&self, limit: f64, demand: f64, others: f64) -> f64 {
        let floor = self.floor(limit);
        let instances = self.instances() as f64;
        let rest = limit - floor * instances;
        let wanted = DEMAND_HEADROOM * (demand + others);
        if wanted <= rest {
            return floor + DEMAND_HEADROOM * demand + (rest - wanted) / instances;
        }
        floor + rest * demand / (demand + others)
    }

    fn floor(&self, limit: f64) -> f64 {
        limit * self.cfg.floor_fraction / self.instances() as f64
    }

    /// Returns the number of instances that may send demands, including the one whose account is
    /// removed during a grant.
    fn instances(&self) -> usize {
        self.reachable.max(self.accounts.len() + 1)
    }

    /// Returns the number of instances that have sent no demand yet; their floor is reserved.
    fn instances_without_demand(&self) -> usize {
        self.instances() - self.accounts.len() - 1
    }

    fn demands(&self) -> impl Iterator<Item = &Demand> {
        self.accounts_of(false).filter_map(Account::demand)
    }

    /// Returns the accounts of the members that can't be reached, or those of all others.
    fn accounts_of(&self, unreachable: bool) -> impl Iterator<Item = &Account> {
        let accounts = self.accounts.iter();
        accounts
            .filter(move |(name, _)| self.unreachable.contains(*name) == unreachable)
            .map(|(_, account)| account)
    }

    /// Returns the rate that may still be granted out of this side's limit. It excludes the shares
    /// of reachable members, what unreachable members hold beyond the rest of the limit, and the
    /// floors reserved for instances that have sent no demand.
    fn free_rate(&self) -> f64 {
        let limit = self.rate_limit();
        let reserved = self.floor(limit) * self.instances_without_demand() as f64;
        let unreachable_limit = f64::from(self.limits.requests_per_second) - limit;
        let unreachable: f64 = self.accounts_of(true).map(Account::rate).sum();
        let reachable: f64 = self.accounts_of(false).map(Account::rate).sum();
        (limit - reachable - (unreachable - unreachable_limit).max(0.0) - reserved).max(0.0)
    }

    /// As [`Self::free_rate`], for the concurrency.
    fn free_concurrency(&self) -> u32 {
        let limit = self.concurrency_limit();
        let reserved = self.floor(f64::from(limit)) as u32 * self.instances_without_demand() as u32;
        let unreachable_limit = self.limits.concurrency - limit;
        let unreachable: u32 = self.accounts_of(true).map(Account::concurrency).sum();
        let reachable: u32 = self.accounts_of(false).map(Account::concurrency).sum();
        limit
            .saturating_sub(reachable)
            .saturating_sub(unreachable.saturating_sub(unreachable_limit))
            .saturating_sub(reserved)
    }

    /// Returns the requests per second that this side of a network partition may grant.
    fn rate_limit(&self) -> f64 {
        f64::from(self.limits.requests_per_second) * self.reachable_fraction()
    }

    /// Returns the concurrency that this side of a network partition may grant.
    fn concurrency_limit(&self) -> u32 {
        (f64::from(self.limits.concurrency) * self.reachable_fraction()) as u32
    }

    fn reachable_fraction(&self) -> f64 {
        if !self.cfg.policy.scale_by_reach {
            return 1.0;
        }
        self.reachable as f64 / self.known as f64
    }
}
