//! Acquires the permit of a request and, for a completion, the permission of the home of its
//! fingerprint to begin the run.

use std::time::Duration;

use lacewingspring_core::{
    error::ErrorKind,
    gate::{Outcome, Placement},
    poison::Verdict,
};
use tokio::time::sleep;

use super::{Body, Refusal, drive::RunDriver, permit::Permit};
use crate::{
    clock,
    poison::{BeginOutcome, begin},
};

/// Retry-after of a refusal because no home of the fingerprint answers. Also the longest
/// retry-after of a request whose deadline passes while its home makes it wait.
const NO_HOME_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Minimum pause before a home that answered `Wait` is asked again.
const MIN_RETRY_PAUSE: Duration = Duration::from_millis(20);

impl RunDriver {
    /// Waits until the deadline for a permit and, for a completion, for the home of its fingerprint
    /// to let the run begin.
    pub(super) async fn acquire_permit_to_begin(
        &self,
        deadline: Duration,
    ) -> Result<Permit, Refusal> {
        if !matches!(self.work.body, Body::Completion { .. }) {
            return self.acquire_permit(deadline).await;
        }
        let mut from_home = None;
        loop {
            let placement = self.placement(from_home.take())?;
            let alone = placement == Placement::Alone;
            let mut permit = self.acquire_permit_with(deadline, None, placement).await?;
            let fingerprint = &self.work.fingerprint;
            match begin(&self.node, fingerprint, &permit.upstream, alone, deadline).await {
                BeginOutcome::Run(guard) => {
                    permit.run_guard = guard;
                    return Ok(permit);
                }
                BeginOutcome::Alone => from_home = Some(Placement::Alone),
                BeginOutcome::UseUpstream(upstream) => from_home = Some(Placement::On(upstream)),
                BeginOutcome::Wait(after) => {
                    permit.release(Outcome::Cancelled);
                    sleep(after.max(MIN_RETRY_PAUSE)).await;
                    if clock::now() >= deadline {
                        let after = self.work.max_wait.min(NO_HOME_RETRY_AFTER);
                        return Err(Refusal::new(ErrorKind::DeadlineExceeded, after));
                    }
                }
                BeginOutcome::Quarantined => {
                    return Err(Refusal::permanent(ErrorKind::Quarantined));
                }
                BeginOutcome::NoHome => {
                    return Err(Refusal::new(ErrorKind::NoUpstream, NO_HOME_RETRY_AFTER));
                }
            }
        }
    }

    /// Returns the placement of the request: from this instance's verdict on it, else from the
    /// reply of the home.
    fn placement(&self, from_home: Option<Placement>) -> Result<Placement, Refusal> {
        match (self.node.poison.verdict(&self.work.fingerprint), from_home) {
            (Verdict::Quarantined, _) => Err(Refusal::permanent(ErrorKind::Quarantined)),
            (Verdict::Suspect, _) => Ok(Placement::Alone),
            (Verdict::Clear, from_home) => Ok(from_home.unwrap_or_default()),
        }
    }
}
