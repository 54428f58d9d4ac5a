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
    drive::Drive,
    follow::Followed,
    permit::Permit,
};
use crate::{clock, homes::Homes, membership::Agreement};

/// Time between two looks at a run whose runner can't be followed and doesn't count as dead.
const RUNNER_POLL: Duration = Duration::from_millis(100);

/// When callers are told to come back if the home can hold no more keys.
const FULL_RETRY_AFTER: Duration = Duration::from_secs(5);

/// Longest wait for the home to take a void.
const KEEP_VOID_PATIENCE: Duration = Duration::from_millis(1_000);

/// Longest wait for the removal of a claim of this run that was given up.
const OWN_CLAIM_PATIENCE: Duration = Duration::from_secs(3);

/// What follows from asking the home to dispatch.
enum Leave {
    /// The request may be dispatched.
    Granted(ClaimProof),
    /// Another instance runs the request.
    Taken(Runner),
    /// The home doesn't know the run, or knows that it has ended, and is to be asked anew.
    Again,
}

/// Who holds the claim of a request.
enum Claimed {
    /// This instance; without a record when none was needed.
    Won(Option<WonClaim>),
    /// Another runner, whose upstream may be known.
    By(Runner, Option<UpstreamName>),
}

impl Drive {
    /// Runs an idempotent request, or follows the run that exists.
    pub(super) async fn run_idempotent(&self, request: Request<Accepted>) -> Result<(), Refusal> {
        let homes = Homes::new(&self.node);
        let ended = self.register_and_run(&homes, request).await;
        self.tell_home(&homes, &ended);
        ended
    }

    /// Tells the home of the key what came of the run, when this instance is its runner.
    pub(super) fn tell_home(&self, homes: &Homes, ended: &Result<(), Refusal>) {
        if self.run.ownership() == Ownership::None {
            return;
        }
        match ended {
            Ok(()) => homes.finished(&self.run.id, Outcome::Answered),
            Err(refusal) if refusal.kind.answer().run == RunState::NotRun => {
                homes.release(&self.run.id);
            }
            Err(_) => homes.finished(&self.run.id, Outcome::MayHaveRun),
        }
    }

    async fn register_and_run(
        &self,
        homes: &Homes,
        request: Request<Accepted>,
    ) -> Result<(), Refusal> {
        let deadline = request.facts().deadline;
        let verdict = self.register(homes, deadline).await?;
        match verdict {
            RegisterVerdict::Registered => {
                self.own(Progress::Waiting);
                self.refuse_when_leaving()?;
                self.admit().await?;
                self.run_as_runner(homes, request).await
            }
            RegisterVerdict::Joined { runner, progress } => {
                if runner == homes.runner() && progress == Progress::Waiting {
                    self.own(Progress::Waiting);
                    self.admit().await?;
                    return self.run_as_runner(homes, request).await;
                }
                self.follow_or_take_over(homes, request, runner).await
            }
            RegisterVerdict::Finished { runner, outcome } => {
                self.answer_of(runner, outcome, deadline).await
            }
            RegisterVerdict::Conflict => Err(Refusal::last(ErrorKind::KeyConflict)),
            RegisterVerdict::Voided => Err(self.voided().await),
            RegisterVerdict::Full => Err(Refusal::new(ErrorKind::Overloaded, FULL_RETRY_AFTER)),
            RegisterVerdict::Moved | RegisterVerdict::Unknown => {
                Err(Refusal::last(ErrorKind::Internal))
            }
        }
    }

    /// Waits for a permit, asks the home for leave, dispatches; another upstream is tried when no
    /// byte went out.
    async fn run_as_runner(
        &self,
        homes: &Homes,
        request: Request<Accepted>,
    ) -> Result<(), Refusal> {
        let deadline = request.facts().deadline;
        let mut request = request;
        loop {
            let permit = self.permit_to_begin(deadline).await?;
            self.wait_until_sound().await;
            match self.ask_leave(homes, &permit, deadline).await? {
                Leave::Granted(proof) => {
                    let claim = match self.claim_if_unsettled(&permit, deadline).await {
                        Ok(Claimed::Won(claim)) => claim,
                        Ok(Claimed::By(runner, upstream)) => {
                            permit.release(gate::Outcome::Cancelled);
                            self.correct_home(homes, upstream.as_ref(), deadline).await?;
                            return self.yield_to(runner, upstream).await;
                        }
                        Err(refusal) => {
                            permit.release(gate::Outcome::Cancelled);
                            self.take_back(homes, deadline).await?;
                            if refusal.kind == ErrorKind::Voided {
                                self.keep_void(homes).await;
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
                    self.take_back(homes, deadline).await?;
                    request = unsent.reopened();
                }
                Leave::Taken(runner) => {
                    permit.release(gate::Outcome::Cancelled);
                    self.run.set_ownership(Ownership::None);
                    return Box::pin(self.follow_or_take_over(homes, request, runner)).await;
                }
                Leave::Again => {
                    permit.release(gate::Outcome::Cancelled);
                    self.run.set_ownership(Ownership::None);
                    return Box::pin(self.register_and_run(homes, request)).await;
                }
            }
        }
    }

    async fn ask_leave(
        &self,
        homes: &Homes,
        permit: &Permit,
        deadline: Duration,
    ) -> Result<Leave, Refusal> {
        let verdict = homes.dispatching(&self.run.id, &permit.upstream, deadline).await?;
        if let Some(proof) = ClaimProof::from_home(&verdict) {
            self.own(Progress::Dispatched { upstream: permit.upstream.clone() });
            return Ok(Leave::Granted(proof));
        }
        match verdict {
            DispatchVerdict::TakenOver { runner } => Ok(Leave::Taken(runner)),
            // The run may have ended elsewhere while this process was frozen, with an answer or
            // without; the home tells which when the request is registered anew.
            _ => Ok(Leave::Again),
        }
    }

    /// Tells the home where the run of another's claim is, in place of the upstream that it gave leave
    /// for. Else the homes of both sides of a cut would hold the key to be dispatched to two.
    async fn correct_home(
        &self,
        homes: &Homes,
        upstream: Option<&UpstreamName>,
        deadline: Duration,
    ) -> Result<(), Refusal> {
        self.take_back(homes, deadline).await?;
        let Some(upstream) = upstream else { return Ok(()) };
        let told = homes.dispatching(&self.run.id, upstream, deadline).await;
        // The claimer may run the request, so that a refusal can't say otherwise.
        told.map_err(|_| Refusal::last(ErrorKind::AnswerLost))?;
        self.own(Progress::Dispatched { upstream: upstream.clone() });
        Ok(())
    }

    /// Takes back a dispatch of which no byte went out.
    async fn take_back(&self, homes: &Homes, deadline: Duration) -> Result<(), Refusal> {
        if !homes.not_sent(&self.run.id, deadline).await {
            return Err(Refusal::last(ErrorKind::AnswerLost));
        }
        self.own(Progress::Waiting);
        Ok(())
    }

    /// Lets the home hold a key to be void that the claim showed to be so.
    ///
    /// The claim is read only while views may differ; a repeat after that asks the home alone.
    async fn keep_void(&self, homes: &Homes) {
        let deadline = clock::now() + KEEP_VOID_PATIENCE;
        if homes.release_now(&self.run.id, deadline).await.is_ok() {
            let _ = homes.void(&self.run.id, deadline).await;
        }
    }

    /// Claims the request in the key-value service too, when the views of the members may differ
    /// and so may their homes of the key. Nobody else can know a minted key.
    ///
    /// While the service is out, the request waits for the views to agree; members that have been
    /// silent for long don't count then, so that idempotent work goes on.
    async fn claim_if_unsettled(
        &self,
        permit: &Permit,
        deadline: Duration,
    ) -> Result<Claimed, Refusal> {
        if self.work.minted {
            return Ok(Claimed::Won(None));
        }
        let patience = clock::now() + OWN_CLAIM_PATIENCE;
        while self.node.fleet.agreement() != Agreement::Settled {
            match self.claim_run(permit).await {
                Ok(Claimed::By(runner, _)) if runner == Homes::new(&self.node).runner() => {
                    // An attempt that timed out took effect and is being removed; one that stays
                    // was dispatched before. A run that followed itself would wait for ever.
                    if clock::now() >= patience {
                        return Err(Refusal::last(ErrorKind::AnswerLost));
                    }
                    sleep(RUNNER_POLL).await;
                }
                Err(refusal) if refusal.kind != ErrorKind::StoreUnavailable => return Err(refusal),
                Err(_) if self.node.fleet.agreement() == Agreement::SettledExceptGone => break,
                Err(refusal) if clock::now() >= deadline => return Err(refusal),
                Err(_) => {}
                claimed => return claimed,
            }
        }
        Ok(Claimed::Won(None))
    }

    async fn claim_run(&self, permit: &Permit) -> Result<Claimed, Refusal> {
        match self.node.claims.claim_run(&self.work, &permit.upstream).await? {
            ClaimOutcome::Won(claim) => Ok(Claimed::Won(Some(claim))),
            ClaimOutcome::Pending { instance, incarnation, upstream, .. } => {
                Ok(Claimed::By(Runner { instance, incarnation }, upstream))
            }
            ClaimOutcome::Conflict => Err(Refusal::last(ErrorKind::KeyConflict)),
            ClaimOutcome::Voided => Err(Refusal::last(ErrorKind::Voided)),
            ClaimOutcome::Answered(_) => Err(Refusal::last(ErrorKind::AnswerGone)),
        }
    }

    /// Gives way to the runner that holds the claim: follows it, or resumes its run if it died.
    async fn yield_to(
        &self,
        runner: Runner,
        upstream: Option<UpstreamName>,
    ) -> Result<(), Refusal> {
        self.free_slot();
        let lost = Refusal::last(ErrorKind::AnswerLost);
        if let Some(peer) = self.node.fleet.live_run(&runner.instance, runner.incarnation) {
            let key = self.run.id.key.clone();
            match self.follow(&peer, key, runner.incarnation).await {
                Followed::Whole => return Ok(()),
                Followed::Failed(refusal) => return Err(refusal),
                Followed::NoRun | Followed::Cut => {}
            }
        }
        self.resume_at(upstream.ok_or(lost)?).await
    }

    /// Follows the runner of the key; a runner that died is replaced.
    async fn follow_or_take_over(
        &self,
        homes: &Homes,
        request: Request<Accepted>,
        runner: Runner,
    ) -> Result<(), Refusal> {
        let deadline = request.facts().deadline;
        self.free_slot();
        loop {
            if runner == homes.runner() {
                // This incarnation dispatched the request before and no longer knows its end.
                return Err(Refusal::last(ErrorKind::AnswerLost));
            }
            if let Some(peer) = self.node.fleet.live_run(&runner.instance, runner.incarnation) {
                let key = self.run.id.key.clone();
                match self.follow(&peer, key, runner.incarnation).await {
                    Followed::Whole => return Ok(()),
                    Followed::Failed(refusal) => return Err(refusal),
                    Followed::NoRun => return Err(Refusal::last(ErrorKind::AnswerGone)),
                    Followed::Cut => sleep(RUNNER_POLL).await,
                }
                continue;
            }
            let verdict = homes.take_over(&self.run.id, &runner, deadline).await?;
            return match verdict {
                TakeOverVerdict::NotDispatched => {
                    self.own(Progress::Waiting);
                    Box::pin(self.run_as_runner(homes, request)).await
                }
                TakeOverVerdict::Resume { upstream } => self.resume_at(upstream).await,
                TakeOverVerdict::Refused => Box::pin(self.register_and_run(homes, request)).await,
            };
        }
    }

    /// Resumes a run at its upstream after its runner died.
    async fn resume_at(&self, upstream: UpstreamName) -> Result<(), Refusal> {
        self.own(Progress::Dispatched { upstream: upstream.clone() });
        self.run.note(Step::TakenOver(upstream.clone()));
        completion::take_over(self, upstream).await
    }

    /// Fetches the answer of a run that ended.
    ///
    /// An exchange that is cut says nothing of the answer: after a freeze of this process its
    /// connections are closed while the runner still has it.
    async fn answer_of(
        &self,
        runner: Runner,
        outcome: Outcome,
        deadline: Duration,
    ) -> Result<(), Refusal> {
        match outcome {
            Outcome::NotRun => return Err(Refusal::last(ErrorKind::Voided)),
            Outcome::MayHaveRun => return Err(Refusal::last(ErrorKind::AnswerLost)),
            Outcome::Answered => {}
        }
        let gone = Refusal::last(ErrorKind::AnswerGone);
        if self.node.is_run(&runner.instance, runner.incarnation) {
            return Err(gone);
        }
        loop {
            let peer =
                self.node.fleet.live_run(&runner.instance, runner.incarnation).ok_or(gone)?;
            let key = self.run.id.key.clone();
            match self.follow(&peer, key, runner.incarnation).await {
                Followed::Whole => return Ok(()),
                Followed::Failed(refusal) => return Err(refusal),
                Followed::NoRun => return Err(gone),
                Followed::Cut if clock::now() >= deadline => return Err(gone),
                Followed::Cut => sleep(RUNNER_POLL).await,
            }
        }
    }

    pub(super) async fn register(
        &self,
        homes: &Homes,
        deadline: Duration,
    ) -> Result<RegisterVerdict, Refusal> {
        let work = &self.work;
        homes.register(&work.id, &work.fingerprint, work.minted, deadline).await
    }

    fn own(&self, progress: Progress) {
        self.run.set_ownership(Ownership::Runner(progress));
    }

    /// Returns the time until which a request of this tier may wait from now on.
    pub(super) fn fresh_deadline(&self) -> Duration {
        clock::now().saturating_add(self.work.max_wait)
    }
}
