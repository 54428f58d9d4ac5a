//! Refusals of repeats: a refusal says "not run" only if the key is known not to have run.

use std::time::Duration;

use lacewingspring_core::{
    claim::ClaimState,
    error::{ErrorKind, RunState},
    key_index::{Progress, RegisterVerdict},
};

use super::{LEAVING_RETRY_AFTER, Ownership, Refusal, drive::RunDriver};
use crate::{homes::HomeClient, membership::Agreement};

/// Maximum wait for the home of a non-idempotent key.
const HOME_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Retry-after of a refusal of a void key whose claim is not void or cannot be read.
const UNDECIDED_RETRY_AFTER: Duration = Duration::from_secs(5);

impl RunDriver {
    /// Registers a non-idempotent request with the home of its key. The home keeps the key if the
    /// key-value service is unavailable, but only the claim decides who dispatches.
    ///
    /// # Errors
    ///
    /// Returns `KeyConflict` if the key belongs to another request.
    pub(super) async fn register_non_idempotent(&self, homes: &HomeClient) -> Result<(), Refusal> {
        let deadline = self.deadline_from_now().min(self.accepted_at + HOME_TIMEOUT);
        match self.register(homes, deadline).await {
            Ok(RegisterVerdict::Registered) => {
                self.run.set_ownership(Ownership::Runner(Progress::Waiting));
                Ok(())
            }
            Ok(RegisterVerdict::Conflict) => Err(Refusal::permanent(ErrorKind::KeyConflict)),
            // Also on `Voided`: a status query voids the key at its home before it reads the claim,
            // and the claim may differ.
            Ok(_) | Err(_) => {
                self.mark_may_have_run();
                Ok(())
            }
        }
    }

    /// Returns the refusal of a key that its home records as void.
    ///
    /// The refusal says "not run" only if the claim is void too: the query that voided the key may
    /// have failed before it wrote the claim, and the home and its backup may both die before they
    /// pass the void on.
    pub(super) async fn voided(&self) -> Refusal {
        match self.node.claims.void_if_absent(&self.work.id).await {
            Ok(claim) if claim.state == ClaimState::Void => Refusal::permanent(ErrorKind::Voided),
            Ok(_) | Err(_) => Refusal::new(ErrorKind::Undecided, UNDECIDED_RETRY_AFTER),
        }
    }

    /// Refuses new work if this instance is leaving.
    pub(super) fn refuse_when_leaving(&self) -> Result<(), Refusal> {
        if self.node.is_leaving() {
            return Err(Refusal::new(ErrorKind::Leaving, LEAVING_RETRY_AFTER));
        }
        Ok(())
    }

    /// Replaces a refusal that says "not run" by `Undecided` if the key may have run before.
    pub(super) async fn correct_not_run(&self, refusal: Refusal) -> Refusal {
        let not_run = refusal.kind.answer().run == RunState::NotRun;
        let concerns_key = matches!(refusal.kind, ErrorKind::Voided | ErrorKind::KeyConflict);
        if !not_run || concerns_key || self.work.minted || !self.may_have_run_before().await {
            return refusal;
        }
        Refusal::new(ErrorKind::Undecided, refusal.retry_after)
    }

    async fn may_have_run_before(&self) -> bool {
        if self.is_marked_may_have_run() {
            return true;
        }
        if !self.work.service.idempotent || self.node.fleet.agreement() == Agreement::Settled {
            return false;
        }
        // Another home may know the key. Whatever was dispatched while membership views differed
        // has a claim.
        self.node.claims.may_have_run(&self.work.id).await
    }
}
