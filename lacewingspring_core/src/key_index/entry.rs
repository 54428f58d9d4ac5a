//! Entries of the index: open runs and settled keys.

use std::time::Duration;

use crate::names::Fingerprint;

use super::message::{
    Announcement, DispatchVerdict, HandOver, KeyId, Outcome, Progress, RegisterVerdict, Runner,
    VoidVerdict,
};

/// A run that has not ended.
#[derive(Clone, Debug)]
pub(super) struct OpenRun {
    pub(super) fingerprint: Fingerprint,
    pub(super) runner: Runner,
    pub(super) progress: Progress,
    /// Whether the index knows the run only from its runner's announcement. The previous home may
    /// have replaced that runner.
    pub(super) unconfirmed: bool,
}

impl OpenRun {
    /// Whether another runner may have replaced the announced one or dispatched the run.
    pub(super) fn may_be_stale(&self) -> bool {
        self.unconfirmed && self.progress == Progress::Waiting
    }

    /// Answers a registration of the key of this run.
    pub(super) fn answer_registration(
        &self,
        fingerprint: &Fingerprint,
        runner: &Runner,
    ) -> RegisterVerdict {
        if self.fingerprint != *fingerprint {
            return RegisterVerdict::Conflict;
        }
        // A registration is idempotent: the runner retries if the reply was lost.
        if self.runner == *runner && self.progress == Progress::Waiting {
            return RegisterVerdict::Registered;
        }
        RegisterVerdict::Joined { runner: self.runner.clone(), progress: self.progress.clone() }
    }

    pub(super) fn announcement(&self, id: &KeyId) -> Announcement {
        Announcement {
            id: id.clone(),
            fingerprint: self.fingerprint.clone(),
            runner: self.runner.clone(),
            progress: self.progress.clone(),
        }
    }
}

/// Entry of a key without an open run: settled, handed over to another home, or confirmed as new.
#[derive(Clone, Debug)]
pub(super) struct SettledEntry {
    /// Digest of service and body; `None` if no run of the key is known here.
    pub(super) fingerprint: Option<Fingerprint>,
    pub(super) settlement: Settlement,
    /// Number of this settlement; an older entry of the key in `KeyIndex::settled_by_age` has
    /// another one.
    pub(super) number: u64,
    /// Time at which the index forgets the key.
    pub(super) expires: Duration,
}

/// How a key was settled.
#[derive(Clone, Debug)]
pub(super) enum Settlement {
    Finished {
        runner: Runner,
        outcome: Outcome,
    },
    /// Voided by a status query.
    Void {
        /// Whether this index voided the key, as opposed to another home.
        local: bool,
    },
    /// Handed over to another home.
    Moved {
        /// Run that was open at the hand-over, or a dispatched run that was announced since;
        /// `None` if neither is known.
        run: Option<Announcement>,
        /// Time of the hand-over.
        at: Duration,
    },
    /// Unknown to all previous homes, so the key may be registered as new.
    ConfirmedNew,
}

impl SettledEntry {
    /// Answers a registration; `None` if the key is new.
    pub(super) fn answer_registration(&self, fingerprint: &Fingerprint) -> Option<RegisterVerdict> {
        let is_other = |known: &Fingerprint| known != fingerprint;
        match &self.settlement {
            Settlement::ConfirmedNew => None,
            Settlement::Moved { .. } => Some(RegisterVerdict::Moved),
            _ if self.fingerprint.as_ref().is_some_and(is_other) => Some(RegisterVerdict::Conflict),
            Settlement::Finished { runner, outcome } => {
                Some(RegisterVerdict::Finished { runner: runner.clone(), outcome: *outcome })
            }
            Settlement::Void { .. } => Some(RegisterVerdict::Voided),
        }
    }

    /// Answers a status query; `None` if the key is new.
    pub(super) fn answer_status_query(&self) -> Option<VoidVerdict> {
        match &self.settlement {
            Settlement::ConfirmedNew => None,
            Settlement::Moved { .. } => Some(VoidVerdict::Moved),
            Settlement::Finished { runner, outcome } => {
                Some(VoidVerdict::Finished { runner: runner.clone(), outcome: *outcome })
            }
            Settlement::Void { .. } => Some(VoidVerdict::Voided),
        }
    }

    /// Returns the run of a key that was handed over, if one is known.
    pub(super) fn moved_run(&self) -> Option<&Announcement> {
        match &self.settlement {
            Settlement::Moved { run, .. } => run.as_ref(),
            _ => None,
        }
    }

    pub(super) fn answer_dispatch(&self) -> DispatchVerdict {
        match self.settlement {
            Settlement::Moved { .. } => DispatchVerdict::Moved,
            Settlement::ConfirmedNew => DispatchVerdict::Unknown,
            _ => DispatchVerdict::Settled,
        }
    }

    pub(super) fn hand_over(&self) -> HandOver {
        match &self.settlement {
            Settlement::Moved { run: Some(run), .. } => HandOver::Open(run.clone()),
            Settlement::Moved { run: None, .. } | Settlement::ConfirmedNew => HandOver::Absent,
            Settlement::Finished { runner, outcome } => HandOver::Finished {
                fingerprint: self.fingerprint.clone(),
                runner: runner.clone(),
                outcome: *outcome,
            },
            Settlement::Void { .. } => HandOver::Voided,
        }
    }
}
