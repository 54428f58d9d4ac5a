//! How keys move from one home to the next.

use std::time::Duration;

use super::{
    Announcement, HandOver, KeyId, KeyIndex, Outcome, Progress, SettledKey,
    entry::{OpenRun, Settled, Settlement},
};

impl KeyIndex {
    /// Hands a key over to its new home and refuses it from then on.
    ///
    /// Asked again, it answers the same.
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

    /// Hands all open runs over, when this instance leaves.
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

    /// Takes what all previous homes of a key handed over; a registration is answered then.
    ///
    /// With one of them silent it must not be called; the end of the learning time decides.
    pub fn merge_hand_overs<I>(&mut self, now: Duration, id: &KeyId, answers: I)
    where
        I: IntoIterator<Item = HandOver>,
    {
        for answer in answers {
            match answer {
                HandOver::Open(run) => self.take(now, run, false),
                known => {
                    let ttl = self.cfg.retention;
                    self.merge_settled(now, SettledKey { id: id.clone(), known, ttl });
                }
            }
        }
        self.drop_stale_marker(id);
        if !self.open.contains_key(id) && !self.settled.contains_key(id) && self.make_room() {
            self.settle(now, id, Settlement::Fresh);
        }
    }

    /// Takes runs that their runners announce.
    pub fn merge_announcements<I>(&mut self, now: Duration, announcements: I)
    where
        I: IntoIterator<Item = Announcement>,
    {
        for announcement in announcements {
            self.merge_announcement(now, announcement);
        }
    }

    /// Takes a run that its runner announces.
    ///
    /// Of two runs of one key the dispatched one stays. The runner of the other is told so when it
    /// asks to dispatch. One that waits may not dispatch while this home learns, since it may have
    /// been replaced by one that hasn't been announced yet.
    pub fn merge_announcement(&mut self, now: Duration, announcement: Announcement) {
        let hearsay = now < self.learning_until && self.cfg.policy.hold_unconfirmed;
        self.take(now, announcement, hearsay);
    }

    fn take(&mut self, now: Duration, announcement: Announcement, hearsay: bool) {
        self.refresh(now, &announcement.id);
        let dispatched = announcement.progress != Progress::Waiting;
        let id = announcement.id.clone();
        match self.settled.get_mut(&id).map(|settled| &mut settled.settlement) {
            // The next home of the key keeps this one informed, in case it dies.
            Some(Settlement::Moved { run, .. }) if dispatched => {
                *run = Some(announcement);
                return;
            }
            Some(Settlement::Fresh) => drop(self.settled.remove(&id)),
            // Another home let it proceed before it was told of the void.
            Some(Settlement::Void { here: false }) if dispatched => {
                drop(self.settled.remove(&id));
            }
            Some(_) => return self.count_late(&id, &announcement.progress),
            None => {}
        }
        let Announcement { id, fingerprint, runner, progress } = announcement;
        let run = OpenRun { fingerprint, runner, progress, hearsay };
        let Some(known) = self.open.get_mut(&id) else {
            self.open.insert(id, run);
            return;
        };
        let surer = known.is_doubtful() && !hearsay;
        if surer || dispatched && known.progress == Progress::Waiting {
            *known = run;
        } else if dispatched && known.progress != run.progress {
            self.violations += 1;
        }
    }

    /// Counts a dispatched run of a key that this index has told to be not run.
    fn count_late(&mut self, id: &KeyId, progress: &Progress) {
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

    /// Drops the mark that a key was handed over, when this instance took the role again since.
    ///
    /// A run that is known to have been dispatched is open again, so that no other follows it.
    pub(super) fn drop_stale_marker(&mut self, id: &KeyId) {
        let taken = self.role_taken_at;
        let is_stale = |settled: &Settled| match settled.settlement {
            Settlement::Moved { at, .. } => at < taken,
            _ => false,
        };
        if !self.settled.get(id).is_some_and(is_stale) {
            return;
        }
        let settled = self.settled.remove(id).map(|settled| settled.settlement);
        let Some(Settlement::Moved { run: Some(run), .. }) = settled else { return };
        if run.progress != Progress::Waiting {
            let Announcement { id, fingerprint, runner, progress } = run;
            self.open.insert(id, OpenRun { fingerprint, runner, progress, hearsay: false });
        }
    }
}
