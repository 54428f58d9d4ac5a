//! Decides which requests are sent to which upstream, and when, for all services of a fleet.
//!
//! One instance at a time, the gate, decides for the fleet; the other instances request slots from
//! it. An instance that reaches only a part of the fleet decides for that part and uses only the
//! corresponding fraction of slots and limits.
//!
//! This gate is a role among the instances of the proxy. The gate of an engine pool, which grants
//! permits, is in [`crate::gate`].

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
    time::Duration,
};

use self::{
    broken_runs::BrokenRuns,
    budget::RetryBudgets,
    crashes::Crashes,
    link_paths::LinkPaths,
    open_request::{Charge, OpenRequest},
    pool::{CircuitChange, Pool},
    quota::Quotas,
    refusal_history::RefusalHistory,
    resumptions::Resumptions,
    workspace_shares::ShareConfig,
};
pub use self::{
    budget::RetryBound,
    finding::Finding,
    fleet_share::{FleetRoster, FleetShare, RegisteredInstance},
    hand_over::{BlockedParts, BlockedRequest, CrashedPart, HandOver, UpstreamLimit},
    known_streams::{KnownStream, KnownStreams, ServedVersion, StreamGroup, UpstreamProcess},
    quota::{Quota, QuotaBounds, StoredUsage},
    reported_load::{LoadReports, UpstreamLoad},
    upstream::UpstreamInfo,
    work::{
        Decision, End, Grant, PromptPart, Reason, Refusal, SlotRequest, StreamRef, Ticket, Work,
    },
    workspace_shares::ShareUse,
};
pub use self::{roll_outs::BarredVersions, version_choice::VersionUse};
use crate::names::{ServiceName, UpstreamName, WorkspaceName};

mod brittle;
mod broken_runs;
mod budget;
mod crash_events;
mod crash_history;
mod crashes;
mod crashing_parts;
mod finding;
mod fleet_share;
mod forgotten_versions;
mod hand_over;
mod known_streams;
mod link_paths;
mod open_request;
mod pool;
mod queue;
mod quota;
mod rate_limits;
mod recent_parts;
mod refusal_history;
mod reported_load;
mod reports;
mod resumptions;
mod roll_outs;
mod served_versions;
mod shares;
mod sizes;
mod stream_versions;
mod streams;
mod unframed_ends;
mod upstream;
mod upstream_state;
mod version_choice;
mod version_samples;
mod work;
mod workspace_shares;

/// Longest interruption of the control over the whole fleet during which no other gate can have
/// taken over.
const MAX_INTERRUPTION: Duration = Duration::from_millis(500);

/// Limits declared for the fleet.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Limits {
    /// Usage limits of the workspaces.
    pub quotas: QuotaBounds,
    /// Limit on repeated sends.
    pub retries: RetryBound,
}

/// Request counts of one service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServiceCounts {
    /// Requests that wait for a slot.
    pub waiting: usize,
    /// Requests that hold a slot.
    pub running: usize,
}

/// Schedules the requests of all services onto their upstreams.
#[derive(Debug, Default)]
pub struct Dispatcher {
    pools: BTreeMap<ServiceName, Pool>,
    open: HashMap<Ticket, OpenRequest>,
    quotas: Quotas,
    retries: RetryBudgets,
    crashes: Crashes,
    resumptions: Resumptions,
    link_paths: LinkPaths,
    broken_runs: BrokenRuns,
    findings: Vec<Finding>,
    refusals: RefusalHistory,
    /// Part of the fleet's slots and limits that may be used here.
    fleet_share: FleetShare,
    /// Latest time at which it was known to decide for the whole fleet.
    whole_fleet_at: Option<Duration>,
    /// Weights of the workspaces in each service.
    share_config: Arc<ShareConfig>,
}

impl Dispatcher {
    /// Replaces the known upstreams and dispatches waiting requests to those that have free slots.
    pub fn set_upstreams<I>(&mut self, now: Duration, upstreams: I) -> Vec<Decision>
    where
        I: IntoIterator<Item = UpstreamInfo>,
    {
        let upstreams: Vec<UpstreamInfo> = upstreams.into_iter().collect();
        self.resumptions.set_upstreams(now, &upstreams);
        let mut by_service: BTreeMap<ServiceName, Vec<UpstreamInfo>> = BTreeMap::new();
        for info in upstreams {
            by_service.entry(info.service.clone()).or_default().push(info);
        }
        for service in self.pools.keys() {
            by_service.entry(service.clone()).or_default();
        }
        for (service, infos) in by_service {
            self.pool(&service).set_upstreams(infos);
        }
        self.tick(now)
    }

    /// Replaces the declared limits.
    pub fn set_limits(&mut self, limits: Limits) {
        self.retries.bound = limits.retries;
        self.quotas.set_bounds(limits.quotas);
        self.update_weights();
    }

    /// Replaces the declared limit of one workspace; returns whether it was another one.
    pub fn set_quota(&mut self, workspace: &WorkspaceName, quota: Quota) -> bool {
        let is_changed = self.quotas.set_quota(workspace, quota);
        if is_changed {
            self.update_weights();
        }
        is_changed
    }

    /// Imports the usage that an earlier gate published `age` ago.
    pub fn import_usage(&mut self, now: Duration, age: Duration, usage: &[StoredUsage]) {
        self.quotas.import_usage(now, age, usage);
    }

    /// Returns what the next gate must know, besides the usage of limits.
    pub fn hand_over(&self, now: Duration) -> HandOver {
        let limits = self.pools.iter().flat_map(|(service, pool)| pool.rate_limits.export(service));
        let mut hand_over = HandOver { rate_limits: limits.collect(), ..HandOver::default() };
        self.crashes.export(now, &mut hand_over);
        hand_over
    }

    /// Returns a number that changes when the next gate must know something else.
    pub fn hand_over_version(&self) -> u64 {
        let limits = self.pools.values().map(|pool| pool.rate_limits.version());
        self.crashes.version() + limits.sum::<u64>()
    }

    /// Adds what an earlier gate handed over `age` ago.
    pub fn take_over(&mut self, now: Duration, age: Duration, hand_over: &HandOver) {
        self.crashes.take_over(now, age, hand_over);
        for limit in &hand_over.rate_limits {
            let pool = self.pool(&limit.service);
            pool.rate_limits.import(now, limit);
        }
    }

    /// Returns whether so much usage is unpublished that it must be published at once.
    pub fn must_publish_usage(&self) -> bool {
        self.quotas.must_publish()
    }

    /// Exports the current usage of the workspace limits for a later gate, and marks it as
    /// published.
    pub fn export_usage(&mut self, now: Duration) -> Vec<StoredUsage> {
        self.quotas.export_usage(now)
    }

    /// Sets the part of all slots and limits that may be used here.
    ///
    /// If it becomes that of a majority and was not known to be within the last `MAX_INTERRUPTION`,
    /// or of a minority after it was nothing, another gate may have handed out limits until now.
    /// Waiting requests get further slots at the next tick: a gate that takes over gets a larger
    /// share with each instance that links to it.
    pub fn set_fleet_share(&mut self, now: Duration, share: FleetShare) {
        let before = std::mem::replace(&mut self.fleet_share, share);
        if share.is_majority() != before.is_majority() {
            self.resumptions.outdate_recorded();
        }
        self.resumptions.set_sees_all(share.has_all_limits());
        let begins = before.slots <= 0.0 || (share.is_majority() && !before.is_majority());
        if begins && share.slots > 0.0 && !self.had_whole_fleet_recently(now) {
            self.quotas.begin(now);
        }
        self.quotas.set_share(share, self.whole_fleet_at.unwrap_or(now));
        for pool in self.pools.values_mut() {
            pool.fleet_share = share;
        }
    }

    /// Records that more than half of the fleet was linked at the time `at`.
    ///
    /// A gate notices only later that it was cut off or stood still, and that others followed
    /// another gate meanwhile. So its role ends when it was last confirmed.
    pub fn confirm_whole_fleet(&mut self, at: Duration) {
        if self.fleet_share.is_majority() {
            self.whole_fleet_at = self.whole_fleet_at.max(Some(at));
        }
    }

    fn had_whole_fleet_recently(&self, now: Duration) -> bool {
        self.whole_fleet_at.is_some_and(|at| now.saturating_sub(at) < MAX_INTERRUPTION)
    }

    /// Returns the length of the window in which the usage of limits is counted.
    pub fn limit_window(&self) -> Duration {
        self.quotas.window()
    }

    /// Returns the part of all slots and limits that may be used here.
    pub fn fleet_share(&self) -> FleetShare {
        self.fleet_share
    }

    /// Queues a request for a slot and dispatches what can be sent.
    ///
    /// A request that is over a limit is refused at once. The decisions may concern other requests
    /// too.
    pub fn request_slot(
        &mut self,
        now: Duration,
        ticket: Ticket,
        request: SlotRequest,
    ) -> Vec<Decision> {
        self.link_paths.record_request(ticket.link);
        let resolution = self.resumptions.resolve(now, ticket, request);
        self.follow_resolution(now, ticket, resolution)
    }

    fn queue_request(
        &mut self,
        now: Duration,
        ticket: Ticket,
        mut request: SlotRequest,
    ) -> Vec<Decision> {
        let charge = match self.admit(now, ticket, &request) {
            Ok(charge) => charge,
            Err(refusal) => {
                self.crashes.end_probe(ticket);
                return vec![Decision::Refused(ticket, refusal)];
            }
        };
        if let Some(late_at) = self.refusals.late_at(request.fingerprint) {
            request.target_left = request.target_left.min(late_at.saturating_sub(now));
        }
        let open = OpenRequest::new(now, &request, charge);
        let avoided = self.link_paths.to_avoid(now, ticket.link);
        let pool = self.pool(&request.service);
        if !avoided.is_empty() {
            pool.avoid_if_others(now, &mut request, avoided);
        }
        let decisions = pool.request_slot(now, ticket, request);
        self.open.insert(ticket, open);
        self.settle(now, decisions)
    }

    /// Refuses a request that crashes upstreams; charges the budgets and limits for another one.
    fn admit(
        &mut self,
        now: Duration,
        ticket: Ticket,
        request: &SlotRequest,
    ) -> Result<Option<Charge>, Refusal> {
        self.crashes.end_survived_probes(now, &self.open);
        let parts = request.work.shared_parts();
        self.crashes.admit(now, ticket, request.fingerprint, &parts)?;
        self.charge(now, ticket, request)
    }

    /// Charges the retry budget for a repeated send, or the limit of the workspace for a first one.
    /// The error is the refusal if the budget or limit is used up.
    fn charge(
        &mut self,
        now: Duration,
        ticket: Ticket,
        request: &SlotRequest,
    ) -> Result<Option<Charge>, Refusal> {
        if request.sends > 0 {
            let is_allowed =
                self.retries.take_repeated_send(now, self.fleet_share.slots, &request.service);
            let refusal = Refusal::new(Reason::RetryBudget, request.time_left / 3);
            return if is_allowed { Ok(None) } else { Err(refusal) };
        }
        self.retries.count_first_send(now, &request.service);
        let Some(charge) = Charge::of(ticket, request) else { return Ok(None) };
        let taken = self.quotas.take(now, &charge);
        taken.map_err(|retry_after| Refusal::new(Reason::Limit, retry_after))?;
        Ok(Some(charge))
    }

    /// Returns whether a request would be refused for the limit of its workspace.
    pub fn is_over_limit(&mut self, now: Duration, ticket: Ticket, request: &SlotRequest) -> bool {
        let charge = Charge::of(ticket, request).filter(|_| request.sends == 0);
        charge.is_some_and(|charge| self.quotas.is_exceeded_by(now, &charge))
    }

    /// Registers a request that already runs under a grant of another gate.
    pub fn adopt(
        &mut self,
        now: Duration,
        ticket: Ticket,
        request: &SlotRequest,
        upstream: UpstreamName,
    ) {
        let open = OpenRequest::new(now, request, None);
        self.open.insert(ticket, open);
        let pool = self.pool(&request.service);
        pool.adopt(now, ticket, upstream, &request.work);
    }

    /// Records that the upstream of a request answers with a status that is an error of its own,
    /// although its response is passed on as a complete one.
    pub fn record_error_status(&mut self, ticket: Ticket, status: u16) {
        let Some(open) = self.open.get(&ticket) else { return };
        if let Some(pool) = self.pools.get_mut(&open.service) {
            pool.record_error_status(ticket, status);
        }
    }

    /// Ends a request, whether it waits or runs, and dispatches to the slot that it frees.
    pub fn end(&mut self, now: Duration, ticket: Ticket, end: End) -> Vec<Decision> {
        self.resumptions.remove(ticket);
        let Some(open) = self.open.remove(&ticket) else { return Vec::new() };
        let Some(pool) = self.pools.get(&open.service) else { return Vec::new() };
        let upstream = pool.upstream_of(ticket).cloned();
        let end = self.judge_connection(now, ticket, &open, upstream.as_ref(), end);
        let upstream = upstream.as_ref();
        let is_new_crash =
            self.crashes.record_end(now, ticket, &open, upstream, end, &self.broken_runs);
        let is_unsent =
            matches!(end, End::Unreachable | End::Misdirected | End::Leaving | End::Unused);
        if let Some(charge) = &open.charge
            && (is_unsent || upstream.is_none())
        {
            self.quotas.refund(charge);
        }
        let mut decisions =
            if is_new_crash { self.refuse_crashing_waiting(now) } else { Vec::new() };
        let breaks_runs =
            upstream.filter(|upstream| self.breaks_runs(now, ticket, &open, upstream, end));
        if let Some(pool) = self.pools.get_mut(&open.service) {
            if let Some(upstream) = breaks_runs {
                pool.open_circuit(now, upstream);
            }
            decisions.extend(pool.end(now, ticket, end));
        }
        self.settle(now, decisions)
    }

    /// Refuses the waiting requests that may not be sent since the latest crash.
    fn refuse_crashing_waiting(&mut self, now: Duration) -> Vec<Decision> {
        let Self { open, crashes, pools, .. } = self;
        let refused = open.iter().filter_map(|(ticket, open)| {
            Some((*ticket, crashes.refusal_of_waiting(now, *ticket, open)?))
        });
        let mut refused: Vec<(Ticket, Refusal)> = refused.collect();
        refused.retain(|(ticket, _)| {
            let pool = open.get(ticket).and_then(|open| pools.get_mut(&open.service));
            pool.is_some_and(|pool| pool.remove_waiting(*ticket))
        });
        refused.sort_unstable_by_key(|(ticket, _)| *ticket);
        refused.into_iter().map(|(ticket, refusal)| Decision::Refused(ticket, refusal)).collect()
    }

    /// Returns what was learned since the last call.
    pub fn take_findings(&mut self) -> Vec<Finding> {
        let mut findings = std::mem::take(&mut self.findings);
        findings.extend(self.crashes.take_findings());
        findings.extend(self.resumptions.take_findings());
        findings.extend(self.take_share_refusals());
        let changes = self.pools.values_mut().flat_map(Pool::take_circuit_changes);
        findings.extend(changes.map(|CircuitChange { upstream, is_open }| {
            Finding::CircuitChanged { upstream, is_open }
        }));
        findings
    }

    /// Ends all requests of an instance whose connection to the gate is lost.
    pub fn end_link(&mut self, now: Duration, link: u64) -> Vec<Decision> {
        self.open.retain(|ticket, _| ticket.link != link);
        self.crashes.end_link(link);
        self.resumptions.end_link(link);
        self.link_paths.remove_link(link);
        for pool in self.pools.values_mut() {
            pool.end_link(now, link);
        }
        self.tick(now)
    }

    /// Refuses requests that have waited too long and dispatches those for which there is a slot.
    pub fn tick(&mut self, now: Duration) -> Vec<Decision> {
        let dispatched =
            self.pools.values_mut().flat_map(|pool| pool.dispatch_waiting(now)).collect();
        let mut decisions = self.settle(now, dispatched);
        decisions.extend(self.queue_resolved(now));
        decisions
    }

    /// Records what follows from decisions: where streams are about to run, and which requests are
    /// closed.
    fn settle(&mut self, now: Duration, decisions: Vec<Decision>) -> Vec<Decision> {
        for decision in &decisions {
            match decision {
                Decision::Granted(ticket, grant) => {
                    if let Some(open) = self.open.get_mut(ticket) {
                        open.granted_at = Some(now);
                    }
                    self.record_stream(now, *ticket, grant);
                }
                Decision::Refused(ticket, _) => self.close_refused(now, *ticket),
            }
        }
        decisions
    }

    fn close_refused(&mut self, now: Duration, ticket: Ticket) {
        let Some(open) = self.open.remove(&ticket) else { return };
        self.crashes.end_probe(ticket);
        self.refusals.record(now, open.fingerprint, open.late_at);
        if let Some(charge) = &open.charge {
            self.quotas.refund(charge);
        }
    }

    /// Returns whether any request waits for a slot.
    pub fn is_waiting(&self) -> bool {
        self.resumptions.is_waiting() || self.pools.values().any(|pool| pool.waiting() > 0)
    }

    /// Returns the request counts of each service.
    pub fn counts(&self) -> impl Iterator<Item = (&ServiceName, ServiceCounts)> {
        self.pools.iter().map(|(service, pool)| {
            (service, ServiceCounts { waiting: pool.waiting(), running: pool.running() })
        })
    }
}
