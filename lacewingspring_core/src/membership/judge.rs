//! Failure detection: suspects, removes and forgets members.

use std::time::Duration;

use super::{MemberId, Membership, Retired, Revalidation, record::Record, view::PastHolders};

/// Maximum number of members of a data centre for which `suspect_after` is not lengthened.
const SMALL_DATA_CENTRE_MEMBERS: usize = 4;

impl Membership {
    /// Suspects members whose heartbeats stopped and removes those that are long gone.
    pub(super) fn detect_failures(&mut self, now: Duration) {
        self.update_flat_mode(now);
        let limit = self.suspect_after();
        let ids: Vec<MemberId> = self.records.keys().copied().collect();
        for id in ids {
            self.judge_member(now, id, limit);
        }
        self.forget_gone(now);
        self.update_past_holders(now);
    }

    /// Detects a freeze of this process by the time since its last protocol activity.
    pub(super) fn detect_freeze(&mut self, now: Duration) {
        let last = self.last_active.replace(now).unwrap_or(now);
        let gap = now.saturating_sub(last);
        if gap <= self.cfg.freeze_threshold || !self.cfg.policy.freeze_grace {
            return;
        }
        // Heartbeats sent during the freeze were lost or are still unread, so the ages of the last
        // ones say nothing about the members.
        for record in self.records.values_mut() {
            record.last_advanced = (record.last_advanced + gap).min(now);
        }
        for last_contact in self.last_contact.values_mut() {
            *last_contact = (*last_contact + gap).min(now);
        }
        let heartbeat = self.own_heartbeat() + 1;
        let until = now + self.suspect_after().max(self.cfg.data_centre_suspect_after);
        self.revalidation = Some(Revalidation { heartbeat, until });
        self.assume_others_held_roles(now);
    }

    /// Lists all other members as past role holders: while this process was frozen, or before it
    /// started, they may have held its roles.
    pub(super) fn assume_others_held_roles(&mut self, now: Duration) {
        let mut members = self.eligible_now();
        let own = self.records.get(&self.own).map(|own| own.member.name.clone());
        members.retain(|name, _| Some(name) != own.as_ref());
        self.past_holders.retain(|past| past.until > now);
        if !members.is_empty() {
            self.past_holders
                .push(PastHolders { until: now + self.cfg.previous_holders_retention, members });
        }
    }

    /// Whether the member is judged by its own heartbeats, as opposed to reports of its data
    /// centre's relays.
    pub(super) fn is_judged_by_heartbeat(&self, record: &Record) -> bool {
        self.flat || record.member.data_centre == self.own_data_centre
    }

    pub(super) fn own_heartbeat(&self) -> u32 {
        self.records.get(&self.own).map_or(0, |own| own.heartbeat)
    }

    /// Returns the heartbeat age above which a member is suspected, given the data centre's size.
    pub(super) fn suspect_after(&self) -> Duration {
        let own = &self.own_data_centre;
        let local = self.records.values().filter(|record| record.member.data_centre == *own);
        let local = local.filter(|record| record.down_since.is_none()).count();
        let doublings = local.div_ceil(SMALL_DATA_CENTRE_MEMBERS).next_power_of_two().ilog2();
        self.cfg.suspect_after + self.cfg.suspect_step * doublings
    }

    /// Switches flat mode on or off by the size of the fleet. In flat mode members of other data
    /// centres are judged by their own heartbeats.
    fn update_flat_mode(&mut self, now: Duration) {
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
        // The other mode may not have sent these heartbeats, so each gets its full time to arrive.
        for record in self.records.values_mut().filter(|record| !record.suspect) {
            record.last_advanced = now;
        }
        for last_contact in self.last_contact.values_mut() {
            *last_contact = now;
        }
    }

    fn judge_member(&mut self, now: Duration, id: MemberId, limit: Duration) {
        let Some(record) = self.records.get(&id) else { return };
        if id == self.own {
            return;
        }
        let by_heartbeat = self.is_judged_by_heartbeat(record);
        let silent = by_heartbeat && now.saturating_sub(record.last_advanced) > limit;
        let newly_suspect = silent && !record.suspect;
        let down = record.suspect || silent || self.is_data_centre_silent(now, record);
        if let Some(record) = self.records.get_mut(&id) {
            record.suspect |= silent;
            self.holders_changed |= record.down_since.is_some() != down;
            record.down_since = down.then(|| record.down_since.unwrap_or(now));
        }
        if newly_suspect {
            self.record_urgent_change(now, id, None);
        }
    }

    /// Whether no heartbeat of the member's data centre arrived for too long.
    fn is_data_centre_silent(&self, now: Duration, record: &Record) -> bool {
        if self.is_judged_by_heartbeat(record) {
            return false;
        }
        let contact = self.last_contact.get(&record.member.data_centre).copied();
        let last = contact.unwrap_or_default().max(record.last_advanced);
        now.saturating_sub(last) > self.cfg.data_centre_suspect_after
    }

    fn forget_gone(&mut self, now: Duration) {
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

    /// Removes a run and keeps a tombstone; a run that was replaced is never readmitted.
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
