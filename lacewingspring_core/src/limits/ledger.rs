//! The home's side of the limits of one workspace.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use crate::{names::InstanceName, resources::WorkspaceLimits};

use super::{Demand, Share, ShareConfig, account::Account};

/// Sums of rates may differ from the limit by this much, in requests a second.
const RATE_ERROR: f64 = 1e-6;

/// Times its demand that an instance may have while the limit is not used up.
const HEADROOM: f64 = 2.0;

/// Shares of the limits of one workspace, kept by its home.
///
/// A new home first only confirms what instances report to hold; what it takes back meanwhile,
/// since members could not be reached, it gives again. It gives out more when all that the old home
/// gave out has run out. This presumes that the old home stops within `view_lag`, since
/// it is dead or its view has changed.
///
/// Requests in progress count against the concurrency until they are reported as ended, also when
/// the share that admitted them has run out. Those of an instance that a new home has never heard
/// from can't be counted.
#[derive(Debug)]
pub struct ShareLedger {
    cfg: ShareConfig,
    limits: WorkspaceLimits,
    reachable: usize,
    known: usize,
    /// Members that can't be reached.
    away: BTreeSet<InstanceName>,
    quiet_until: Duration,
    accounts: BTreeMap<InstanceName, Account>,
    violations: u64,
}

impl ShareLedger {
    /// Creates the ledger of a home that has just taken its role.
    pub fn new(cfg: ShareConfig, limits: WorkspaceLimits, now: Duration) -> Self {
        let wait = cfg.policy.wait_for_old_shares;
        let quiet = cfg.view_lag + cfg.valid_for + cfg.clock_slack;
        let quiet = if wait { quiet } else { Duration::ZERO };
        Self {
            cfg,
            limits,
            reachable: 1,
            known: 1,
            away: BTreeSet::new(),
            quiet_until: now + quiet,
            accounts: BTreeMap::new(),
            violations: 0,
        }
    }

    /// Replaces the declared limits; shares in force run out first.
    pub fn set_limits(&mut self, limits: WorkspaceLimits) {
        self.limits = limits;
    }

    /// Notes how many of the known members can be reached.
    ///
    /// The others may be parted from here and have a home of their own, so only this side's part of
    /// the limit is given out.
    pub fn set_member_counts(&mut self, reachable: usize, known: usize) {
        self.reachable = reachable.max(1);
        self.known = known.max(self.reachable);
    }

    /// Notes which members can't be reached. What they may hold counts against the part of the limit
    /// that is left to them.
    pub fn set_unreachable<I>(&mut self, away: I)
    where
        I: IntoIterator<Item = InstanceName>,
    {
        self.away = away.into_iter().collect();
    }

    /// Forgets an instance that has surely stopped.
    pub fn remove_instance(&mut self, instance: &InstanceName) {
        self.accounts.remove(instance);
    }

    /// Takes what an instance reports to hold, without giving it more.
    pub fn record_report(&mut self, now: Duration, instance: &InstanceName, demand: Demand) {
        let cfg = &self.cfg;
        let account = self.accounts.entry(instance.clone());
        account.or_insert_with(|| Account::new(demand)).observe(now, demand, cfg);
    }

    /// Ends the wait for the shares of the old home: every instance has reported what it holds and
    /// takes no answer of an old home any more.
    pub fn end_grace_period(&mut self, now: Duration) {
        self.quiet_until = self.quiet_until.min(now);
    }

    /// Returns whether shares of an old home may be unknown.
    pub fn is_in_grace_period(&self, now: Duration) -> bool {
        now < self.quiet_until
    }

    /// Gives an instance its share.
    pub fn grant(&mut self, now: Duration, instance: &InstanceName, demand: Demand) -> Share {
        let cfg = &self.cfg;
        self.accounts.retain(|_, account| account.expire(now, cfg));
        let (rate_before, concurrency_before) = self.shared();
        let mut account = self.accounts.remove(instance).unwrap_or_else(|| Account::new(demand));
        account.observe(now, demand, &self.cfg);
        let mut rate = self.rate_target(&demand).min(self.free_rate());
        let mut concurrency = self.concurrency_target(&demand).min(self.free_concurrency());
        if now < self.quiet_until {
            rate = rate.min(account.confirmed_rate());
            concurrency = concurrency.min(account.confirmed_concurrency());
        }
        let valid_for = self.cfg.valid_for;
        let share = Share { ask: demand.ask, rate, concurrency, valid_for };
        account.add(now, share, &self.cfg);
        self.accounts.insert(instance.clone(), account);
        self.check(rate_before, concurrency_before);
        share
    }

    /// Returns how often the shares that instances may hold came to exceed the limit. It must be
    /// zero.
    ///
    /// It counts too when instances report shares of two homes that together exceed it.
    pub fn violations(&self) -> u64 {
        self.violations
    }

    fn check(&mut self, rate_before: f64, concurrency_before: u32) {
        let (rate, concurrency) = self.shared();
        let rate_limit = f64::from(self.limits.requests_per_second).max(rate_before);
        let concurrency_limit = self.limits.concurrency.max(concurrency_before);
        if rate > rate_limit + RATE_ERROR || concurrency > concurrency_limit {
            self.violations += 1;
        }
    }

    /// Returns the sums of the shares that instances may hold.
    fn shared(&self) -> (f64, u32) {
        let rate = self.accounts.values().map(Account::rate).sum();
        let concurrency = self.accounts.values().map(Account::shared_concurrency).sum();
        (rate, concurrency)
    }

    /// Rate for an instance: a floor, and the rest by demand.
    fn rate_target(&self, demand: &Demand) -> f64 {
        let others: f64 = self.demands().map(|other| other.rate).sum();
        self.target(self.rate_limit(), demand.rate, others)
    }

    fn concurrency_target(&self, demand: &Demand) -> u32 {
        let others: u32 = self.demands().map(|other| other.concurrency).sum();
        let limit = f64::from(self.concurrency_limit());
        let target = self.target(limit, f64::from(demand.concurrency), f64::from(others)) as u32;
        // A limit below the number of instances goes to those that need it.
        target.max(demand.concurrency.min(1))
    }

    /// A floor, twice the demand while that fits for all, and an even part of what is left; else the
    /// rest by demand.
    fn target(&self, limit: f64, demand: f64, others: f64) -> f64 {
        let floor = self.floor(limit);
        let instances = self.instances() as f64;
        let rest = limit - floor * instances;
        let wanted = HEADROOM * (demand + others);
        if wanted <= rest {
            return floor + HEADROOM * demand + (rest - wanted) / instances;
        }
        floor + rest * demand / (demand + others)
    }

    fn floor(&self, limit: f64) -> f64 {
        limit * self.cfg.floor_fraction / self.instances() as f64
    }

    /// Instances that may ask, this one included though it has no account at the moment.
    fn instances(&self) -> usize {
        self.reachable.max(self.accounts.len() + 1)
    }

    /// Instances that haven't asked yet and whose floor is kept free.
    fn absent(&self) -> usize {
        self.instances() - self.accounts.len() - 1
    }

    fn demands(&self) -> impl Iterator<Item = &Demand> {
        self.accounts_of(false).filter_map(Account::demand)
    }

    /// Accounts of the members that can't be reached, or of the others.
    fn accounts_of(&self, away: bool) -> impl Iterator<Item = &Account> {
        let accounts = self.accounts.iter();
        accounts.filter(move |(name, _)| self.away.contains(*name) == away).map(|(_, held)| held)
    }

    fn free_rate(&self) -> f64 {
        let limit = self.rate_limit();
        let kept = self.floor(limit) * self.absent() as f64;
        let lost = f64::from(self.limits.requests_per_second) - limit;
        let away: f64 = self.accounts_of(true).map(Account::rate).sum();
        let near: f64 = self.accounts_of(false).map(Account::rate).sum();
        (limit - near - (away - lost).max(0.0) - kept).max(0.0)
    }

    fn free_concurrency(&self) -> u32 {
        let limit = self.concurrency_limit();
        let kept = self.floor(f64::from(limit)) as u32 * self.absent() as u32;
        let lost = self.limits.concurrency - limit;
        let away: u32 = self.accounts_of(true).map(Account::concurrency).sum();
        let near: u32 = self.accounts_of(false).map(Account::concurrency).sum();
        limit.saturating_sub(near).saturating_sub(away.saturating_sub(lost)).saturating_sub(kept)
    }

    fn rate_limit(&self) -> f64 {
        f64::from(self.limits.requests_per_second) * self.reach()
    }

    fn concurrency_limit(&self) -> u32 {
        (f64::from(self.limits.concurrency) * self.reach()) as u32
    }

    fn reach(&self) -> f64 {
        if !self.cfg.policy.scale_by_reach {
            return 1.0;
        }
        self.reachable as f64 / self.known as f64
    }
}
