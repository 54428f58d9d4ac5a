//! Which changes of state a digest carries.

use std::time::Duration;

use super::{Introduction, MemberId, Membership, Status, record::Record, rng::SmallRng};

/// Changes in a digest that are sent in their turn.
const MAX_CHANGES: usize = 8;

/// Changes in a digest that are drawn from those whose turn hasn't come.
///
/// Peers that are sent the same oldest changes by all have more use for these.
const MAX_DRAWN: usize = 8;

/// Urgent changes sent ahead of their turn in a digest.
const MAX_URGENT: usize = 4;

/// Changes in a digest, and the numbers between which they are complete.
pub(super) struct Changes {
    pub(super) since: u64,
    pub(super) sequence: u64,
    pub(super) statuses: Vec<Status>,
    pub(super) introductions: Vec<Introduction>,
}

/// What decides which changes a peer is sent.
struct Reader {
    id: Option<MemberId>,
    since: u64,
    wanted: Vec<MemberId>,
}

impl Membership {
    /// The oldest changes that the peer hasn't acknowledged, and urgent ones ahead of their turn.
    pub(super) fn changes_for(&mut self, now: Duration, to: Option<MemberId>) -> Changes {
        if !self.has_met(to) {
            return self.greeting(to);
        }
        let reader = self.reader(to);
        let seed = self.rng.below(usize::MAX) as u64;
        let mut news = self.news(now, &reader);
        let later = news.split_off(news.len().min(MAX_CHANGES));
        let sequence = match news.last() {
            Some(last) if !later.is_empty() => last.changed,
            _ => self.sequence,
        };
        let (urgent, mut later): (Vec<_>, Vec<_>) =
            later.into_iter().rev().partition(|record| record.urgent_until > now);
        news.extend(urgent.into_iter().take(MAX_URGENT));
        SmallRng::new(seed).shuffle(&mut later);
        news.extend(later.into_iter().take(MAX_DRAWN));
        let changes = self.changes(&reader, sequence, &news);
        if !self.cfg.policy.acknowledge {
            self.assume_acknowledged(to, sequence);
        }
        changes
    }

    /// Whether the peer has sent a digest, be it one that only this reply will answer.
    fn has_met(&self, to: Option<MemberId>) -> bool {
        let record = to.map(|id| self.records.get(&id));
        record.is_some_and(|record| record.is_none_or(|record| record.exchange.last.is_some()))
    }

    /// First digest to a peer, which may know all of this member's table from others.
    fn greeting(&self, to: Option<MemberId>) -> Changes {
        let own = self.records.get(&self.own).filter(|_| to.is_none());
        let introductions = own.map(Record::introduction).into_iter().collect();
        Changes { since: 0, sequence: 0, statuses: Vec::new(), introductions }
    }

    fn reader(&mut self, to: Option<MemberId>) -> Reader {
        let peer = to.and_then(|id| self.records.get_mut(&id));
        let Some(exchange) = peer.map(|peer| &mut peer.exchange) else {
            return Reader { id: to, since: 0, wanted: Vec::new() };
        };
        let wanted = std::mem::take(&mut exchange.wanted);
        Reader { id: to, since: exchange.acknowledged, wanted }
    }

    /// Returns what changed since the reader last acknowledged, oldest first.
    fn news(&self, now: Duration, reader: &Reader) -> Vec<&Record> {
        let is_news = |record: &&Record| {
            record.changed > reader.since
                && record.changed_source.is_none_or(|source| Some(source) != reader.id)
                && !self.is_gone(now, record)
        };
        let mut news: Vec<&Record> = self.records.values().filter(is_news).collect();
        news.sort_by_key(|record| record.changed);
        news
    }

    fn changes(&self, reader: &Reader, sequence: u64, news: &[&Record]) -> Changes {
        let (introduced, changed): (Vec<&Record>, Vec<&Record>) =
            news.iter().partition(|record| record.introduced > reader.since);
        let asked = reader.wanted.iter().filter_map(|id| self.records.get(id));
        let introduced = introduced.into_iter().chain(asked);
        Changes {
            since: reader.since,
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
