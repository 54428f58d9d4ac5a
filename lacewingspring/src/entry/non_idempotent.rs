//! Non-idempotent requests: looks up an earlier claim, waits for a permit, claims and dispatches.

use std::time::Duration;

use lacewingspring_core::{
    error::{ErrorKind, RunState},
    gate::Outcome,
    request::{Accepted, ClaimProof, Request},
};

use super::{Refusal, Step, claims::ClaimOutcome, drive::RunDriver};
use crate::homes::HomeClient;

/// Retry-after of a refusal because the upstream could not be reached.
const UNREACHABLE_RETRY_AFTER: Duration = Duration::from_secs(1);

impl RunDriver {
    /// Runs a non-idempotent request: looks up an earlier claim, waits for a permit, claims the key
    /// and dispatches.
    pub(super) async fn run_non_idempotent(
        &self,
        homes: &HomeClient,
        request: Request<Accepted>,
    ) -> Result<(), Refusal> {
        let claims = &self.node.claims;
        let deadline = request.facts().deadline;
        self.register_non_idempotent(homes).await?;
        if let Some(outcome) = claims.look_up(&self.work, deadline).await? {
            return self.answer_from_claim(outcome).await;
        }
        self.refuse_when_leaving()?;
        self.admit().await?;
        let permit = self.acquire_permit_to_begin(deadline).await?;
        let claim = match claims.claim(&self.work).await {
            Ok(ClaimOutcome::Won(claim)) => claim,
            Ok(outcome) => {
                permit.release(Outcome::Cancelled);
                return self.answer_from_claim(outcome).await;
            }
            Err(refusal) => {
                permit.release(Outcome::Cancelled);
                return Err(refusal);
            }
        };
        self.run.record_step(Step::Claimed);
        let claimed = request.claimed(ClaimProof::won());
        match self.dispatch(claimed, permit, Some(claim.dispatch_by)).await {
            Ok(None) => {
                claims.finish(claim, self.run.answer());
                Ok(())
            }
            Ok(Some(_unsent)) => {
                claims.abandon(claim);
                Err(Refusal::new(ErrorKind::NoUpstream, UNREACHABLE_RETRY_AFTER))
            }
            Err(refusal) => {
                if refusal.kind.answer().run == RunState::NotRun {
                    claims.abandon(claim);
                }
                Err(refusal)
            }
        }
    }

    /// Answers from the claim of an earlier attempt.
    async fn answer_from_claim(&self, outcome: ClaimOutcome) -> Result<(), Refusal> {
        self.run.record_step(Step::ClaimFound);
        self.free_slot();
        match outcome {
            ClaimOutcome::Answered(answer) => {
                self.run.push_answer(answer);
                Ok(())
            }
            ClaimOutcome::Voided => Err(Refusal::permanent(ErrorKind::Voided)),
            ClaimOutcome::Conflict => Err(Refusal::permanent(ErrorKind::KeyConflict)),
            ClaimOutcome::Pending { instance, incarnation, key, .. } => {
                let unknown = Refusal::permanent(ErrorKind::OutcomeUnknown);
                if self.node.is_run(&instance, incarnation) && key == self.work.id.key {
                    // This incarnation ran the request before and has dropped its outcome.
                    return Err(unknown);
                }
                let peer = self.node.fleet.live_run(&instance, incarnation).ok_or(unknown)?;
                self.follow_claim_holder(&peer, key, incarnation).await
            }
            ClaimOutcome::Won(_) => Err(Refusal::permanent(ErrorKind::Internal)),
        }
    }
}
