//! Follows a run that another instance drives.

use lacewingspring_core::{error::ErrorKind, names::RequestKey};

use super::{Refusal, Step, drive::Drive};
use crate::peers::{Message, PeerAddress, RunPart};

/// How following a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Followed {
    /// The whole answer arrived.
    Whole,
    /// The run was given up there.
    Failed(Refusal),
    /// The instance knows no such run.
    NoRun,
    /// The exchange was cut.
    Cut,
}

impl Drive {
    /// Copies the parts of a run that another instance drives, after those that are here already.
    pub async fn follow(&self, peer: &PeerAddress, key: RequestKey, incarnation: u64) -> Followed {
        self.run.note(Step::Followed);
        let workspace = self.work.id.workspace.clone();
        let follow = Message::Follow { workspace, key, incarnation };
        let Ok(mut exchange) = self.node.peers.open(peer, follow).await else {
            return Followed::Cut;
        };
        let mut known = self.run.len();
        loop {
            match exchange.rx.recv().await {
                Some(Message::Part(RunPart::Failed { kind, retry_after_ms })) => {
                    return Followed::Failed(Refusal::from_ms(kind, retry_after_ms));
                }
                Some(Message::Part(_)) if known > 0 => known -= 1,
                Some(Message::Part(part)) => {
                    let last = matches!(part, RunPart::End { .. });
                    self.run.push(part);
                    if last {
                        return Followed::Whole;
                    }
                }
                Some(_) => return Followed::NoRun,
                None => return Followed::Cut,
            }
        }
    }

    /// Follows the claimer of a non-idempotent request.
    ///
    /// # Errors
    ///
    /// Refuses as the claimer did, or with `OutcomeUnknown` when it can't be followed.
    pub async fn follow_claimer(
        &self,
        peer: &PeerAddress,
        key: RequestKey,
        incarnation: u64,
    ) -> Result<(), Refusal> {
        match self.follow(peer, key, incarnation).await {
            Followed::Whole => Ok(()),
            Followed::Failed(refusal) => Err(refusal),
            Followed::NoRun | Followed::Cut => Err(Refusal::permanent(ErrorKind::OutcomeUnknown)),
        }
    }
}
