//! Follows a run that another instance drives.

use lacewingspring_core::{error::ErrorKind, names::RequestKey};

use super::{Refusal, Step, drive::RunDriver};
use crate::peers::{Message, PeerAddress, RunPart};

/// Why following a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FollowEnd {
    /// The whole answer arrived.
    Complete,
    /// The other instance refused the run.
    Failed(Refusal),
    /// The other instance does not know the run.
    UnknownRun,
    /// The exchange with the other instance closed.
    Interrupted,
}

impl RunDriver {
    /// Copies the parts of a run that another instance drives; skips those that this instance has.
    pub async fn follow(&self, peer: &PeerAddress, key: RequestKey, incarnation: u64) -> FollowEnd {
        self.run.record_step(Step::Followed);
        let workspace = self.work.id.workspace.clone();
        let follow = Message::Follow { workspace, key, incarnation };
        let Ok(mut exchange) = self.node.peers.open(peer, follow).await else {
            return FollowEnd::Interrupted;
        };
        let mut to_skip = self.run.len();
        loop {
            match exchange.rx.recv().await {
                Some(Message::Part(RunPart::Failed { kind, retry_after_ms })) => {
                    return FollowEnd::Failed(Refusal::from_ms(kind, retry_after_ms));
                }
                Some(Message::Part(_)) if to_skip > 0 => to_skip -= 1,
                Some(Message::Part(part)) => {
                    let last = matches!(part, RunPart::End { .. });
                    self.run.push(part);
                    if last {
                        return FollowEnd::Complete;
                    }
                }
                Some(_) => return FollowEnd::UnknownRun,
                None => return FollowEnd::Interrupted,
            }
        }
    }

    /// Follows the holder of the claim of a non-idempotent request.
    ///
    /// # Errors
    ///
    /// Returns the claim holder's refusal, or `OutcomeUnknown` if it cannot be followed.
    pub async fn follow_claim_holder(
        &self,
        peer: &PeerAddress,
        key: RequestKey,
        incarnation: u64,
    ) -> Result<(), Refusal> {
        match self.follow(peer, key, incarnation).await {
            FollowEnd::Complete => Ok(()),
            FollowEnd::Failed(refusal) => Err(refusal),
            FollowEnd::UnknownRun | FollowEnd::Interrupted => {
                Err(Refusal::permanent(ErrorKind::OutcomeUnknown))
            }
        }
    }
}
