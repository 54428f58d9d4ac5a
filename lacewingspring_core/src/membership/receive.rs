//! What a member does with a digest that it receives.

use std::time::Duration;

use super::{Digest, Introduction, MemberId, Membership, Status, record::Record};

/// Runs that a member asks for at most at once.
const MAX_WANTED: usize = 8;

impl Membership {
    /// Takes a digest; returns the reply, to be sent to where the digest came from.
    ///
    /// There is none to a digest that is itself a reply.
    pub fn receive(&mut self, now: Duration, digest: Digest) -> Option<Digest> {
        if digest.from == self.own {
            return None;
        }
        self.note_active(now);
        for introduction in &digest.introductions {
            self.learn_introduction(now, digest.from, introduction);
        }
        self.learn_sender(now, &digest);
        if self.cfg.policy.relay_heartbeats {
            for beat in &digest.beats {
                self.learn_beat(now, Some(digest.from), beat.id, beat.heartbeat);
            }
        }
        for status in &digest.statuses {
            self.learn_status(now, digest.from, *status);
        }
        self.compare_tables(&digest);
        self.note_answer(&digest);
        self.note_holders(now);
        digest.answers.is_none().then(|| self.reply(now, digest.from, digest.heartbeat))
    }

    fn learn_sender(&mut self, now: Duration, digest: &Digest) {
        self.learn_beat(now, None, digest.from, digest.heartbeat);
        let Some(sender) = self.records.get_mut(&digest.from) else { return };
        let exchange = &mut sender.exchange;
        exchange.last = Some(now);
        // A peer that has forgotten this member starts again from zero.
        if self.cfg.policy.acknowledge {
            exchange.acknowledged = digest.acknowledged;
        }
        if digest.since <= exchange.received {
            exchange.received = exchange.received.max(digest.sequence);
        }
        exchange.wanted = digest.wanted.clone();
    }

    /// Spares a peer that holds the same table the changes that led to it.
    fn compare_tables(&mut self, digest: &Digest) {
        if digest.table != self.table_sum() || !self.cfg.policy.compare_tables {
            return;
        }
        let sequence = self.sequence;
        let Some(sender) = self.records.get_mut(&digest.from) else { return };
        sender.exchange.acknowledged = sequence;
        sender.exchange.received = sender.exchange.received.max(digest.sequence);
    }

    /// A reply to a digest sent after a freeze shows that the messages are no longer stale.
    fn note_answer(&mut self, digest: &Digest) {
        let Some(revalidation) = self.revalidation else { return };
        if digest.answers.is_some_and(|heartbeat| heartbeat >= revalidation.heartbeat) {
            self.revalidation = None;
        }
    }

    fn learn_introduction(&mut self, now: Duration, from: MemberId, introduction: &Introduction) {
        let member = &introduction.member;
        let id = member.id();
        let known = self.names.get(&member.name).copied();
        if known == Some(id) {
            return self.learn_status(now, from, introduction.status);
        }
        if self.is_retired(id, introduction.status.heartbeat) {
            return;
        }
        let incarnation = known.and_then(|id| self.records.get(&id)).map(|r| r.member.incarnation);
        if incarnation.is_some_and(|incarnation| incarnation > member.incarnation) {
            return self.answer_with(from, known);
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

    /// Sends the present run to a peer that told of an older one.
    fn answer_with(&mut self, to: MemberId, id: Option<MemberId>) {
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
        record.changed_source = Some(from);
        self.holders_changed = true;
        self.unknown.remove(&id);
        self.retired.remove(&id);
        self.contacts.entry(record.member.data_centre.clone()).or_insert(now);
        self.names.insert(record.member.name.clone(), id);
        self.records.insert(id, record);
    }

    fn is_retired(&self, id: MemberId, heartbeat: u32) -> bool {
        let Some(retired) = self.retired.get(&id) else { return false };
        retired.heartbeat.is_none_or(|last| heartbeat <= last)
    }

    /// Takes a heartbeat; `source` is the peer that passed it on, none for the member itself.
    fn learn_beat(&mut self, now: Duration, source: Option<MemberId>, id: MemberId, beat: u32) {
        if id == self.own {
            return;
        }
        let Some(record) = self.records.get_mut(&id) else {
            return self.want(id, beat);
        };
        if beat <= record.heartbeat {
            return;
        }
        self.beats += 1;
        record.heartbeat = beat;
        record.advanced = now;
        record.beat = self.beats;
        record.beat_source = source;
        let recovered = std::mem::take(&mut record.suspect);
        self.holders_changed |= record.down_since.take().is_some();
        self.contacts.insert(record.member.data_centre.clone(), now);
        if recovered {
            self.note_change(now, id, None);
        }
    }

    fn want(&mut self, id: MemberId, heartbeat: u32) {
        if !self.is_retired(id, heartbeat) && self.unknown.len() < MAX_WANTED {
            self.unknown.insert(id);
        }
    }

    fn learn_status(&mut self, now: Duration, from: MemberId, status: Status) {
        if status.id == self.own {
            return self.learn_own_status(now, status);
        }
        self.learn_verdict(now, from, status);
        let Some(record) = self.records.get_mut(&status.id) else {
            return self.want(status.id, status.heartbeat);
        };
        let leaves = status.leaving && !record.leaving;
        let applies = status.applied_generation > record.applied_generation;
        record.leaving |= status.leaving;
        record.applied_generation = record.applied_generation.max(status.applied_generation);
        if leaves {
            self.note_change(now, status.id, Some(from));
        } else if applies {
            self.note_generation(status.id, from);
        }
    }

    /// A change of generation is not urgent.
    fn note_generation(&mut self, id: MemberId, from: MemberId) {
        let sequence = self.next_sequence();
        let Some(record) = self.records.get_mut(&id) else { return };
        record.changed = sequence;
        record.changed_source = Some(from);
    }

    /// A member that learns of its own suspicion tells its newer heartbeat at once.
    fn learn_own_status(&mut self, now: Duration, status: Status) {
        if status.suspect && self.cfg.policy.refute {
            self.note_change(now, self.own, None);
        }
    }

    fn learn_verdict(&mut self, now: Duration, from: MemberId, status: Status) {
        let Some(record) = self.records.get(&status.id) else { return };
        let (known, was_suspect) = (record.heartbeat, record.suspect);
        let by_heartbeat = self.judges_by_heartbeat(record);
        if status.suspect && status.heartbeat < known {
            if !was_suspect && self.may_refute(from, record) {
                self.note_change(now, status.id, None);
            }
        } else if status.suspect && by_heartbeat {
            self.agree(now, from, status);
        } else {
            self.learn_beat(now, Some(from), status.id, status.heartbeat);
            if status.suspect {
                self.adopt_suspicion(now, from, status.id, was_suspect);
            }
        }
    }

    /// Whether to answer the suspicion of a member that this one knows to be up.
    ///
    /// Within a data centre, and in a small fleet, the member's heartbeats are answer enough.
    fn may_refute(&self, from: MemberId, record: &Record) -> bool {
        let from = self.records.get(&from).map(|sender| &sender.member.data_centre);
        let is_near = from == Some(&record.member.data_centre);
        self.cfg.policy.refute && !self.flat && !is_near
    }

    /// Joins a peer in suspecting a member that this one hasn't heard from for a while either.
    fn agree(&mut self, now: Duration, from: MemberId, status: Status) {
        let limit = self.suspect_after() / 2;
        let Some(record) = self.records.get_mut(&status.id) else { return };
        record.heartbeat = status.heartbeat;
        if !record.suspect && now.saturating_sub(record.advanced) >= limit {
            self.adopt_suspicion(now, from, status.id, false);
        }
    }

    fn adopt_suspicion(&mut self, now: Duration, from: MemberId, id: MemberId, known: bool) {
        let Some(record) = self.records.get_mut(&id) else { return };
        record.suspect = true;
        record.down_since = Some(record.down_since.unwrap_or(now));
        self.holders_changed = true;
        if !known {
            self.note_change(now, id, Some(from));
        }
    }
}
