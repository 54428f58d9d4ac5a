//! Idempotent requests: registered with the home of their key, permitted, dispatched once.

use std::time::Duration;

use lacewingspring_core::{
    error::{ErrorKind, RunState},
    gate,
    key_index::{DispatchVerdict, Outcome, Progress, RegisterVerdict, Runner, TakeOverVerdict},
    names::UpstreamName,
    request::{Accepted, ClaimProof, Request},
};
use tokio::time::sleep;

use super::{
    Ownership, Refusal, Step,
    claims::{ClaimOutcome, WonClaim},
    completion,
    drive::RunDriver,
    follow::FollowEnd,
    permit::Permit,
};
use crate::{clock, homes::HomeClient, membership::Agreement};

/// Time between two looks at a run whose runner can't be followed and doesn't count as dead.
const RUNNER_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// When callers are told to come back if the home can hold no more keys.
const FULL_RETRY_AFTER: Duration = Duration::from_secs(5);

/// Longest wait for the home to take a void.
const VOID_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Longest wait for the removal of a claim of this run that was given up.
const OWN_CLAIM_REMOVAL_TIMEOUT: Duration = Duration::from_secs(3);

/// What follows from asking the home to dispatch.
enum DispatchPermission {
    /// The request may be dispatched.
    Granted(ClaimProof),
    /// Another instance runs the request.
    TakenOver(Runner),
    /// The home doesn't know the run, or knows that it has ended, and is to be asked anew.
    Reregister,
}

/// Who holds the claim of a request.
enum ClaimHolder {
    /// This instance; without a record when none was needed.
    ThisRun(Option<WonClaim>),
    /// Another runner, whose upstream may be known.
    Other(Runner, Option<UpstreamName>),
}

impl RunDriver {
    /// Runs an idempotent request, or follows the run that exists.
    pub(super) async fn run_idempotent(&self, request: Request<Accepted>) -> Result<(), Refusal> {
        let homes = HomeClient::new(&self.node);
        let ended = self.register_and_run(&homes, request).await;
        self.report_outcome(&homes, &ended);
        ended
    }

    /// Tells the home of the key what came of the run, when this instance is its runner.
    pub(super) fn report_outcome(&self, homes: &HomeClient, ended: &Result<(), Refusal>) {
        if self.run.ownership() == Ownership::None {
            return;
        }
        match ended {
            Ok(()) => homes.report_outcome(&self.run.id, Outcome::Answered),
            Err(refusal) if refusal.kind.answer().run == RunState::NotRun => {
                homes.release(&self.run.id);
            }
            Err(_) => homes.report_outcome(&self.run.id, Outcome::MayHaveRun),
        }
    }

    async fn register_and_run(
        &self,
        homes: &HomeClient,
        request: Request<Accepted>,
    ) -> Result<(), Refusal> {
        let deadline = request.facts().deadline;
        let verdict = self.register(homes, deadline).await?;
        match verdict {
            RegisterVerdict::Registered => {
                self.set_runner(Progress::Waiting);
                self.refuse_when_leaving()?;
                self.admit().await?;
                self.run_as_runner(homes, request).await
            }
            RegisterVerdict::Joined { runner, progress } => {
                if runner == homes.runner() && progress == Progress::Waiting {
                    self.set_runner(Progress::Waiting);
                    self.admit().await?;
                    return self.run_as_runner(homes, request).await;
                }
                self.follow_or_take_over(homes, request, runner).await
            }
            RegisterVerdict::Finished { runner, outcome } => {
                self.fetch_answer(runner, outcome, deadline).await
            }
            RegisterVerdict::Conflict => Err(Refusal::permanent(ErrorKind::KeyConflict)),
            RegisterVerdict::Voided => Err(self.voided().await),
            RegisterVerdict::Full => Err(Refusal::new(ErrorKind::Overloaded, FULL_RETRY_AFTER)),
            RegisterVerdict::Moved | RegisterVerdict::Unknown => {
                Err(Refusal::permanent(ErrorKind::Internal))
            }
        }
    }

    /// Waits for a permit, asks the home for leave, dispatches; another upstream is tried when no
    /// byte went out.
    async fn run_as_runner(
        &self,
        homes: &HomeClient,
        request: Request<Accepted>,
    ) -> Result<(), Refusal> {
        let deadline = request.facts().deadline;
        let mut request = request;
        loop {
            let permit = self.acquire_permit_to_begin(deadline).await?;
            self.wait_until_dispatch_allowed().await;
            match self.request_dispatch(homes, &permit, deadline).await? {
                DispatchPermission::Granted(proof) => {
                    let claim = match self.claim_if_views_differ(&permit, deadline).await {
                        Ok(ClaimHolder::ThisRun(claim)) => claim,
                        Ok(ClaimHolder::Other(runner, upstream)) => {
                            permit.release(gate::Outcome::Cancelled);
                            self.record_claimer_at_home(homes, upstream.as_ref(), deadline).await?;
                            return self.follow_claim_holder(runner, upstream).await;
                        }
                        Err(refusal) => {
                            permit.release(gate::Outcome::Cancelled);
                            self.revert_dispatch(homes, deadline).await?;
                            if refusal.kind == ErrorKind::Voided {
                                self.void_at_home(homes).await;
                            }
                            return Err(refusal);
                        }
                    };
                    let claimed = request.claimed(proof);
                    let dispatch_by = claim.as_ref().map(|claim| claim.dispatch_by);
                    let unsent = self.dispatch(claimed, permit, dispatch_by).await?;
                    let Some(unsent) = unsent else { return Ok(()) };
                    if let Some(claim) = claim {
                        self.node.claims.abandon(claim);
                    }
                    self.revert_dispatch(homes, deadline).await?;
                    request = unsent.reopened();
                }
                DispatchPermission::TakenOver(runner) => {
                    permit.release(gate::Outcome::Cancelled);
                    self.run.set_ownership(Ownership::None);
                    return Box::pin(self.follow_or_take_over(homes, request, runner)).await;
                }
                DispatchPermission::Reregister => {
                    permit.release(gate::Outcome::Cancelled);
                    self.run.set_ownership(Ownership::None);
                    return Box::pin(self.register_and_run(homes, request)).await;
                }
            }
        }
    }

    async fn request_dispatch(
        &self,
        homes: &HomeClient,
        permit: &Permit,
        deadline: Duration,
    ) -> Result<DispatchPermission, Refusal> {
        let verdict = homes.request_dispatch(&self.run.id, &permit.upstream, deadline).await?;
        if let Some(proof) = ClaimProof::from_home(&verdict) {
            self.set_runner(Progress::Dispatched { upstream: permit.upstream.clone() });
            return Ok(DispatchPermission::Granted(proof));
        }
        match verdict {
            DispatchVerdict::TakenOver { runner } => Ok(DispatchPermission::TakenOver(runner)),
            // The run may have ended elsewhere while this process was frozen, with an answer or
            // without; the home tells which when the request is registered anew.
            _ => Ok(DispatchPermission::Reregister),
        }
    }

    /// Tells the home where the run of another's claim is, in place of the upstream that it gave leave
    /// for. Else the homes of both sides of a cut would hold the key to be dispatched to two.
    async fn record_claimer_at_home(
        &self,
        homes: &HomeClient,
        upstream: Option<&UpstreamName>,
        deadline: Duration,
    ) -> Result<(), Refusal> {
        self.revert_dispatch(homes, deadline).await?;
        let Some(upstream) = upstream else { return Ok(()) };
        let reply = homes.request_dispatch(&self.run.id, upstream, deadline).await;
        // The claimer may run the request, so that a refusal can't say otherwise.
        reply.map_err(|_| Refusal::permanent(ErrorKind::AnswerLost))?;
        self.set_runner(Progress::Dispatched { upstream: upstream.clone() });
        Ok(())
    }

    /// Takes back a dispatch of which no byte went out.
    async fn revert_dispatch(&self, homes: &HomeClient, deadline: Duration) -> Result<(), Refusal> {
        if !homes.revert_dispatch(&self.run.id, deadline).await {
            return Err(Refusal::permanent(ErrorKind::AnswerLost));
        }
        self.set_runner(Progress::Waiting);
        Ok(())
    }

    /// Lets the home hold a key to be void that the claim showed to be so.
    ///
    /// The claim is read only while views may differ; a repeat after that asks the home alone.
    async fn void_at_home(&self, homes: &HomeClient) {
        let deadline = clock::now() + VOID_TIMEOUT;
        if homes.release_and_wait(&self.run.id, deadline).await.is_ok() {
            let _ = homes.void(&self.run.id, deadline).await;
        }
    }

    /// Claims the request in the key-value service too, when the views of the members may differ
    /// and so may their homes of the key. Nobody else can know a minted key.
    ///
    /// While the service is out, the request waits for the views to agree; members that have been
    /// silent for long don't count then, so that idempotent work goes on.
    async fn claim_if_views_differ(
        &self,
        permit: &Permit,
        deadline: Duration,
    ) -> Result<ClaimHolder, Refusal> {
        if self.work.minted {
            return Ok(ClaimHolder::ThisRun(None));
        }
        let removal_deadline = clock::now() + OWN_CLAIM_REMOVAL_TIMEOUT;
        while self.node.fleet.agreement() != Agreement::Settled {
            match self.claim_run(permit).await {
                Ok(ClaimHolder::Other(runner, _))
                    if runner == HomeClient::new(&self.node).runner() =>
                {
                    // An attempt that timed out took effect and is being removed; one that stays
                    // was dispatched before. A run that followed itself would wait for ever.
                    if clock::now() >= removal_deadline {
                        return Err(Refusal::permanent(ErrorKind::AnswerLost));
                    }
                    sleep(RUNNER_POLL_INTERVAL).await;
                }
                Err(refusal) if refusal.kind != ErrorKind::StoreUnavailable => return Err(refusal),
                Err(_) if self.node.fleet.agreement() == Agreement::WithoutGone => break,
                Err(refusal) if clock::now() >= deadline => return Err(refusal),
                Err(_) => {}
                claimed => return claimed,
            }
        }
        Ok(ClaimHolder::ThisRun(None))
    }

    async fn claim_run(&self, permit: &Permit) -> Result<ClaimHolder, Refusal> {
        match self.node.claims.claim_run(&self.work, &permit.upstream).await? {
            ClaimOutcome::Won(claim) => Ok(ClaimHolder::ThisRun(Some(claim))),
            ClaimOutcome::Pending { instance, incarnation, upstream, .. } => {
                Ok(ClaimHolder::Other(Runner { instance, incarnation }, upstream))
            }
            ClaimOutcome::Conflict => Err(Refusal::permanent(ErrorKind::KeyConflict)),
            ClaimOutcome::Voided => Err(Refusal::permanent(ErrorKind::Voided)),
            ClaimOutcome::Answered(_) => Err(Refusal::permanent(ErrorKind::AnswerGone)),
        }
    }

    /// Gives way to the runner that holds the claim: follows it, or resumes its run if it died.
    async fn follow_claim_holder(
        &self,
        runner: Runner,
        upstream: Option<UpstreamName>,
    ) -> Result<(), Refusal> {
        self.free_slot();
        let lost = Refusal::permanent(ErrorKind::AnswerLost);
        if let Some(peer) = self.node.fleet.live(&runner.instance, runner.incarnation) {
            let key = self.run.id.key.clone();
            match self.follow(&peer, key, runner.incarnation).await {
                FollowEnd::Complete => return Ok(()),
                FollowEnd::Failed(refusal) => return Err(refusal),
                FollowEnd::UnknownRun | FollowEnd::Cut => {}
            }
        }
        self.resume_at(upstream.ok_or(lost)?).await
    }

    /// Follows the runner of the key; a runner that died is replaced.
    async fn follow_or_take_over(
        &self,
        homes: &HomeClient,
        request: Request<Accepted>,
        runner: Runner,
    ) -> Result<(), Refusal> {
        let deadline = request.facts().deadline;
        self.free_slot();
        loop {
            if runner == homes.runner() {
                // This incarnation dispatched the request before and no longer knows its end.
                return Err(Refusal::permanent(ErrorKind::AnswerLost));
            }
            if let Some(peer) = self.node.fleet.live(&runner.instance, runner.incarnation) {
                let key = self.run.id.key.clone();
                match self.follow(&peer, key, runner.incarnation).await {
                    FollowEnd::Complete => return Ok(()),
                    FollowEnd::Failed(refusal) => return Err(refusal),
                    FollowEnd::UnknownRun => return Err(Refusal::permanent(ErrorKind::AnswerGone)),
                    FollowEnd::Cut => sleep(RUNNER_POLL_INTERVAL).await,
                }
                continue;
            }
            let verdict = homes.take_over(&self.run.id, &runner, deadline).await?;
            return match verdict {
                TakeOverVerdict::NotDispatched => {
                    self.set_runner(Progress::Waiting);
                    Box::pin(self.run_as_runner(homes, request)).await
                }
                TakeOverVerdict::Resume { upstream } => self.resume_at(upstream).await,
                TakeOverVerdict::Refused => Box::pin(self.register_and_run(homes, request)).await,
            };
        }
    }

    /// Resumes a run at its upstream after its runner died.
    async fn resume_at(&self, upstream: UpstreamName) -> Result<(), Refusal> {
        self.set_runner(Progress::Dispatched { upstream: upstream.clone() });
        self.run.record_step(Step::TakenOver(upstream.clone()));
        completion::take_over(self, upstream).await
    }

    /// Fetches the answer of a run that ended.
    ///
    /// An exchange that is cut says nothing of the answer: after a freeze of this process its
    /// connections are closed while the runner still has it.
    async fn fetch_answer(
        &self,
        runner: Runner,
        outcome: Outcome,
        deadline: Duration,
    ) -> Result<(), Refusal> {
        match outcome {
            Outcome::NotRun => return Err(Refusal::permanent(ErrorKind::Voided)),
            Outcome::MayHaveRun => return Err(Refusal::permanent(ErrorKind::AnswerLost)),
            Outcome::Answered => {}
        }
        let gone = Refusal::permanent(ErrorKind::AnswerGone);
        if self.node.is_run(&runner.instance, runner.incarnation) {
            return Err(gone);
        }
        loop {
            let peer = self.node.fleet.live(&runner.instance, runner.incarnation).ok_or(gone)?;
            let key = self.run.id.key.clone();
            match self.follow(&peer, key, runner.incarnation).await {
                FollowEnd::Complete => return Ok(()),
                FollowEnd::Failed(refusal) => return Err(refusal),
                FollowEnd::UnknownRun => return Err(gone),
                FollowEnd::Cut if clock::now() >= deadline => return Err(gone),
                FollowEnd::Cut => sleep(RUNNER_POLL_INTERVAL).await,
            }
        }
    }

    pub(super) async fn register(
        &self,
        homes: &HomeClient,
        deadline: Duration,
    ) -> Result<RegisterVerdict, Refusal> {
        let work = &self.work;
        homes.register(&work.id, &work.fingerprint, work.minted, deadline).await
    }

    fn set_runner(&self, progress: Progress) {
        self.run.set_ownership(Ownership::Runner(progress));
    }

    /// Returns the time until which a request of this tier may wait from now on.
    pub(super) fn deadline_from_now(&self) -> Duration {
        clock::now().saturating_add(self.work.max_wait)
    }
}
