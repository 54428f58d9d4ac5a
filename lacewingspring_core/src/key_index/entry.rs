//! What the index knows of one key: an open run, or a settled key.

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
    /// Whether only its runner has announced it, which may have been replaced at the former home.
    pub(super) hearsay: bool,
}

impl OpenRun {
    /// Whether the run may be no more what its runner announced.
    pub(super) fn is_doubtful(&self) -> bool {
        self.hearsay && self.progress == Progress::Waiting
    }

    /// Answers a registration of the same key.
    pub(super) fn joined_by(&self, fingerprint: &Fingerprint, asker: &Runner) -> RegisterVerdict {
        if self.fingerprint != *fingerprint {
            return RegisterVerdict::Conflict;
        }
        // A registration whose reply was lost is answered again.
        if self.runner == *asker && self.progress == Progress::Waiting {
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

/// A key that is dispatched no more by this index.
#[derive(Clone, Debug)]
pub(super) struct Settled {
    /// Digest of service and body; none when no run was registered here.
    pub(super) fingerprint: Option<Fingerprint>,
    pub(super) settlement: Settlement,
    pub(super) number: u64,
    pub(super) expires: Duration,
}

/// How a key was settled.
#[derive(Clone, Debug)]
pub(super) enum Settlement {
    Finished {
        runner: Runner,
        outcome: Outcome,
    },
    /// Voided for a status query.
    Void {
        /// Whether this index voided it; else it was told so.
        here: bool,
    },
    /// Handed over to another home, with the run that was open.
    Moved {
        run: Option<Announcement>,
        at: Duration,
    },
    /// New by the word of all previous homes.
    Fresh,
}

impl Settled {
    /// Answers a registration; none when the key is new.
    pub(super) fn answer(&self, fingerprint: &Fingerprint) -> Option<RegisterVerdict> {
        let is_other = |known: &Fingerprint| known != fingerprint;
        match &self.settlement {
            Settlement::Fresh => None,
            Settlement::Moved { .. } => Some(RegisterVerdict::Moved),
            _ if self.fingerprint.as_ref().is_some_and(is_other) => Some(RegisterVerdict::Conflict),
            Settlement::Finished { runner, outcome } => {
                Some(RegisterVerdict::Finished { runner: runner.clone(), outcome: *outcome })
            }
            Settlement::Void { .. } => Some(RegisterVerdict::Voided),
        }
    }

    /// Answers a status query; none when the key is new.
    pub(super) fn answer_status(&self) -> Option<VoidVerdict> {
        match &self.settlement {
            Settlement::Fresh => None,
            Settlement::Moved { .. } => Some(VoidVerdict::Moved),
            Settlement::Finished { runner, outcome } => {
                Some(VoidVerdict::Finished { runner: runner.clone(), outcome: *outcome })
            }
            Settlement::Void { .. } => Some(VoidVerdict::Voided),
        }
    }

    /// Returns the run that was handed over with the key.
    pub(super) fn moved_run(&self) -> Option<&Announcement> {
        match &self.settlement {
            Settlement::Moved { run, .. } => run.as_ref(),
            _ => None,
        }
    }

    pub(super) fn refuse_dispatch(&self) -> DispatchVerdict {
        match self.settlement {
            Settlement::Moved { .. } => DispatchVerdict::Moved,
            Settlement::Fresh => DispatchVerdict::Unknown,
            _ => DispatchVerdict::Settled,
        }
    }

    pub(super) fn hand_over(&self) -> HandOver {
        match &self.settlement {
            Settlement::Moved { run: Some(run), .. } => HandOver::Open(run.clone()),
            Settlement::Moved { run: None, .. } | Settlement::Fresh => HandOver::Absent,
            Settlement::Finished { runner, outcome } => HandOver::Finished {
                fingerprint: self.fingerprint.clone(),
                runner: runner.clone(),
                outcome: *outcome,
            },
            Settlement::Void { .. } => HandOver::Voided,
        }
    }
}
