//! Refusals of repeats: "not run" is said only of a key that is known not to have run.

use std::time::Duration;

use lacewingspring_core::{
    claim::ClaimState,
    error::{ErrorKind, RunState},
    key_index::{Progress, RegisterVerdict},
};

use super::{LEAVING_RETRY_AFTER, Ownership, Refusal, drive::Drive};
use crate::{homes::Homes, membership::Agreement};

/// Longest wait for the home of a non-idempotent key.
const HOME_PATIENCE: Duration = Duration::from_millis(1_000);

/// When callers are told to ask again while the claim of a void key can't be settled.
const UNDECIDED_RETRY_AFTER: Duration = Duration::from_secs(5);

impl Drive {
    /// Registers a non-idempotent request with the home of its key, which remembers it in an
    /// outage of the key-value service. The claim still decides who dispatches.
    ///
    /// # Errors
    ///
    /// Refuses a key of another request.
    pub(super) async fn register_once(&self, homes: &Homes) -> Result<(), Refusal> {
        let deadline = self.fresh_deadline().min(self.accepted + HOME_PATIENCE);
        match self.register(homes, deadline).await {
            Ok(RegisterVerdict::Registered) => {
                self.run.set_ownership(Ownership::Runner(Progress::Waiting));
                Ok(())
            }
            Ok(RegisterVerdict::Conflict) => Err(Refusal::last(ErrorKind::KeyConflict)),
            // A void too: a status query voids the key here before it reads the claim, which may say
            // otherwise.
            Ok(_) | Err(_) => {
                self.doubt();
                Ok(())
            }
        }
    }

    /// Refuses a key that its home holds to be void.
    ///
    /// "Not run" is said once the claim says so too: the query that voided the key may have failed
    /// before the claim, and home and backup may both die before they tell of the void.
    pub(super) async fn voided(&self) -> Refusal {
        match self.node.claims.settle(&self.work.id).await {
            Ok(claim) if claim.state == ClaimState::Void => Refusal::last(ErrorKind::Voided),
            Ok(_) | Err(_) => Refusal::new(ErrorKind::Undecided, UNDECIDED_RETRY_AFTER),
        }
    }

    /// Refuses new work at an instance that leaves.
    pub(super) fn refuse_when_leaving(&self) -> Result<(), Refusal> {
        if self.node.is_leaving() {
            return Err(Refusal::new(ErrorKind::Leaving, LEAVING_RETRY_AFTER));
        }
        Ok(())
    }

    /// Takes "not run" out of a refusal when the key may have run before.
    pub(super) async fn without_false_claim(&self, refusal: Refusal) -> Refusal {
        let not_run = refusal.kind.answer().run == RunState::NotRun;
        let of_the_key = matches!(refusal.kind, ErrorKind::Voided | ErrorKind::KeyConflict);
        if !not_run || of_the_key || self.work.minted || !self.may_have_run_before().await {
            return refusal;
        }
        Refusal::new(ErrorKind::Undecided, refusal.retry_after)
    }

    async fn may_have_run_before(&self) -> bool {
        if self.in_doubt() {
            return true;
        }
        if !self.work.service.idempotent || self.node.fleet.agreement() == Agreement::Settled {
            return false;
        }
        // Another home may know the key; what was dispatched while views differed is claimed.
        self.node.claims.may_have_run(&self.work.id).await
    }
}
