//! Selection of the changes of state that a digest carries.

use std::time::Duration;

use super::{Introduction, MemberId, Membership, Status, record::Record, rng::SmallRng};

/// Maximum number of changes that a digest carries in sequence, oldest first.
const MAX_SEQUENTIAL_CHANGES: usize = 8;

/// Maximum number of later changes that a digest carries, sampled at random.
///
/// All peers send a member the same oldest changes, so random later ones are more often new to it.
const MAX_SAMPLED_CHANGES: usize = 8;

/// Maximum number of urgent changes that a digest carries out of sequence.
const MAX_URGENT_CHANGES: usize = 4;

/// Changes in a digest, which include all after `since` up to `sequence` that the peer needs.
pub(super) struct Changes {
    pub(super) since: u64,
    pub(super) sequence: u64,
    pub(super) statuses: Vec<Status>,
    pub(super) introductions: Vec<Introduction>,
}

/// Peer that a digest is for, with what it has acknowledged and requested.
struct Recipient {
    id: Option<MemberId>,
    since: u64,
    wanted: Vec<MemberId>,
}

impl Membership {
    /// Selects the oldest unacknowledged changes, some urgent later ones and a random sample.
    pub(super) fn select_changes(&mut self, now: Duration, to: Option<MemberId>) -> Changes {
        if !self.has_sent_digest(to) {
            return self.first_contact(to);
        }
        let recipient = self.recipient(to);
        let seed = self.rng.below(usize::MAX) as u64;
        let mut selected = self.unacknowledged(now, &recipient);
        let later = selected.split_off(selected.len().min(MAX_SEQUENTIAL_CHANGES));
        let sequence = match selected.last() {
            Some(last) if !later.is_empty() => last.change_sequence,
            _ => self.sequence,
        };
        let (urgent, mut later): (Vec<_>, Vec<_>) =
            later.into_iter().rev().partition(|record| record.urgent_until > now);
        selected.extend(urgent.into_iter().take(MAX_URGENT_CHANGES));
        SmallRng::new(seed).shuffle(&mut later);
        selected.extend(later.into_iter().take(MAX_SAMPLED_CHANGES));
        let changes = self.changes(&recipient, sequence, &selected);
        if !self.cfg.policy.acknowledge {
            self.assume_acknowledged(to, sequence);
        }
        changes
    }

    /// Whether the peer has sent a digest, even if it is unknown here and this is the first reply.
    fn has_sent_digest(&self, to: Option<MemberId>) -> bool {
        let record = to.map(|id| self.records.get(&id));
        record
            .is_some_and(|record| record.is_none_or(|record| record.exchange.last_digest.is_some()))
    }

    /// Changes for the first digest to a peer, which may know the whole table from others already.
    ///
    /// It introduces this member if the peer is known only by its listed address.
    fn first_contact(&self, to: Option<MemberId>) -> Changes {
        let own = self.records.get(&self.own).filter(|_| to.is_none());
        let introductions = own.map(Record::introduction).into_iter().collect();
        Changes { since: 0, sequence: 0, statuses: Vec::new(), introductions }
    }

    fn recipient(&mut self, to: Option<MemberId>) -> Recipient {
        let peer = to.and_then(|id| self.records.get_mut(&id));
        let Some(exchange) = peer.map(|peer| &mut peer.exchange) else {
            return Recipient { id: to, since: 0, wanted: Vec::new() };
        };
        let wanted = std::mem::take(&mut exchange.wanted);
        Recipient { id: to, since: exchange.acknowledged, wanted }
    }

    /// Returns the records that changed since the recipient's last acknowledgement, oldest first.
    fn unacknowledged(&self, now: Duration, recipient: &Recipient) -> Vec<&Record> {
        let is_new = |record: &&Record| {
            record.change_sequence > recipient.since
                && record.change_source.is_none_or(|source| Some(source) != recipient.id)
                && !self.is_gone(now, record)
        };
        let mut records: Vec<&Record> = self.records.values().filter(is_new).collect();
        records.sort_by_key(|record| record.change_sequence);
        records
    }

    fn changes(&self, recipient: &Recipient, sequence: u64, records: &[&Record]) -> Changes {
        let (introduced, changed): (Vec<&Record>, Vec<&Record>) =
            records.iter().partition(|record| record.introduced_sequence > recipient.since);
        let requested = recipient.wanted.iter().filter_map(|id| self.records.get(id));
        let introduced = introduced.into_iter().chain(requested);
        Changes {
            since: recipient.since,
            sequence,
            statuses: changed.into_iter().map(Record::status).collect(),
            introductions: introduced.map(Record::introduction).collect(),
        }
    }

    fn assume_acknowledged(&mut self, to: Option<MemberId>, sequence: u64) {
        if let Some(peer) = to.and_then(|id| self.records.get_mut(&id)) {
            peer.exchange.acknowledged = sequence;
        }
    }
}
