//! Decisions of the roll-out of one software version to the upstreams of a service: which requests
//! the target version gets, and whether it is sound.
//!
//! Nothing here reads a clock or performs I/O. A [`RollOut`] is kept by the gate; the numbers in
//! [`Counts`] are stored, so that a successor continues from them.

use std::{sync::Arc, time::Duration};

use self::{
    comparison::Comparison,
    exposure::{Exposure, Requests},
    route_grants::RouteGrants,
    sufficiency::Sufficiency,
};
pub use self::{
    order::{Block, Bounds, Counts, Order, OrderId, Tally},
    sample::{PartialTimes, ResponseTimes, Sample, SampleOutcome},
    stage::{Defect, Evidence, FleetState, MissingEvidence, RollBackCause, Scope, Stage},
};

mod breaks;
mod comparison;
mod defect_series;
mod exposure;
mod histogram;
mod order;
mod rates;
mod reference;
mod route_grants;
mod sample;
mod series;
mod stage;
mod stalls;
mod sufficiency;

/// Time between the last decision to shift and the deadline, besides that in which running requests
/// end: for the write of the stage and that of the status.
const WRITE_MARGIN: Duration = Duration::from_secs(1);

/// Age of the copy of the store's entries up to which a decision to shift relies on it: that up to
/// which an instance relies on its copy without following the store itself.
const MAX_COPY_AGE: Duration = Duration::from_millis(1_500);

/// Natural logarithm of the likelihood ratio from which on the target is rolled back at once: its
/// responses are that much likelier with a rate of bad ones of its own than with the common rate.
/// docs/design/roll-out-decision.md has the resulting rates of false and missed roll-backs.
const CERTAIN_LOG_RATIO: f64 = 7.5;

/// The same, from which on the target is not called sound.
const SUSPICIOUS_LOG_RATIO: f64 = 3.5;

/// Bad responses of the target that certain evidence needs at least, so that a single crash or lost
/// response does not roll a version back.
const MIN_CERTAIN_BAD: u64 = 4;

/// A request that was granted to an upstream of the service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GrantedRequest {
    /// Whether the upstream has the target version.
    pub is_target: bool,
    /// Route of the request.
    pub route: Arc<str>,
    /// Whether it was counted before: it is a retry, a resumed stream or a probe. It counts as a
    /// request to the target, but not as one of the service.
    pub is_repeat: bool,
}

/// One roll-out.
#[derive(Debug)]
pub struct RollOut {
    order: Order,
    stage: Stage,
    exposure: Exposure,
    routes: RouteGrants,
    comparison: Comparison,
    /// Counts of the record that this holder read or wrote last.
    recorded: Counts,
    /// Responses of the target that earlier holders counted.
    inherited: u64,
}

impl RollOut {
    /// Creates a roll-out that continues from stored counts.
    pub fn new(order: Order, bounds: Bounds, counts: Counts, stage: Stage) -> Self {
        let requests = Requests { service: counts.requests, target: counts.target_requests };
        Self {
            routes: RouteGrants::new(order.received_at),
            order,
            stage,
            exposure: Exposure::new(bounds, requests),
            comparison: Comparison::new(&counts),
            recorded: counts,
            inherited: counts.target.responses,
        }
    }

    /// Returns the order.
    pub const fn order(&self) -> &Order {
        &self.order
    }

    /// Returns the stage of the last decision.
    pub const fn stage(&self) -> &Stage {
        &self.stage
    }

    /// Ends the roll-out for a reason that is not decided here: its order was deleted.
    /// A final stage stays.
    pub fn roll_back(&mut self, cause: RollBackCause) {
        if !self.stage.is_final() {
            self.stage = Stage::RolledBack(cause);
        }
    }

    /// Returns the counts. Requests to the target that are reserved but not granted are not among
    /// them.
    pub const fn counts(&self) -> Counts {
        let Requests { service, target } = self.exposure.requests();
        let (target_tally, old, bad) = self.comparison.counts();
        Counts { requests: service, target_requests: target, bad, target: target_tally, old }
    }

    /// Returns the counts to be stored to reserve a block of this size. Requests reserved by an
    /// earlier block of this holder and not granted are given back; they must have expired or end
    /// with [`Self::open_block`].
    pub const fn counts_with_block(&self, size: u64) -> Counts {
        let mut counts = self.counts();
        counts.target_requests += size;
        counts
    }

    /// Records that counts of this holder are in the store's record.
    pub fn note_written(&mut self, written: Counts) {
        self.recorded = written;
    }

    /// Adds what another holder counted and wrote, after its record was read. A record that says
    /// less than the one before, as of a store that was restored, changes nothing. A record that
    /// this holder wrote must go to [`Self::note_written`] instead, or its requests count twice.
    pub fn merge_record(&mut self, stored: Counts) {
        let added = stored.since(self.recorded);
        self.exposure.add(Requests { service: added.requests, target: added.target_requests });
        self.comparison.add(added.target, added.old, added.bad);
        self.inherited += added.target.responses;
        self.recorded = stored;
    }

    /// Returns the largest number of requests, granted and reserved, that the target may have had
    /// by now: the allowance, which is `share` of the requests counted so far plus `tolerance`,
    /// less a margin of the largest block that the allowance permits (a fifth). A record that lags
    /// by one block, whose size was at most that fifth, thus can't break the bound.
    pub fn max_target_requests(&self) -> u64 {
        self.exposure.max_target_requests()
    }

    /// Returns the number of requests to reserve now; zero if none are to be sent to the target.
    pub fn block_size(&self, now: Duration) -> u64 {
        let is_open = self.stage == Stage::Observing && now < self.order.deadline;
        if is_open { self.exposure.block_size() } else { 0 }
    }

    /// Allows requests that were reserved in the store. They replace those of an earlier block.
    pub fn open_block(&mut self, block: Block) {
        self.exposure.open_block(block);
    }

    /// Returns whether any request may be sent to the target now, also one that can run nowhere
    /// else, as that of a stream which the target began.
    pub fn may_send(&self, now: Duration) -> bool {
        match self.stage {
            Stage::Observing => now < self.order.deadline && self.exposure.open(now).is_some(),
            Stage::Shifting | Stage::Completed => true,
            Stage::RolledBack(_) => false,
        }
    }

    /// Returns whether the next request of a route is to go to the target.
    pub fn takes(&self, now: Duration, route: &str) -> bool {
        if self.stage != Stage::Observing {
            return self.may_send(now);
        }
        let block = self.exposure.open(now).filter(|_| now < self.order.deadline);
        block.is_some_and(|block| self.routes.takes(now, block, route))
    }

    /// Records that a request was granted.
    pub fn record_grant(&mut self, _now: Duration, granted: &GrantedRequest) {
        let GrantedRequest { is_target, ref route, is_repeat } = *granted;
        self.exposure.record_grant(is_target, is_repeat);
        self.routes.record(route, is_target, is_repeat);
    }

    /// Records a response.
    pub fn record_sample(&mut self, now: Duration, sample: Sample) {
        self.comparison.record(now, sample);
    }

    /// Decides on the stage. A final stage stays, but for `Completed`, which is decided anew until
    /// its holder has recorded it and releases the roll-out: the target may prove bad until then.
    pub fn decide(&mut self, now: Duration, state: &FleetState) -> Stage {
        let next = match self.stage {
            Stage::Observing => self.decide_observing(now, state),
            Stage::Shifting => self.decide_shifting(now, state),
            Stage::Completed | Stage::RolledBack(_) => None,
        };
        match next {
            Some(Stage::Completed) => return Stage::Completed,
            Some(next) => self.stage = next,
            None => {}
        }
        self.stage.clone()
    }

    fn decide_observing(&self, now: Duration, state: &FleetState) -> Option<Stage> {
        let worst = self.comparison.worst(state.target_running);
        if let Some(evidence) = worst.as_ref().filter(|evidence| is_certain(evidence)) {
            return Some(Stage::RolledBack(RollBackCause::Bad(evidence.clone())));
        }
        let objection = self.objection(worst, state);
        if now >= self.order.deadline {
            let cause = objection.unwrap_or(RollBackCause::DeadlinePassed);
            return Some(Stage::RolledBack(cause));
        }
        let is_observed = now + state.drain_time + WRITE_MARGIN >= self.order.deadline;
        let may_shift = is_observed && objection.is_none() && state.copy_age <= MAX_COPY_AGE;
        may_shift.then_some(Stage::Shifting)
    }

    /// Returns what speaks against new requests going to the target only.
    fn objection(&self, worst: Option<Evidence>, state: &FleetState) -> Option<RollBackCause> {
        if let Some(evidence) = worst.filter(|evidence| evidence.log_ratio >= SUSPICIOUS_LOG_RATIO)
        {
            return Some(RollBackCause::Suspicious(evidence));
        }
        let running = state.old_running + state.target_running;
        let usable = state.target_usable_slots;
        // An overloaded service has more requests than slots; as many slots as before are enough.
        if usable == 0 || usable < running.min(state.old_usable_slots) {
            return Some(RollBackCause::TooFewSlots { usable, running });
        }
        let sufficiency = Sufficiency {
            comparison: &self.comparison,
            routes: &self.routes,
            requests: self.exposure.requests().service,
            max_target_requests: self.exposure.max_target_requests(),
            inherited: self.inherited,
            expects_high_load: 2 * running > usable,
        };
        sufficiency.missing().map(RollBackCause::TooLittleEvidence)
    }

    /// Completes as late as the deadline allows, as the old upstreams are stopped then.
    fn decide_shifting(&self, now: Duration, state: &FleetState) -> Option<Stage> {
        if let Some(evidence) = self.comparison.worst(state.target_running).filter(is_certain) {
            return Some(Stage::RolledBack(RollBackCause::Bad(evidence)));
        }
        let is_due = now + WRITE_MARGIN >= self.order.deadline;
        // The old upstreams are stopped then; without slots of the target nothing would serve.
        let can_serve = state.target_usable_slots > 0;
        (is_due && can_serve && state.old_running == 0).then_some(Stage::Completed)
    }
}

fn is_certain(evidence: &Evidence) -> bool {
    evidence.target_bad >= MIN_CERTAIN_BAD && evidence.log_ratio >= CERTAIN_LOG_RATIO
}
