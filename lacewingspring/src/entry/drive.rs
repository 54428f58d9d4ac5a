//! Drives a run from acceptance to its last part.

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
    homes::Homes,
    limits::{Arrival, Slot},
    metrics::{Series, Timer},
};

/// Time between two looks at whether a dispatch may go out.
const SOUND_POLL: Duration = Duration::from_millis(20);

/// A run with what it needs to go on.
#[derive(Debug)]
pub struct Drive {
    /// This instance.
    pub node: Arc<Node>,
    /// Answer as it arrives.
    pub run: Arc<Run>,
    /// What is to be run.
    pub work: Work,
    /// Series that the request is measured in.
    pub series: Series,
    /// Time of acceptance.
    pub accepted: Duration,
    doubt: AtomicBool,
    /// Place within the limits of the workspace, held while the request runs here.
    pub slot: Mutex<Option<Slot>>,
}

/// Starts a run in a task of its own: it outlives the caller's connection.
pub fn start(node: Arc<Node>, run: Arc<Run>, work: Work) {
    tokio::spawn(async move {
        let series = work.series();
        let accepted = clock::now();
        let drive = Drive {
            node,
            run,
            work,
            series,
            accepted,
            slot: Mutex::default(),
            doubt: AtomicBool::new(false),
        };
        drive.run.note(Step::Accepted);
        drive.node.metrics.accepted(&drive.series);
        match drive.to_end().await {
            Ok(()) => drive.answered(),
            Err(refusal) => drive.refused(drive.without_false_claim(refusal).await),
        }
        drive.free_slot();
        drive.forget();
    });
}

impl Drive {
    /// Records a time since acceptance.
    pub fn time(&self, timer: Timer) {
        let since = clock::now().saturating_sub(self.accepted);
        self.node.metrics.time(timer, &self.series, since);
    }

    fn answered(&self) {
        self.time(Timer::Total);
        self.run.note(Step::Answered);
        self.node.metrics.answered(&self.series);
    }

    fn refused(&self, refusal: Refusal) {
        let not_run = refusal.kind.answer().run == RunState::NotRun;
        let truthful = !(not_run && self.run.is_dispatched());
        Invariant::TruthfulRefusal.check(truthful, &self.node.metrics, &self.run.id);
        let refusal = self.node.limits.limiters().record_refusal(&self.arrival(), refusal);
        self.run.note(Step::Refused(refusal.kind));
        self.node.metrics.refused(&self.series, refusal.kind);
        self.run.fail(refusal);
    }

    async fn to_end(&self) -> Result<(), Refusal> {
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
        let homes = Homes::new(&self.node);
        let ended = self.run_once(&homes, request).await;
        self.tell_home(&homes, &ended);
        ended
    }

    /// Counts the request against the limits of its workspace, unless it is counted already.
    ///
    /// It comes after the key was found to be new, since a repeat of a request that runs elsewhere
    /// isn't counted, and "not run" would be false for it.
    pub(super) async fn admit(&self) -> Result<(), Refusal> {
        if self.slot.lock().unwrap_or_else(PoisonError::into_inner).is_some() {
            return Ok(());
        }
        let slot = self.node.limits.limiters().admit(&self.node, self.arrival()).await?;
        *self.slot.lock().unwrap_or_else(PoisonError::into_inner) = Some(slot);
        Ok(())
    }

    /// Frees the place within the limits.
    pub(super) fn free_slot(&self) {
        self.slot.lock().unwrap_or_else(PoisonError::into_inner).take();
    }

    fn arrival(&self) -> Arrival<'_> {
        let id = &self.work.id;
        Arrival { workspace: &id.workspace, key: &id.key, is_retry: self.work.is_retry }
    }

    /// Hands the request to its upstream; returns it when no byte went out.
    ///
    /// Nothing goes out after `dispatch_by`, when its claim may end.
    pub(super) async fn dispatch(
        &self,
        request: Request<Claimed>,
        mut permit: Permit,
        dispatch_by: Option<Duration>,
    ) -> Result<Option<Request<Claimed>>, Refusal> {
        self.wait_until_sound().await;
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

    /// Notes that the request is handed to an upstream now.
    pub(super) fn dispatched(&self) {
        let first = !self.run.set_dispatched(true);
        Invariant::DispatchedOnce.check(first, &self.node.metrics, &self.run.id);
    }

    /// Notes that no byte went out.
    pub(super) fn unsent(&self, upstream: &UpstreamName) {
        self.run.set_dispatched(false);
        self.run.note(Step::Unsent(upstream.clone()));
    }

    /// Holds a dispatch after a freeze of this process until a peer has been heard from.
    pub(super) async fn wait_until_sound(&self) {
        while !self.node.fleet.may_dispatch(clock::now()) {
            sleep(SOUND_POLL).await;
        }
    }

    /// Waits for a permit until the deadline.
    pub async fn permit(&self, deadline: Duration) -> Result<Permit, Refusal> {
        self.permit_to(deadline, None, Placement::Any).await
    }

    /// Waits for a permit to go on with a parked run, when its gate died.
    pub async fn permit_to_resume(&self, resume: Resume) -> Result<Permit, Refusal> {
        self.permit_to(self.fresh_deadline(), Some(resume), Placement::Any).await
    }

    pub(super) async fn permit_to(
        &self,
        deadline: Duration,
        resume: Option<Resume>,
        placement: Placement,
    ) -> Result<Permit, Refusal> {
        let work = &self.work;
        let ask = PermitRequest { placement, ..self.ask(deadline, resume) };
        let permit = permit::acquire(&self.node, &work.service.pool, &work.pool, ask).await;
        let permit = permit?;
        self.time(Timer::Wait);
        self.run.note(Step::Permitted(permit.upstream.clone()));
        Ok(permit)
    }

    /// Counts a run that another instance dispatched as a permit of this one.
    pub async fn adopt_permit(&self, upstream: UpstreamName) -> Permit {
        let ask = self.ask(self.fresh_deadline(), None);
        permit::adopt(&self.node, &self.work.service.pool, &self.work.pool, ask, upstream).await
    }

    fn ask(&self, deadline: Duration, resume: Option<Resume>) -> PermitRequest {
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
                .map(|timeout| (self.accepted + timeout).saturating_sub(now)),
            placement: Placement::Any,
        }
    }

    /// Returns the prompt tokens of the request.
    pub(super) fn prompt_tokens(&self) -> u64 {
        u64::from(self.work.body.cost(&self.work.service).prompt_tokens)
    }

    /// Forgets the run: at once when a repeat may ask anew, else once its answer was kept.
    fn forget(self) {
        if self.may_ask_anew() {
            self.node.runs.remove(&self.run.id);
            return;
        }
        let retention = self.node.settings.timing.answer_retention();
        tokio::spawn(async move {
            sleep(retention).await;
            self.node.runs.remove(&self.run.id);
        });
    }

    /// Notes that the key may have run before.
    pub(super) fn doubt(&self) {
        self.doubt.store(true, Ordering::Release);
    }

    /// Returns whether the key may have run before.
    pub(super) fn in_doubt(&self) -> bool {
        self.doubt.load(Ordering::Acquire)
    }

    /// Returns whether a repeat is to be decided anew: nothing ran, or the claim decides.
    fn may_ask_anew(&self) -> bool {
        let Some(kind) = self.run.failure() else { return false };
        let undecided = kind == ErrorKind::Undecided;
        undecided || kind.answer().run == RunState::NotRun || !self.work.service.idempotent
    }
}
