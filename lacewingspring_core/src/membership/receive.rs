//! Processing of received digests.

use std::time::Duration;

use super::{Digest, Introduction, MemberId, Membership, Status, record::Record};

/// Maximum number of unknown runs that a member requests introductions of at once.
const MAX_WANTED: usize = 8;

impl Membership {
    /// Merges a digest and returns the reply for its sender.
    ///
    /// Returns `None` if the digest is itself a reply or was sent by this run.
    pub fn receive(&mut self, now: Duration, digest: Digest) -> Option<Digest> {
        if digest.from == self.own {
            return None;
        }
        self.detect_freeze(now);
        for introduction in &digest.introductions {
            self.merge_introduction(now, digest.from, introduction);
        }
        self.merge_sender(now, &digest);
        if self.cfg.policy.relay_heartbeats {
            for beat in &digest.beats {
                self.merge_heartbeat(now, Some(digest.from), beat.id, beat.heartbeat);
            }
        }
        for status in &digest.statuses {
            self.merge_status(now, digest.from, *status);
        }
        self.compare_tables(&digest);
        self.finish_revalidation(&digest);
        self.update_past_holders(now);
        digest.answers.is_none().then(|| self.reply(now, digest.from, digest.heartbeat))
    }

    fn merge_sender(&mut self, now: Duration, digest: &Digest) {
        self.merge_heartbeat(now, None, digest.from, digest.heartbeat);
        let Some(sender) = self.records.get_mut(&digest.from) else { return };
        let exchange = &mut sender.exchange;
        exchange.last_digest = Some(now);
        // Not a maximum: a peer that has forgotten this member starts again from zero.
        if self.cfg.policy.acknowledge {
            exchange.acknowledged = digest.acknowledged;
        }
        // Otherwise changes between `received` and `since` are missing.
        if digest.since <= exchange.received {
            exchange.received = exchange.received.max(digest.sequence);
        }
        exchange.wanted = digest.wanted.clone();
    }

    /// Marks all changes as acknowledged if the sender has the same table.
    fn compare_tables(&mut self, digest: &Digest) {
        if digest.table != self.table_checksum() || !self.cfg.policy.compare_tables {
            return;
        }
        let sequence = self.sequence;
        let Some(sender) = self.records.get_mut(&digest.from) else { return };
        sender.exchange.acknowledged = sequence;
        sender.exchange.received = sender.exchange.received.max(digest.sequence);
    }

    /// Ends the revalidation after a freeze once a digest sent since is answered, which shows that
    /// received messages are no longer stale.
    fn finish_revalidation(&mut self, digest: &Digest) {
        let Some(revalidation) = self.revalidation else { return };
        if digest.answers.is_some_and(|heartbeat| heartbeat >= revalidation.heartbeat) {
            self.revalidation = None;
        }
    }

    fn merge_introduction(&mut self, now: Duration, from: MemberId, introduction: &Introduction) {
        let member = &introduction.member;
        let id = member.id();
        let known = self.names.get(&member.name).copied();
        if known == Some(id) {
            return self.merge_status(now, from, introduction.status);
        }
        if self.is_retired(id, introduction.status.heartbeat) {
            return;
        }
        let incarnation = known.and_then(|id| self.records.get(&id)).map(|r| r.member.incarnation);
        if incarnation.is_some_and(|incarnation| incarnation > member.incarnation) {
            return self.queue_introduction(from, known);
        }
        if known == Some(self.own) {
            self.superseded = true;
            return;
        }
        if let Some(old) = known {
            if !self.cfg.policy.replace_older_runs {
                return;
            }
            self.retire(now, old, true);
        }
        self.insert(now, from, introduction);
    }

    /// Queues an introduction of the current run for a peer that reported an older one.
    fn queue_introduction(&mut self, to: MemberId, id: Option<MemberId>) {
        if let Some(peer) = self.records.get_mut(&to) {
            peer.exchange.wanted.extend(id);
        }
    }

    fn insert(&mut self, now: Duration, from: MemberId, introduction: &Introduction) {
        let member = introduction.member.clone();
        let id = member.id();
        let sequence = self.next_sequence();
        let mut record = Record::new(member, now, sequence);
        record.heartbeat = introduction.status.heartbeat;
        record.applied_generation = introduction.status.applied_generation;
        record.leaving = introduction.status.leaving;
        record.suspect = introduction.status.suspect;
        record.down_since = record.suspect.then_some(now);
        record.change_source = Some(from);
        self.holders_changed = true;
        self.unknown.remove(&id);
        self.retired.remove(&id);
        self.last_contact.entry(record.member.data_centre.clone()).or_insert(now);
        self.names.insert(record.member.name.clone(), id);
        self.records.insert(id, record);
    }

    fn is_retired(&self, id: MemberId, heartbeat: u32) -> bool {
        let Some(retired) = self.retired.get(&id) else { return false };
        retired.heartbeat.is_none_or(|last| heartbeat <= last)
    }

    /// Merges a heartbeat; `source` is the peer that relayed it, `None` if the member sent it.
    fn merge_heartbeat(
        &mut self,
        now: Duration,
        source: Option<MemberId>,
        id: MemberId,
        beat: u32,
    ) {
        if id == self.own {
            return;
        }
        let Some(record) = self.records.get_mut(&id) else {
            return self.request_introduction(id, beat);
        };
        if beat <= record.heartbeat {
            return;
        }
        self.heartbeats_received += 1;
        record.heartbeat = beat;
        record.last_advanced = now;
        record.heartbeat_arrival = self.heartbeats_received;
        record.heartbeat_source = source;
        let recovered = std::mem::take(&mut record.suspect);
        self.holders_changed |= record.down_since.take().is_some();
        self.last_contact.insert(record.member.data_centre.clone(), now);
        if recovered {
            self.record_urgent_change(now, id, None);
        }
    }

    fn request_introduction(&mut self, id: MemberId, heartbeat: u32) {
        if !self.is_retired(id, heartbeat) && self.unknown.len() < MAX_WANTED {
            self.unknown.insert(id);
        }
    }

    fn merge_status(&mut self, now: Duration, from: MemberId, status: Status) {
        if status.id == self.own {
            return self.merge_own_status(now, status);
        }
        self.merge_suspicion(now, from, status);
        let Some(record) = self.records.get_mut(&status.id) else {
            return self.request_introduction(status.id, status.heartbeat);
        };
        let newly_leaving = status.leaving && !record.leaving;
        let newer_generation = status.applied_generation > record.applied_generation;
        record.leaving |= status.leaving;
        record.applied_generation = record.applied_generation.max(status.applied_generation);
        if newly_leaving {
            self.record_urgent_change(now, status.id, Some(from));
        } else if newer_generation {
            self.record_generation_change(status.id, from);
        }
    }

    /// Records a change of the applied generation, which is not urgent.
    fn record_generation_change(&mut self, id: MemberId, from: MemberId) {
        let sequence = self.next_sequence();
        let Some(record) = self.records.get_mut(&id) else { return };
        record.change_sequence = sequence;
        record.change_source = Some(from);
    }

    /// Refutes a suspicion of this member by announcing its newer heartbeat with the next round.
    fn merge_own_status(&mut self, now: Duration, status: Status) {
        if status.suspect && self.cfg.policy.refute {
            self.record_urgent_change(now, self.own, None);
        }
    }

    /// Merges the heartbeat and the suspicion that a peer reports of another member.
    fn merge_suspicion(&mut self, now: Duration, from: MemberId, status: Status) {
        let Some(record) = self.records.get(&status.id) else { return };
        let (known_heartbeat, was_suspect) = (record.heartbeat, record.suspect);
        let by_heartbeat = self.is_judged_by_heartbeat(record);
        if status.suspect && status.heartbeat < known_heartbeat {
            if !was_suspect && self.should_refute(from, record) {
                self.record_urgent_change(now, status.id, None);
            }
        } else if status.suspect && by_heartbeat {
            self.confirm_suspicion(now, from, status);
        } else {
            self.merge_heartbeat(now, Some(from), status.id, status.heartbeat);
            if status.suspect {
                self.adopt_suspicion(now, from, status.id, was_suspect);
            }
        }
    }

    /// Whether to refute the suspicion of a member for which a newer heartbeat is known.
    ///
    /// Within a data centre, and in flat mode, the member's relayed heartbeats refute it already.
    fn should_refute(&self, from: MemberId, record: &Record) -> bool {
        let from = self.records.get(&from).map(|sender| &sender.member.data_centre);
        let is_same_data_centre = from == Some(&record.member.data_centre);
        self.cfg.policy.refute && !self.flat && !is_same_data_centre
    }

    /// Adopts a peer's suspicion if the member's heartbeat hasn't advanced here either, for at least
    /// half of the suspicion time.
    fn confirm_suspicion(&mut self, now: Duration, from: MemberId, status: Status) {
        let limit = self.suspect_after() / 2;
        let Some(record) = self.records.get_mut(&status.id) else { return };
        record.heartbeat = status.heartbeat;
        if !record.suspect && now.saturating_sub(record.last_advanced) >= limit {
            self.adopt_suspicion(now, from, status.id, false);
        }
    }

    fn adopt_suspicion(&mut self, now: Duration, from: MemberId, id: MemberId, was_suspect: bool) {
        let Some(record) = self.records.get_mut(&id) else { return };
        record.suspect = true;
        record.down_since = Some(record.down_since.unwrap_or(now));
        self.holders_changed = true;
        if !was_suspect {
            self.record_urgent_change(now, id, Some(from));
        }
    }
}
