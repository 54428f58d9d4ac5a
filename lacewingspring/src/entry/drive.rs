//! Drives a run from acceptance to its end.

use std::{
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use lacewingspring_core::{
    error::{ErrorKind, RunState},
    gate::{Outcome, PermitRequest, Placement, Resume},
    names::UpstreamName,
    request::{Claimed, Request, RequestFacts},
};
use tokio::time::sleep;

use super::{
    Body, Refusal, Run, Step, Work, completion,
    invariant::Invariant,
    permit::{self, Permit},
    plain,
};
use crate::{
    clock,
    daemon::Node,
    homes::HomeClient,
    limits::{Arrival, Slot},
    metrics::{Series, Timer},
};

/// Poll interval while dispatches are held back after a freeze.
const DISPATCH_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A run with the state to drive it to its end.
#[derive(Debug)]
pub struct RunDriver {
    /// This instance.
    pub node: Arc<Node>,
    /// Parts of the answer, shared with the callers that follow.
    pub run: Arc<Run>,
    /// Request and the resources that govern it.
    pub work: Work,
    /// Metrics series of the request.
    pub series: Series,
    /// Time at which the request was accepted.
    pub accepted_at: Duration,
    /// Whether the key may have run before this request.
    may_have_run: AtomicBool,
    /// Slot within the limits of the workspace, held while the request runs at this instance.
    pub slot: Mutex<Option<Slot>>,
}

/// Starts a run in its own task, so that it outlives the connection of its caller.
pub fn start(node: Arc<Node>, run: Arc<Run>, work: Work) {
    tokio::spawn(async move {
        let series = work.series();
        let accepted_at = clock::now();
        let driver = RunDriver {
            node,
            run,
            work,
            series,
            accepted_at,
            slot: Mutex::default(),
            may_have_run: AtomicBool::new(false),
        };
        driver.run.record_step(Step::Accepted);
        driver.node.metrics.accepted(&driver.series);
        match driver.run_to_end().await {
            Ok(()) => driver.record_answer(),
            Err(refusal) => driver.record_refusal(driver.correct_not_run(refusal).await),
        }
        driver.free_slot();
        driver.forget();
    });
}

impl RunDriver {
    /// Records the time since acceptance.
    pub fn record_time(&self, timer: Timer) {
        let since = clock::now().saturating_sub(self.accepted_at);
        self.node.metrics.time(timer, &self.series, since);
    }

    fn record_answer(&self) {
        self.record_time(Timer::Total);
        self.run.record_step(Step::Answered);
        self.node.metrics.answered(&self.series);
    }

    fn record_refusal(&self, refusal: Refusal) {
        let not_run = refusal.kind.answer().run == RunState::NotRun;
        let is_truthful = !(not_run && self.run.is_dispatched());
        Invariant::TruthfulRefusal.check(is_truthful, &self.node.metrics, &self.run.id);
        let refusal = self.node.limits.limiters().record_refusal(&self.arrival(), refusal);
        self.run.record_step(Step::Refused(refusal.kind));
        self.node.metrics.refused(&self.series, refusal.kind);
        self.run.fail(refusal);
    }

    async fn run_to_end(&self) -> Result<(), Refusal> {
        let now = clock::now();
        let request = Request::accept(RequestFacts {
            workspace: self.work.id.workspace.clone(),
            service: self.work.service_name.clone(),
            key: self.work.id.key.clone(),
            fingerprint: self.work.fingerprint.clone(),
            deadline: now.saturating_add(self.work.max_wait),
        });
        if self.work.service.idempotent {
            return self.run_idempotent(request).await;
        }
        let homes = HomeClient::new(&self.node);
        let ended = self.run_non_idempotent(&homes, request).await;
        self.report_outcome(&homes, &ended);
        ended
    }

    /// Counts the request against the limits of its workspace, unless it already holds a slot.
    ///
    /// Called only after the home found the key to be new: a repeat of a request that runs at
    /// another instance is not counted, and a refusal that says "not run" would be false for it.
    pub(super) async fn admit(&self) -> Result<(), Refusal> {
        if self.slot.lock().unwrap_or_else(PoisonError::into_inner).is_some() {
            return Ok(());
        }
        let slot = self.node.limits.limiters().admit(&self.node, self.arrival()).await?;
        *self.slot.lock().unwrap_or_else(PoisonError::into_inner) = Some(slot);
        Ok(())
    }

    /// Releases the slot within the limits of the workspace.
    pub(super) fn free_slot(&self) {
        self.slot.lock().unwrap_or_else(PoisonError::into_inner).take();
    }

    fn arrival(&self) -> Arrival<'_> {
        let id = &self.work.id;
        Arrival { workspace: &id.workspace, key: &id.key, is_retry: self.work.is_retry }
    }

    /// Dispatches the request to its upstream. Returns it if no byte was sent.
    ///
    /// Nothing is sent from `dispatch_by` on, since the claim of the request may expire then.
    pub(super) async fn dispatch(
        &self,
        request: Request<Claimed>,
        mut permit: Permit,
        dispatch_by: Option<Duration>,
    ) -> Result<Option<Request<Claimed>>, Refusal> {
        self.wait_until_dispatch_allowed().await;
        let may_dispatch = permit.may_dispatch().await;
        let is_claimed = dispatch_by.is_none_or(|dispatch_by| clock::now() < dispatch_by);
        if !may_dispatch || !is_claimed {
            permit.release(Outcome::Cancelled);
            return Ok(Some(request));
        }
        match &self.work.body {
            Body::Completion { .. } => completion::run(self, request, permit).await,
            Body::Plain { .. } => plain::run(self, request, permit).await,
        }
    }

    /// Marks the run as dispatched and checks that it was not dispatched before.
    pub(super) fn mark_dispatched(&self) {
        let is_first = !self.run.set_dispatched(true);
        Invariant::DispatchedOnce.check(is_first, &self.node.metrics, &self.run.id);
    }

    /// Marks the run as not dispatched after no byte was sent.
    pub(super) fn mark_unsent(&self, upstream: &UpstreamName) {
        self.run.set_dispatched(false);
        self.run.record_step(Step::Unsent(upstream.clone()));
    }

    /// Waits, after a freeze of this process, until its membership view has been revalidated.
    pub(super) async fn wait_until_dispatch_allowed(&self) {
        while !self.node.fleet.may_dispatch(clock::now()) {
            sleep(DISPATCH_POLL_INTERVAL).await;
        }
    }

    /// Waits for a permit on any upstream until the deadline.
    pub async fn acquire_permit(&self, deadline: Duration) -> Result<Permit, Refusal> {
        self.acquire_permit_with(deadline, None, Placement::Any).await
    }

    /// Waits for a permit to resume a parked run whose gate died.
    pub async fn acquire_permit_to_resume(&self, resume: Resume) -> Result<Permit, Refusal> {
        self.acquire_permit_with(self.deadline_from_now(), Some(resume), Placement::Any).await
    }

    pub(super) async fn acquire_permit_with(
        &self,
        deadline: Duration,
        resume: Option<Resume>,
        placement: Placement,
    ) -> Result<Permit, Refusal> {
        let work = &self.work;
        let request = PermitRequest { placement, ..self.permit_request(deadline, resume) };
        let permit = permit::acquire(&self.node, &work.service.pool, &work.pool, request).await;
        let permit = permit?;
        self.record_time(Timer::Wait);
        self.run.record_step(Step::Permitted(permit.upstream.clone()));
        Ok(permit)
    }

    /// Creates a permit for a run that another instance dispatched.
    pub async fn adopt_permit(&self, upstream: UpstreamName) -> Permit {
        let request = self.permit_request(self.deadline_from_now(), None);
        permit::adopt(&self.node, &self.work.service.pool, &self.work.pool, request, upstream).await
    }

    fn permit_request(&self, deadline: Duration, resume: Option<Resume>) -> PermitRequest {
        let work = &self.work;
        let now = clock::now();
        PermitRequest {
            rank: work.tier.rank,
            workspace: work.id.workspace.clone(),
            weight: work.weight,
            cost: work.body.cost(&work.service),
            max_wait: deadline.saturating_sub(now),
            parkable: work.service.idempotent && matches!(work.body, Body::Completion { .. }),
            prefixes: work.body.prefixes(),
            resume,
            answer_within: work
                .timeout
                .map(|timeout| (self.accepted_at + timeout).saturating_sub(now)),
            placement: Placement::Any,
        }
    }

    /// Returns the number of prompt tokens of the request.
    pub(super) fn prompt_tokens(&self) -> u64 {
        u64::from(self.work.body.cost(&self.work.service).prompt_tokens)
    }

    /// Removes the run from the table: at once if a repeat may run anew, otherwise after the answer
    /// retention.
    fn forget(self) {
        if self.repeat_may_run() {
            self.node.runs.remove(&self.run.id);
            return;
        }
        let retention = self.node.settings.timing.answer_retention();
        tokio::spawn(async move {
            sleep(retention).await;
            self.node.runs.remove(&self.run.id);
        });
    }

    /// Records that the key may have run before.
    pub(super) fn mark_may_have_run(&self) {
        self.may_have_run.store(true, Ordering::Release);
    }

    /// Returns whether the key was marked as possibly run before.
    pub(super) fn is_marked_may_have_run(&self) -> bool {
        self.may_have_run.load(Ordering::Acquire)
    }

    /// Returns whether a repeat is decided anew: because nothing ran, or because the claim decides.
    fn repeat_may_run(&self) -> bool {
        let Some(kind) = self.run.failure() else { return false };
        let undecided = kind == ErrorKind::Undecided;
        undecided || kind.answer().run == RunState::NotRun || !self.work.service.idempotent
    }
}
