//! Failure detection.

use std::time::Duration;

use super::{MemberId, Membership, Retired, Revalidation, record::Record, view::PastHolders};

/// Members of a data centre up to which the shortest suspicion time holds.
const FEW_MEMBERS: usize = 4;

impl Membership {
    /// Suspects the silent, holds the suspected to be down, and forgets the long gone.
    pub(super) fn judge(&mut self, now: Duration) {
        self.choose_mode(now);
        let limit = self.suspect_after();
        let ids: Vec<MemberId> = self.records.keys().copied().collect();
        for id in ids {
            self.judge_one(now, id, limit);
        }
        self.forget(now);
        self.note_holders(now);
    }

    /// Notices that this process was frozen, from the time since it was last active.
    pub(super) fn note_active(&mut self, now: Duration) {
        let last = self.last_active.replace(now).unwrap_or(now);
        let gap = now.saturating_sub(last);
        if gap <= self.cfg.freeze_threshold || !self.cfg.policy.freeze_grace {
            return;
        }
        // The others' heartbeats were lost or still wait unread, so their ages mean nothing.
        for record in self.records.values_mut() {
            record.advanced = (record.advanced + gap).min(now);
        }
        for contact in self.contacts.values_mut() {
            *contact = (*contact + gap).min(now);
        }
        let heartbeat = self.own_heartbeat() + 1;
        let until = now + self.suspect_after().max(self.cfg.data_centre_suspect_after);
        self.revalidation = Some(Revalidation { heartbeat, until });
        self.doubt_own_roles(now);
    }

    /// Counts the others as holders of late: while this process was frozen, or before it started,
    /// its roles were theirs.
    pub(super) fn doubt_own_roles(&mut self, now: Duration) {
        let mut members = self.eligible_now();
        let own = self.records.get(&self.own).map(|own| own.member.name.clone());
        members.retain(|name, _| Some(name) != own.as_ref());
        self.past.retain(|past| past.until > now);
        if !members.is_empty() {
            self.past
                .push(PastHolders { until: now + self.cfg.previous_holders_retention, members });
        }
    }

    /// Whether the member is judged by its own heartbeats or by its data centre's relays.
    pub(super) fn judges_by_heartbeat(&self, record: &Record) -> bool {
        self.flat || record.member.data_centre == self.own_data_centre
    }

    pub(super) fn own_heartbeat(&self) -> u32 {
        self.records.get(&self.own).map_or(0, |own| own.heartbeat)
    }

    /// Returns the age at which a heartbeat makes its member suspect.
    pub(super) fn suspect_after(&self) -> Duration {
        let own = &self.own_data_centre;
        let near = self.records.values().filter(|record| record.member.data_centre == *own);
        let near = near.filter(|record| record.down_since.is_none()).count();
        let doublings = near.div_ceil(FEW_MEMBERS).next_power_of_two().ilog2();
        self.cfg.suspect_after + self.cfg.suspect_step * doublings
    }

    /// Chooses who judges the members of other data centres, by the size of the fleet.
    fn choose_mode(&mut self, now: Duration) {
        let gone_after = self.cfg.gone_after;
        let is_known = |record: &&Record| {
            record.down_since.is_none_or(|since| now.saturating_sub(since) < gone_after)
        };
        let known = self.records.values().filter(is_known).count();
        let flat = known <= self.cfg.flat_max_members;
        if flat == self.flat {
            return;
        }
        self.flat = flat;
        // Heartbeats that were not sent so far, or not needed, get their time to arrive.
        for record in self.records.values_mut().filter(|record| !record.suspect) {
            record.advanced = now;
        }
        for contact in self.contacts.values_mut() {
            *contact = now;
        }
    }

    fn judge_one(&mut self, now: Duration, id: MemberId, limit: Duration) {
        let Some(record) = self.records.get(&id) else { return };
        if id == self.own {
            return;
        }
        let by_heartbeat = self.judges_by_heartbeat(record);
        let silent = by_heartbeat && now.saturating_sub(record.advanced) > limit;
        let newly_suspect = silent && !record.suspect;
        let down = record.suspect || silent || self.is_parted(now, record);
        if let Some(record) = self.records.get_mut(&id) {
            record.suspect |= silent;
            self.holders_changed |= record.down_since.is_some() != down;
            record.down_since = down.then(|| record.down_since.unwrap_or(now));
        }
        if newly_suspect {
            self.note_change(now, id, None);
        }
    }

    /// Whether nothing was heard from the member's whole data centre for too long.
    fn is_parted(&self, now: Duration, record: &Record) -> bool {
        if self.judges_by_heartbeat(record) {
            return false;
        }
        let contact = self.contacts.get(&record.member.data_centre).copied();
        let last = contact.unwrap_or_default().max(record.advanced);
        now.saturating_sub(last) > self.cfg.data_centre_suspect_after
    }

    fn forget(&mut self, now: Duration) {
        self.retired.retain(|_, retired| retired.until > now);
        let limit = self.cfg.gone_after + self.cfg.forget_after;
        let is_due = |record: &Record| {
            record.down_since.is_some_and(|since| now.saturating_sub(since) > limit)
        };
        let due = self.records.iter().filter(|(_, record)| is_due(record));
        let due: Vec<MemberId> = due.map(|(id, _)| *id).collect();
        for id in due {
            self.retire(now, id, false);
        }
    }

    /// Drops a run; one that was replaced never comes back.
    pub(super) fn retire(&mut self, now: Duration, id: MemberId, replaced: bool) {
        let Some(record) = self.records.remove(&id) else { return };
        self.sequence += 1;
        self.holders_changed = true;
        if self.names.get(&record.member.name) == Some(&id) {
            self.names.remove(&record.member.name);
        }
        let heartbeat = (!replaced).then_some(record.heartbeat);
        let until = now + self.cfg.forget_after;
        self.retired.insert(id, Retired { heartbeat, until });
    }
}
