//! Idempotent requests: registers each with the home of its key, waits for a permit and dispatches
//! it at most once.

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

/// Poll interval while the runner of a key cannot be followed but is not known to be dead, and
/// while an abandoned claim of this run is being removed.
const RUNNER_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Retry-after of a refusal because the home has no room for another key.
const FULL_RETRY_AFTER: Duration = Duration::from_secs(5);

/// Maximum wait for the home to record a key as void.
const VOID_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Maximum wait for the removal of an abandoned claim of this same run.
const OWN_CLAIM_REMOVAL_TIMEOUT: Duration = Duration::from_secs(3);

/// Answer of the home to a request to dispatch.
enum DispatchPermission {
    /// The request may be dispatched.
    Granted(ClaimProof),
    /// Another instance is the runner of the request.
    TakenOver(Runner),
    /// The home does not know the run, or knows that it has ended. The request has to be registered
    /// again.
    Reregister,
}

/// Who holds the claim of a request.
enum ClaimHolder {
    /// This run. `None` if it needs no claim.
    ThisRun(Option<WonClaim>),
    /// Another runner, with its upstream if the claim names one.
    Other(Runner, Option<UpstreamName>),
}

impl RunDriver {
    /// Runs an idempotent request, or follows its existing run.
    pub(super) async fn run_idempotent(&self, request: Request<Accepted>) -> Result<(), Refusal> {
        let homes = HomeClient::new(&self.node);
        let ended = self.register_and_run(&homes, request).await;
        self.report_outcome(&homes, &ended);
        ended
    }

    /// Reports the outcome of the run to the home of its key if this instance is the runner.
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
        let verdict = self.register(homes, request.facts().deadline).await?;
        self.run_by_verdict(homes, request, verdict).await
    }

    /// Registers a run again whose request to dispatch to the upstream `requested` was answered by
    /// a home that did not know the run.
    ///
    /// The previous home may have recorded the dispatch and handed it over without permitting it
    /// here, for example because it left before its backup confirmed the dispatch. Nothing was
    /// sent, so the dispatch is reverted.
    async fn register_again(
        &self,
        homes: &HomeClient,
        request: Request<Accepted>,
        requested: UpstreamName,
    ) -> Result<(), Refusal> {
        let deadline = request.facts().deadline;
        let verdict = self.register(homes, deadline).await?;
        let unsent = RegisterVerdict::Joined {
            runner: homes.runner(),
            progress: Progress::Dispatched { upstream: requested },
        };
        if verdict == unsent {
            self.revert_dispatch(homes, deadline).await?;
            return self.run_as_runner(homes, request).await;
        }
        self.run_by_verdict(homes, request, verdict).await
    }

    /// Runs the request, follows its existing run or fetches its answer, as the home of its key
    /// decided.
    async fn run_by_verdict(
        &self,
        homes: &HomeClient,
        request: Request<Accepted>,
        verdict: RegisterVerdict,
    ) -> Result<(), Refusal> {
        let deadline = request.facts().deadline;
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

    /// Waits for a permit, asks the home for permission to dispatch and dispatches. Starts over
    /// with another upstream if no byte of the request was sent.
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
                            self.record_claim_holder_at_home(homes, upstream.as_ref(), deadline)
                                .await?;
                            return self.follow_or_resume(runner, upstream).await;
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
                    let requested = permit.upstream.clone();
                    permit.release(gate::Outcome::Cancelled);
                    self.run.set_ownership(Ownership::None);
                    return Box::pin(self.register_again(homes, request, requested)).await;
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
            // The run may have ended at another instance while this process was frozen. Registering
            // the request again returns its outcome.
            _ => Ok(DispatchPermission::Reregister),
        }
    }

    /// Records the upstream of the claim holder's run at the home, in place of the upstream that
    /// the home permitted this instance. Otherwise the homes on the two sides of a network
    /// partition would record the key as dispatched to two upstreams.
    async fn record_claim_holder_at_home(
        &self,
        homes: &HomeClient,
        upstream: Option<&UpstreamName>,
        deadline: Duration,
    ) -> Result<(), Refusal> {
        self.revert_dispatch(homes, deadline).await?;
        let Some(upstream) = upstream else { return Ok(()) };
        let reply = homes.request_dispatch(&self.run.id, upstream, deadline).await;
        // The claim holder may run the request, so the refusal must not say "not run".
        reply.map_err(|_| Refusal::permanent(ErrorKind::AnswerLost))?;
        self.set_runner(Progress::Dispatched { upstream: upstream.clone() });
        Ok(())
    }

    /// Reverts the dispatch at the home after no byte of the request was sent.
    async fn revert_dispatch(&self, homes: &HomeClient, deadline: Duration) -> Result<(), Refusal> {
        if !homes.revert_dispatch(&self.run.id, deadline).await {
            return Err(Refusal::permanent(ErrorKind::AnswerLost));
        }
        self.set_runner(Progress::Waiting);
        Ok(())
    }

    /// Records a key as void at its home after the claim showed that it is void.
    ///
    /// The claim is read only while membership views may differ; a later repeat asks only the home.
    async fn void_at_home(&self, homes: &HomeClient) {
        let deadline = clock::now() + VOID_TIMEOUT;
        if homes.release_and_wait(&self.run.id, deadline).await.is_ok() {
            let _ = homes.void(&self.run.id, deadline).await;
        }
    }

    /// Claims the request in the key-value service too while membership views may differ, since the
    /// instances may then disagree on the home of the key. A minted key needs no claim, because no
    /// other instance can know it.
    ///
    /// While the service is unavailable, the request waits until the views agree. Members that have
    /// been unreachable for long are left out of that comparison, so that idempotent work
    /// continues.
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
                    // An earlier claim attempt timed out, took effect and is being removed. A claim
                    // that remains is from an earlier dispatch. A run that followed itself would
                    // wait for ever.
                    if clock::now() >= removal_deadline {
                        return Err(Refusal::permanent(ErrorKind::AnswerLost));
                    }
                    sleep(RUNNER_POLL_INTERVAL).await;
                }
                Err(refusal) if refusal.kind != ErrorKind::StoreUnavailable => return Err(refusal),
                Err(_) if self.node.fleet.agreement() == Agreement::SettledExceptGone => break,
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

    /// Follows the runner that holds the claim, or resumes its run if that runner died.
    async fn follow_or_resume(
        &self,
        runner: Runner,
        upstream: Option<UpstreamName>,
    ) -> Result<(), Refusal> {
        self.free_slot();
        let lost = Refusal::permanent(ErrorKind::AnswerLost);
        if let Some(peer) = self.node.fleet.live_run(&runner.instance, runner.incarnation) {
            let key = self.run.id.key.clone();
            match self.follow(&peer, key, runner.incarnation).await {
                FollowEnd::Complete => return Ok(()),
                FollowEnd::Failed(refusal) => return Err(refusal),
                FollowEnd::UnknownRun | FollowEnd::Interrupted => {}
            }
        }
        self.resume_at(upstream.ok_or(lost)?).await
    }

    /// Follows the runner of the key and takes over from a runner that died.
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
                // This incarnation dispatched the request before and has dropped its outcome.
                return Err(Refusal::permanent(ErrorKind::AnswerLost));
            }
            if let Some(peer) = self.node.fleet.live_run(&runner.instance, runner.incarnation) {
                let key = self.run.id.key.clone();
                match self.follow(&peer, key, runner.incarnation).await {
                    FollowEnd::Complete => return Ok(()),
                    FollowEnd::Failed(refusal) => return Err(refusal),
                    FollowEnd::UnknownRun => return Err(Refusal::permanent(ErrorKind::AnswerGone)),
                    FollowEnd::Interrupted => sleep(RUNNER_POLL_INTERVAL).await,
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

    /// Fetches the answer of a finished run from its runner.
    ///
    /// A closed exchange does not show that the answer is gone: after a freeze of this process its
    /// connections are closed while the runner still has the answer.
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
            let peer =
                self.node.fleet.live_run(&runner.instance, runner.incarnation).ok_or(gone)?;
            let key = self.run.id.key.clone();
            match self.follow(&peer, key, runner.incarnation).await {
                FollowEnd::Complete => return Ok(()),
                FollowEnd::Failed(refusal) => return Err(refusal),
                FollowEnd::UnknownRun => return Err(gone),
                FollowEnd::Interrupted if clock::now() >= deadline => return Err(gone),
                FollowEnd::Interrupted => sleep(RUNNER_POLL_INTERVAL).await,
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

    /// Returns the deadline of a wait that starts now, by the maximum wait of the request.
    pub(super) fn deadline_from_now(&self) -> Duration {
        clock::now().saturating_add(self.work.max_wait)
    }
}
