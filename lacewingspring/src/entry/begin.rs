//! A permit for a completion that the home of its fingerprint let begin.

use std::time::Duration;

use lacewingspring_core::{
    error::ErrorKind,
    gate::{Outcome, Placement},
    poison::Verdict,
};
use tokio::time::sleep;

use super::{Body, Refusal, drive::Drive, permit::Permit};
use crate::{
    clock,
    poison::{BeginOutcome, begin},
};

/// When callers are told to come back if no home of the fingerprint answers.
const NO_HOME_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Shortest pause before a home that made the request wait is asked again.
const MIN_PAUSE: Duration = Duration::from_millis(20);

impl Drive {
    /// Waits for a permit and for the leave to begin, until the deadline.
    pub(super) async fn permit_to_begin(&self, deadline: Duration) -> Result<Permit, Refusal> {
        if !matches!(self.work.body, Body::Completion { .. }) {
            return self.permit(deadline).await;
        }
        let mut beside = None;
        loop {
            let placement = self.placement(beside.take())?;
            let alone = placement == Placement::Alone;
            let mut permit = self.permit_to(deadline, None, placement).await?;
            let fingerprint = &self.work.fingerprint;
            match begin(&self.node, fingerprint, &permit.upstream, alone, deadline).await {
                BeginOutcome::Run(trial) => {
                    permit.trial = trial;
                    return Ok(permit);
                }
                BeginOutcome::Alone => beside = Some(Placement::Alone),
                BeginOutcome::UseUpstream(upstream) => beside = Some(Placement::On(upstream)),
                BeginOutcome::Wait(after) => {
                    permit.release(Outcome::Cancelled);
                    sleep(after.max(MIN_PAUSE)).await;
                    if clock::now() >= deadline {
                        let after = self.work.max_wait.min(NO_HOME_RETRY_AFTER);
                        return Err(Refusal::new(ErrorKind::DeadlineExceeded, after));
                    }
                }
                BeginOutcome::Quarantined => return Err(Refusal::last(ErrorKind::Quarantined)),
                BeginOutcome::NoHome => {
                    return Err(Refusal::new(ErrorKind::NoUpstream, NO_HOME_RETRY_AFTER));
                }
            }
        }
    }

    /// Chooses where the request may run by the verdict known here and what the home said.
    fn placement(&self, said: Option<Placement>) -> Result<Placement, Refusal> {
        match (self.node.poison.verdict(&self.work.fingerprint), said) {
            (Verdict::Quarantined, _) => Err(Refusal::last(ErrorKind::Quarantined)),
            (Verdict::Suspect, _) => Ok(Placement::Alone),
            (Verdict::Clear, said) => Ok(said.unwrap_or_default()),
        }
    }
}
