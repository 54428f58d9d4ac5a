//! Replication of settled keys between indexes, so that they survive a change of the home.

use std::time::Duration;

use super::{
    Announcement, HandOver, KeyId, KeyIndex, Outcome, Progress, SettledKey,
    entry::{SettledEntry, Settlement},
};

impl KeyIndex {
    /// Returns a key that this index knows to be voided or to have run, unless it has expired.
    pub fn settled_key(&self, now: Duration, id: &KeyId) -> Option<SettledKey> {
        let settled = self.settled.get(id)?;
        let ttl = settled.expires.checked_sub(now).filter(|ttl| !ttl.is_zero())?;
        match settled.hand_over() {
            HandOver::Absent | HandOver::Open(_) => None,
            known => Some(SettledKey { id: id.clone(), known, ttl }),
        }
    }

    /// Returns up to `limit` settled keys: the voided ones, then those that have run, newest first.
    ///
    /// Voided keys come first because only indexes know of them, whereas runners announce their own
    /// ended runs too.
    pub fn settled_keys(&self, now: Duration, limit: usize) -> Vec<SettledKey> {
        let newest =
            || self.settled_by_age.iter().rev().filter(|(number, id)| self.is_latest(*number, id));
        let voids = newest().filter(|(_, id)| self.is_void(id));
        let others = newest().filter(|(_, id)| !self.is_void(id));
        let keys = voids.chain(others).filter_map(|(_, id)| self.settled_key(now, id));
        keys.take(limit).collect()
    }

    /// Merges a settled key that another index or the runner of the key sent.
    pub fn merge_settled(&mut self, now: Duration, key: SettledKey) {
        let SettledKey { id, known, ttl } = key;
        self.expire(now);
        let ttl = ttl.min(self.cfg.retention);
        match known {
            HandOver::Absent | HandOver::Open(_) => {}
            HandOver::Voided => {
                self.merge_settlement(now, &id, Settlement::remote_void(), None, ttl)
            }
            HandOver::Finished { fingerprint, runner, outcome } => {
                let settlement = Settlement::Finished { runner, outcome };
                self.merge_settlement(now, &id, settlement, fingerprint, ttl);
            }
        }
    }

    /// Withdraws the void of a key whose stored claim shows a dispatched run, and merges that run.
    ///
    /// A status query voids the key here before it reads the claim, and it reports the void to
    /// nobody if it finds a claim, so the void can be withdrawn.
    pub fn withdraw_void(&mut self, now: Duration, run: Announcement) {
        if self.is_void(&run.id) {
            self.settled.remove(&run.id);
        }
        self.merge_announcement(now, run);
    }

    /// Applies a settlement reported by another instance, unless this index knows at least as much
    /// of the key or has no capacity.
    pub(super) fn merge_settlement(
        &mut self,
        now: Duration,
        id: &KeyId,
        settlement: Settlement,
        fingerprint: Option<crate::names::Fingerprint>,
        ttl: Duration,
    ) {
        self.clear_stale_move(id);
        if self.is_as_certain_as(id, &settlement) || !self.ensure_capacity() {
            return;
        }
        self.settle(now, id, settlement);
        if let Some(settled) = self.settled.get_mut(id) {
            settled.fingerprint = fingerprint.or(settled.fingerprint.take());
            settled.expires = now + ttl;
        }
    }

    /// Returns whether this index knows at least as much of the key as the reported settlement.
    fn is_as_certain_as(&self, id: &KeyId, reported: &Settlement) -> bool {
        if let Some(run) = self.open.get(id) {
            return run.progress != Progress::Waiting && !reported.ends_run_of(&run.runner);
        }
        let known = self.settled.get(id).map(|settled| settled.settlement.certainty());
        known.is_some_and(|known| known >= reported.certainty())
    }

    fn is_latest(&self, number: u64, id: &KeyId) -> bool {
        self.settled.get(id).is_some_and(|settled| settled.number == number)
    }

    fn is_void(&self, id: &KeyId) -> bool {
        let is_void =
            |settled: &SettledEntry| matches!(settled.settlement, Settlement::Void { .. });
        self.settled.get(id).is_some_and(is_void)
    }
}

/// How much a settlement says about its key; of two settlements the index keeps the one that says
/// more.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Certainty {
    /// Nothing, or only that a run was waiting.
    Nothing,
    /// The key has not run and will never be dispatched.
    NotRun,
    /// The run was dispatched.
    Dispatched,
    /// The run was dispatched and whether it completed is unknown.
    MayHaveRun,
    /// The run completed.
    Answered,
}

impl Settlement {
    /// Settlement of a key that another index voided.
    pub(super) const fn remote_void() -> Self {
        Self::Void { local: false }
    }

    fn certainty(&self) -> Certainty {
        match self {
            Self::ConfirmedNew => Certainty::Nothing,
            Self::Moved { run: Some(run), .. } if run.progress != Progress::Waiting => {
                Certainty::Dispatched
            }
            Self::Moved { .. } => Certainty::Nothing,
            Self::Void { .. } | Self::Finished { outcome: Outcome::NotRun, .. } => {
                Certainty::NotRun
            }
            Self::Finished { outcome: Outcome::MayHaveRun, .. } => Certainty::MayHaveRun,
            Self::Finished { outcome: Outcome::Answered, .. } => Certainty::Answered,
        }
    }

    /// Returns whether this settlement ends a dispatched run of the given runner.
    ///
    /// An outcome other than `Answered` ends the run only if its own runner reported it: a runner
    /// that took over after another lost contact with the upstream may still get the answer.
    fn ends_run_of(&self, runner: &super::Runner) -> bool {
        match self {
            Self::Finished { outcome: Outcome::Answered, .. } => true,
            Self::Finished { runner: reporter, .. } => reporter == runner,
            _ => false,
        }
    }
}
