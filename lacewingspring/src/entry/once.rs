//! Non-idempotent requests: looked for, permitted, claimed, dispatched.

use std::time::Duration;

use lacewingspring_core::{
    error::{ErrorKind, RunState},
    gate::Outcome,
    request::{Accepted, ClaimProof, Request},
};

use super::{Refusal, Step, claims::ClaimOutcome, drive::Drive};
use crate::homes::Homes;

/// When callers are told to come back after an upstream could not be reached.
const UNREACHABLE_RETRY_AFTER: Duration = Duration::from_secs(1);

impl Drive {
    /// Runs a non-idempotent request: looks for an earlier claim, waits, claims, dispatches.
    pub(super) async fn run_once(
        &self,
        homes: &Homes,
        request: Request<Accepted>,
    ) -> Result<(), Refusal> {
        let claims = &self.node.claims;
        let deadline = request.facts().deadline;
        self.register_once(homes).await?;
        if let Some(outcome) = claims.look_up(&self.work, deadline).await? {
            return self.settle(outcome).await;
        }
        self.refuse_when_leaving()?;
        self.admit().await?;
        let permit = self.permit_to_begin(deadline).await?;
        let claim = match claims.claim(&self.work).await {
            Ok(ClaimOutcome::Won(claim)) => claim,
            Ok(outcome) => {
                permit.release(Outcome::Cancelled);
                return self.settle(outcome).await;
            }
            Err(refusal) => {
                permit.release(Outcome::Cancelled);
                return Err(refusal);
            }
        };
        self.run.note(Step::Claimed);
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

    /// Answers from a claim that stood before.
    async fn settle(&self, outcome: ClaimOutcome) -> Result<(), Refusal> {
        self.run.note(Step::ClaimFound);
        self.free_slot();
        match outcome {
            ClaimOutcome::Answered(answer) => {
                self.run.push_answer(answer);
                Ok(())
            }
            ClaimOutcome::Voided => Err(Refusal::last(ErrorKind::Voided)),
            ClaimOutcome::Conflict => Err(Refusal::last(ErrorKind::KeyConflict)),
            ClaimOutcome::Pending { instance, incarnation, key, .. } => {
                let unknown = Refusal::last(ErrorKind::OutcomeUnknown);
                if self.node.is_run(&instance, incarnation) && key == self.work.id.key {
                    // This incarnation drove the run before and no longer knows its end.
                    return Err(unknown);
                }
                let peer = self.node.fleet.live_run(&instance, incarnation).ok_or(unknown)?;
                self.follow_claimer(&peer, key, incarnation).await
            }
            ClaimOutcome::Won(_) => Err(Refusal::last(ErrorKind::Internal)),
        }
    }
}
