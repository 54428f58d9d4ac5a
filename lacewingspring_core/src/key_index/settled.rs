//! Settled keys, told by one index to others so that they outlast a change of homes.

use std::time::Duration;

use super::{
    Announcement, HandOver, KeyId, KeyIndex, Outcome, Progress, SettledKey,
    entry::{Settled, Settlement},
};

impl KeyIndex {
    /// Returns a key that this index holds to be void or to have run.
    pub fn settled_key(&self, now: Duration, id: &KeyId) -> Option<SettledKey> {
        let settled = self.settled.get(id)?;
        let ttl = settled.expires.checked_sub(now).filter(|ttl| !ttl.is_zero())?;
        match settled.hand_over() {
            HandOver::Absent | HandOver::Open(_) => None,
            known => Some(SettledKey { id: id.clone(), known, ttl }),
        }
    }

    /// Returns all keys that are void here and the newest of those that have run, `most` together.
    ///
    /// Voids come first: a void is known only to indexes, while a runner tells of its own runs too.
    pub fn settled_keys(&self, now: Duration, most: usize) -> Vec<SettledKey> {
        let newest = || self.ages.iter().rev().filter(|(number, id)| self.is_latest(*number, id));
        let voids = newest().filter(|(_, id)| self.is_void(id));
        let others = newest().filter(|(_, id)| !self.is_void(id));
        let keys = voids.chain(others).filter_map(|(_, id)| self.settled_key(now, id));
        keys.take(most).collect()
    }

    /// Takes a settled key that another index, or its runner, tells of.
    pub fn merge_settled(&mut self, now: Duration, told: SettledKey) {
        let SettledKey { id, known, ttl } = told;
        self.expire(now);
        let ttl = ttl.min(self.cfg.retention);
        match known {
            HandOver::Absent | HandOver::Open(_) => {}
            HandOver::Voided => self.adopt_settled(now, &id, Settlement::told_void(), None, ttl),
            HandOver::Finished { fingerprint, runner, outcome } => {
                let settlement = Settlement::Finished { runner, outcome };
                self.adopt_settled(now, &id, settlement, fingerprint, ttl);
            }
        }
    }

    /// Takes a dispatched run that a claim shows; a void of its key is withdrawn.
    ///
    /// A status query voids a key here before it reads the claim, and nobody was told of that void.
    pub fn withdraw_void(&mut self, now: Duration, run: Announcement) {
        if self.is_void(&run.id) {
            self.settled.remove(&run.id);
        }
        self.merge_announcement(now, run);
    }

    /// Settles a key by the word of another, unless more is known of it here.
    pub(super) fn adopt_settled(
        &mut self,
        now: Duration,
        id: &KeyId,
        settlement: Settlement,
        fingerprint: Option<crate::names::Fingerprint>,
        ttl: Duration,
    ) {
        self.drop_stale_marker(id);
        if self.outweighs(id, &settlement) || !self.make_room() {
            return;
        }
        self.settle(now, id, settlement);
        if let Some(settled) = self.settled.get_mut(id) {
            settled.fingerprint = fingerprint.or(settled.fingerprint.take());
            settled.expires = now + ttl;
        }
    }

    /// Returns whether this index knows as much of the key as it is told, or more.
    fn outweighs(&self, id: &KeyId, told: &Settlement) -> bool {
        if let Some(run) = self.open.get(id) {
            return run.progress != Progress::Waiting && !told.ends_run_of(&run.runner);
        }
        let known = self.settled.get(id).map(|settled| settled.settlement.certainty());
        known.is_some_and(|known| known >= told.certainty())
    }

    fn is_latest(&self, number: u64, id: &KeyId) -> bool {
        self.settled.get(id).is_some_and(|settled| settled.number == number)
    }

    fn is_void(&self, id: &KeyId) -> bool {
        let is_void = |settled: &Settled| matches!(settled.settlement, Settlement::Void { .. });
        self.settled.get(id).is_some_and(is_void)
    }
}

/// How much is known of a settled key; the greater one stays.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Certainty {
    /// Nothing, or only a run that waited.
    Nothing,
    /// It is not dispatched any more.
    NotRun,
    /// It was dispatched.
    Dispatched,
    /// It ran and its end is unknown.
    MayHaveRun,
    /// It ran to its end.
    Answered,
}

impl Settlement {
    /// Void by the word of another index.
    pub(super) const fn told_void() -> Self {
        Self::Void { here: false }
    }

    fn certainty(&self) -> Certainty {
        match self {
            Self::Fresh => Certainty::Nothing,
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

    /// Returns whether it is the end of a dispatched run of this runner.
    ///
    /// A runner that replaced the one that lost sight of the run may still get the answer.
    fn ends_run_of(&self, runner: &super::Runner) -> bool {
        match self {
            Self::Finished { outcome: Outcome::Answered, .. } => true,
            Self::Finished { runner: teller, .. } => teller == runner,
            _ => false,
        }
    }
}
