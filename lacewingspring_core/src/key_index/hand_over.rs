//! Hand-over of keys from one home to the next.

use std::time::Duration;

use super::{
    Announcement, HandOver, KeyId, KeyIndex, Outcome, Progress, SettledKey,
    entry::{OpenRun, SettledEntry, Settlement},
};

impl KeyIndex {
    /// Hands a key over to its new home and refuses further requests for it.
    ///
    /// Idempotent: a repeated call returns the same state unless the new home reported a dispatch.
    pub fn hand_over(&mut self, now: Duration, id: &KeyId) -> HandOver {
        self.refresh(now, id);
        if let Some(settled) = self.settled.get(id) {
            return settled.hand_over();
        }
        let run = self.open.get(id).map(|run| run.announcement(id));
        if self.cfg.policy.refuse_moved {
            self.settle(now, id, Settlement::Moved { run: run.clone(), at: now });
        }
        run.map_or(HandOver::Absent, HandOver::Open)
    }

    /// Hands all open runs over when this instance leaves the fleet.
    pub fn hand_over_all(&mut self, now: Duration) -> Vec<Announcement> {
        let mut runs = Vec::new();
        let ids: Vec<KeyId> = self.open.keys().cloned().collect();
        for id in ids {
            if let HandOver::Open(run) = self.hand_over(now, &id) {
                runs.push(run);
            }
        }
        runs
    }

    /// Merges what all previous homes of a key handed over, so that it can be registered at once.
    ///
    /// The caller must have an answer of every previous home. If one did not answer, the index
    /// treats the key as unknown until the learning time has passed.
    pub fn merge_hand_overs<I>(&mut self, now: Duration, id: &KeyId, answers: I)
    where
        I: IntoIterator<Item = HandOver>,
    {
        for answer in answers {
            match answer {
                HandOver::Open(run) => self.merge_run(now, run, false),
                known => {
                    let ttl = self.cfg.retention;
                    self.merge_settled(now, SettledKey { id: id.clone(), known, ttl });
                }
            }
        }
        self.clear_stale_move(id);
        if !self.open.contains_key(id) && !self.settled.contains_key(id) && self.ensure_capacity() {
            self.settle(now, id, Settlement::ConfirmedNew);
        }
    }

    /// Merges open runs that their runners announced.
    pub fn merge_announcements<I>(&mut self, now: Duration, announcements: I)
    where
        I: IntoIterator<Item = Announcement>,
    {
        for announcement in announcements {
            self.merge_announcement(now, announcement);
        }
    }

    /// Merges an open run that its runner announced.
    ///
    /// Of two runs of one key the index keeps the dispatched one; the other runner learns of it
    /// when it requests a dispatch. During the learning time a waiting run may not dispatch, since
    /// its runner may have been replaced by one whose announcement has not arrived yet.
    pub fn merge_announcement(&mut self, now: Duration, announcement: Announcement) {
        let unconfirmed = now < self.learning_until && self.cfg.policy.hold_unconfirmed;
        self.merge_run(now, announcement, unconfirmed);
    }

    fn merge_run(&mut self, now: Duration, announcement: Announcement, unconfirmed: bool) {
        self.refresh(now, &announcement.id);
        let dispatched = announcement.progress != Progress::Waiting;
        let id = announcement.id.clone();
        match self.settled.get_mut(&id).map(|settled| &mut settled.settlement) {
            // The new home reports dispatches back in case it dies and this one takes over again.
            Some(Settlement::Moved { run, .. }) if dispatched => {
                *run = Some(announcement);
                return;
            }
            Some(Settlement::ConfirmedNew) => drop(self.settled.remove(&id)),
            // Another home authorized the dispatch before the void reached it.
            Some(Settlement::Void { local: false }) if dispatched => {
                drop(self.settled.remove(&id));
            }
            Some(_) => return self.count_late_dispatch(&id, &announcement.progress),
            None => {}
        }
        let Announcement { id, fingerprint, runner, progress } = announcement;
        let run = OpenRun { fingerprint, runner, progress, unconfirmed };
        let Some(known) = self.open.get_mut(&id) else {
            self.open.insert(id, run);
            return;
        };
        let more_certain = known.may_be_stale() && !unconfirmed;
        if more_certain || dispatched && known.progress == Progress::Waiting {
            *known = run;
        } else if dispatched && known.progress != run.progress {
            self.violations += 1;
        }
    }

    /// Counts a violation if a run was dispatched after this index reported its key as not run.
    fn count_late_dispatch(&mut self, id: &KeyId, progress: &Progress) {
        let settled = self.settled.get(id).map(|settled| &settled.settlement);
        let not_run = match settled {
            Some(Settlement::Void { .. }) => true,
            Some(Settlement::Finished { outcome, .. }) => *outcome == Outcome::NotRun,
            _ => false,
        };
        if not_run && *progress != Progress::Waiting {
            self.violations += 1;
        }
    }

    /// Removes the `Settlement::Moved` of a key if the role has changed since the hand-over, so that
    /// this instance may be the home again.
    ///
    /// A run known to be dispatched is reopened, so that no other run of the key is dispatched.
    pub(super) fn clear_stale_move(&mut self, id: &KeyId) {
        let role_since = self.role_since;
        let is_stale = |settled: &SettledEntry| match settled.settlement {
            Settlement::Moved { at, .. } => at < role_since,
            _ => false,
        };
        if !self.settled.get(id).is_some_and(is_stale) {
            return;
        }
        let settled = self.settled.remove(id).map(|settled| settled.settlement);
        let Some(Settlement::Moved { run: Some(run), .. }) = settled else { return };
        if run.progress != Progress::Waiting {
            let Announcement { id, fingerprint, runner, progress } = run;
            self.open.insert(id, OpenRun { fingerprint, runner, progress, unconfirmed: false });
        }
    }
}
