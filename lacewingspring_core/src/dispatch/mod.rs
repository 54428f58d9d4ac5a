//! Decides which requests are sent to which upstream, and when, for all services of a fleet.
//!
//! One instance at a time decides for the fleet; the others ask it. An instance that reaches only
//! a part of the fleet decides for that part and fills only its part of slots and limits.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

pub use self::{
    budget::RetryBound,
    quota::{Quota, QuotaBounds, StoredUsage},
    upstream::UpstreamInfo,
    work::{Decision, End, Grant, PromptPart, Reason, Refusal, SlotRequest, Ticket, Work},
};
use self::{
    budget::RetryBudgets, crash_history::Crashers, pool::Pool, quota::Quotas,
    refusal_history::Returns,
};
use crate::names::{ServiceName, UpstreamName, WorkspaceName};

mod budget;
mod crash_history;
mod pool;
mod queue;
mod quota;
mod refusal_history;
mod sizes;
mod upstream;
mod upstream_state;
mod work;

/// Time after which a request that crashes upstreams may be asked for again.
const HELD_RETRY: Duration = Duration::from_secs(5);

/// Part of a gate that decides for the whole fleet.
const WHOLE: f64 = 1.0;

/// Part of its share of workspaces' limits that a gate gives out which decides for a minority.
const MINORITY_PART: f64 = 0.5;

/// Time without the whole fleet in which no other gate takes over.
const SHORT_BREAK: Duration = Duration::from_millis(500);

/// What is declared for the fleet.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Limits {
    /// Limits of workspaces.
    pub quotas: QuotaBounds,
    /// Bound of repeated sends.
    pub retries: RetryBound,
}

/// What is kept of a request until its end.
#[derive(Debug)]
struct Open {
    service: ServiceName,
    fingerprint: u64,
    /// Time from which on it is late.
    late_at: Duration,
    /// Units taken from the limit of its workspace; given back when it isn't sent.
    charge: Option<Charge>,
}

/// Units that a request took from the limit of its workspace.
#[derive(Debug)]
struct Charge {
    ticket: Ticket,
    workspace: WorkspaceName,
    units: u64,
}

/// Counts of one service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServiceCounts {
    /// Requests that wait for a slot.
    pub waiting: usize,
    /// Requests that hold a slot.
    pub running: usize,
}

/// Decides for all services.
#[derive(Debug)]
pub struct Dispatcher {
    pools: BTreeMap<ServiceName, Pool>,
    open: HashMap<Ticket, Open>,
    quotas: Quotas,
    retries: RetryBudgets,
    crashers: Crashers,
    returns: Returns,
    part: f64,
    /// Last time at which it decided for the whole fleet and ceased to.
    whole_until: Option<Duration>,
}

impl Default for Dispatcher {
    fn default() -> Self {
        Self {
            pools: BTreeMap::new(),
            open: HashMap::new(),
            quotas: Quotas::default(),
            retries: RetryBudgets::default(),
            crashers: Crashers::default(),
            returns: Returns::default(),
            part: 0.0,
            whole_until: None,
        }
    }
}

impl Dispatcher {
    /// Replaces the known upstreams and sends what waits for them.
    pub fn set_upstreams<I>(&mut self, now: Duration, upstreams: I) -> Vec<Decision>
    where
        I: IntoIterator<Item = UpstreamInfo>,
    {
        let mut by_service: BTreeMap<ServiceName, Vec<UpstreamInfo>> = BTreeMap::new();
        for info in upstreams {
            by_service.entry(info.service.clone()).or_default().push(info);
        }
        for service in self.pools.keys() {
            by_service.entry(service.clone()).or_default();
        }
        for (service, infos) in by_service {
            self.pools.entry(service).or_default().set_upstreams(infos);
        }
        self.tick(now)
    }

    /// Replaces the declared limits.
    pub fn set_limits(&mut self, limits: Limits) {
        self.retries.bound = limits.retries;
        self.quotas.set(limits.quotas);
    }

    /// Learns what an earlier gate gave out of limits, `age` ago.
    pub fn learn_usage(&mut self, now: Duration, age: Duration, usage: &[StoredUsage]) {
        self.quotas.learn(now, age, usage);
    }

    /// Returns whether so much was given out of a limit that it is to be told at once.
    pub fn must_publish_usage(&self) -> bool {
        self.quotas.must_tell()
    }

    /// Returns what was given out of limits, for a later gate.
    pub fn usage(&mut self, now: Duration) -> Vec<StoredUsage> {
        self.quotas.given_out(now)
    }

    /// Sets the part of all slots and limits that may be used here, from 0 to 1.
    ///
    /// When it becomes the whole, another gate may have given out limits until now.
    pub fn set_fleet_fraction(&mut self, now: Duration, fraction: f64) -> Vec<Decision> {
        let was_whole = self.part >= WHOLE;
        if was_whole && fraction < WHOLE {
            self.whole_until = Some(now);
        }
        if !was_whole && fraction >= WHOLE && !self.was_whole_lately(now) {
            self.quotas.restart(now);
        }
        self.part = fraction.clamp(0.0, 1.0);
        self.tick(now)
    }

    fn was_whole_lately(&self, now: Duration) -> bool {
        self.whole_until.is_some_and(|until| now.saturating_sub(until) < SHORT_BREAK)
    }

    /// Returns the part of workspaces' limits that may be given out here.
    ///
    /// The rest of the fleet may take those that are here for gone and use the whole limits.
    fn quota_part(&self) -> f64 {
        if self.part >= WHOLE { WHOLE } else { self.part * MINORITY_PART }
    }

    /// Returns the part of all slots and limits that may be used here.
    pub fn fleet_fraction(&self) -> f64 {
        self.part
    }

    /// Takes a request for a slot.
    pub fn request_slot(
        &mut self,
        now: Duration,
        ticket: Ticket,
        mut ask: SlotRequest,
    ) -> Vec<Decision> {
        let charge = match self.charge(now, ticket, &ask) {
            Ok(charge) => charge,
            Err(refusal) => return vec![Decision::Refused(ticket, refusal)],
        };
        if let Some(late_at) = self.returns.late_at(ask.fingerprint) {
            ask.target_left = ask.target_left.min(late_at.saturating_sub(now));
        }
        let open = Open {
            service: ask.service.clone(),
            fingerprint: ask.fingerprint,
            late_at: now + ask.target_left,
            charge,
        };
        let pool = self.pools.entry(ask.service.clone()).or_default();
        self.open.insert(ticket, open);
        let decisions = pool.ask(now, self.part, ticket, ask);
        self.close_refused(now, decisions)
    }

    /// Takes what a request costs of limits and budgets.
    fn charge(
        &mut self,
        now: Duration,
        ticket: Ticket,
        ask: &SlotRequest,
    ) -> Result<Option<Charge>, Refusal> {
        if self.crashers.is_held(now, ask.fingerprint) {
            return Err(Refusal::new(Reason::Crashes, HELD_RETRY));
        }
        if ask.sends > 0 {
            let is_allowed = self.retries.take(now, self.part, &ask.service);
            let refusal = Refusal::new(Reason::RetryBudget, ask.time_left / 3);
            return if is_allowed { Ok(None) } else { Err(refusal) };
        }
        self.retries.count_fresh(now, &ask.service);
        let Some(workspace) = &ask.workspace else { return Ok(None) };
        let charge = Charge { ticket, workspace: workspace.clone(), units: ask.charge };
        let taken = self.quotas.take(now, self.quota_part(), &charge);
        taken.map_err(|retry_after| Refusal::new(Reason::Limit, retry_after))?;
        Ok(Some(charge))
    }

    /// Counts a request that runs by the grant of another gate.
    pub fn adopt(
        &mut self,
        now: Duration,
        ticket: Ticket,
        ask: &SlotRequest,
        upstream: UpstreamName,
    ) {
        let open = Open {
            service: ask.service.clone(),
            fingerprint: ask.fingerprint,
            late_at: now + ask.target_left,
            charge: None,
        };
        self.open.insert(ticket, open);
        let pool = self.pools.entry(ask.service.clone()).or_default();
        pool.adopt(now, ticket, upstream, &ask.work);
    }

    /// Notes the first event of a run, `took` after its send.
    pub fn first_output(&mut self, ticket: Ticket, took: Duration) {
        let Some(open) = self.open.get(&ticket) else { return };
        if let Some(pool) = self.pools.get_mut(&open.service) {
            pool.first_output(ticket, took);
        }
    }

    /// Ends a request, whether it waits or runs.
    pub fn end(&mut self, now: Duration, ticket: Ticket, end: End) -> Vec<Decision> {
        let Some(open) = self.open.remove(&ticket) else { return Vec::new() };
        match end {
            End::Broken => self.crashers.broke(now, open.fingerprint),
            End::Finished { .. } | End::Failed => self.crashers.ran(open.fingerprint),
            End::Declined | End::Unreachable | End::Misdirected | End::Leaving | End::Cancelled => {
            }
        }
        let Some(pool) = self.pools.get_mut(&open.service) else { return Vec::new() };
        let is_unsent = matches!(end, End::Unreachable | End::Misdirected | End::Leaving);
        if let Some(charge) = &open.charge
            && (is_unsent || !pool.is_running(ticket))
        {
            self.quotas.give_back(charge);
        }
        let decisions = pool.end(now, self.part, ticket, end);
        self.close_refused(now, decisions)
    }

    /// Ends all requests of an instance that is gone.
    pub fn end_link(&mut self, now: Duration, link: u64) -> Vec<Decision> {
        self.open.retain(|ticket, _| ticket.link != link);
        for pool in self.pools.values_mut() {
            pool.end_link(now, link);
        }
        self.tick(now)
    }

    /// Gives up what waited too long and sends what has room by now.
    pub fn tick(&mut self, now: Duration) -> Vec<Decision> {
        let part = self.part;
        let decisions = self.pools.values_mut().flat_map(|pool| pool.fill(now, part)).collect();
        self.close_refused(now, decisions)
    }

    fn close_refused(&mut self, now: Duration, decisions: Vec<Decision>) -> Vec<Decision> {
        for decision in &decisions {
            if let Decision::Refused(ticket, _) = decision
                && let Some(open) = self.open.remove(ticket)
            {
                self.returns.refused(now, open.fingerprint, open.late_at);
                if let Some(charge) = &open.charge {
                    self.quotas.give_back(charge);
                }
            }
        }
        decisions
    }

    /// Returns whether any request waits.
    pub fn is_waiting(&self) -> bool {
        self.pools.values().any(|pool| pool.waiting() > 0)
    }

    /// Returns the counts of each service.
    pub fn counts(&self) -> impl Iterator<Item = (&ServiceName, ServiceCounts)> {
        self.pools.iter().map(|(service, pool)| {
            (service, ServiceCounts { waiting: pool.waiting(), running: pool.running() })
        })
    }
}
