//! What a member sends, and to whom.

use std::{cmp::Reverse, collections::BTreeMap, net::SocketAddr, time::Duration};

use crate::{names::DataCentreName, rendezvous};

use super::{
    Digest, MemberId, Membership, Outgoing, RelayedHeartbeat, TableChecksum, record::Record,
};

/// Members of each data centre that exchange digests with others.
const RELAYS: usize = 3;

/// Members of the own data centre met in a round while the fleet is small.
const SMALL_FANOUT: usize = 2;

/// Members of the own data centre met in a round.
const FANOUT: usize = 1;

/// Members of the own data centre met in a round while a change is fresh.
const URGENT_FANOUT: usize = 3;

/// Other data centres that a relay meets in a round while the fleet is small.
const SMALL_RELAY_FANOUT: usize = 2;

/// Other data centres that a relay meets in a round.
const RELAY_FANOUT: usize = 1;

/// Rounds between two attempts to reach a member that is gone.
const PROBE_ROUNDS: u32 = 5;

/// Listed members that a member which knows no other greets in a round.
const GREETINGS: usize = 3;

/// Heartbeats in a digest.
const MAX_BEATS: usize = 24;

/// Whom to send a digest.
#[derive(Clone, Copy)]
struct Target {
    to: SocketAddr,
    id: Option<MemberId>,
}

impl Membership {
    /// Makes one round, to be called each period, and returns the digests to send.
    pub fn round(&mut self, now: Duration) -> Vec<Outgoing> {
        self.note_active(now);
        self.rounds += 1;
        if let Some(own) = self.records.get_mut(&self.own) {
            own.heartbeat += 1;
            own.advanced = now;
        }
        self.judge(now);
        if self.revalidation.is_some_and(|revalidation| revalidation.until <= now) {
            self.revalidation = None;
        }
        let targets = self.targets(now);
        self.urgent = false;
        targets.into_iter().map(|target| self.open(now, target)).collect()
    }

    /// Returns the answer to a digest of a peer.
    pub(super) fn reply(&mut self, now: Duration, to: MemberId, heartbeat: u32) -> Digest {
        Digest { answers: Some(heartbeat), ..self.digest(now, Some(to)) }
    }

    fn open(&mut self, now: Duration, target: Target) -> Outgoing {
        Outgoing { to: target.to, digest: self.digest(now, target.id) }
    }

    fn targets(&mut self, now: Duration) -> Vec<Target> {
        let mut targets = self.near_targets(now);
        targets.extend(self.relay_targets(now));
        targets.extend(self.probe_targets(now));
        targets
    }

    /// Members of the own data centre that no exchange was just made with.
    fn near_targets(&mut self, now: Duration) -> Vec<Target> {
        let own = &self.own_data_centre;
        let near = self.records.values().filter(|record| record.member.data_centre == *own);
        let near = near.filter(|record| self.is_target(now, record));
        let mut near: Vec<Target> = near.map(target_of).collect();
        let fanout = if self.urgent {
            URGENT_FANOUT
        } else if self.flat {
            SMALL_FANOUT
        } else {
            FANOUT
        };
        self.rng.shuffle(&mut near);
        near.truncate(fanout);
        near
    }

    /// Whether the member is up and no exchange with it was made in this period.
    fn is_target(&self, now: Duration, record: &Record) -> bool {
        let pause = self.cfg.period * 3 / 4;
        let due = record.exchange.last.is_none_or(|last| now.saturating_sub(last) >= pause);
        record.member.id() != self.own && due && record.down_since.is_none()
    }

    /// One relay each of a few other data centres, when this member is a relay itself.
    fn relay_targets(&mut self, now: Duration) -> Vec<Target> {
        let mut centres: BTreeMap<&DataCentreName, Vec<&Record>> = BTreeMap::new();
        for record in self.records.values().filter(|record| !self.is_gone(now, record)) {
            centres.entry(&record.member.data_centre).or_default().push(record);
        }
        let is_relay = centres
            .remove(&self.own_data_centre)
            .is_some_and(|near| relays(near).any(|record| record.member.id() == self.own));
        if !is_relay {
            return Vec::new();
        }
        let relays: Vec<Vec<Target>> =
            centres.into_values().map(|members| relays(members).map(target_of).collect()).collect();
        self.choose_relays(relays)
    }

    fn choose_relays(&mut self, mut centres: Vec<Vec<Target>>) -> Vec<Target> {
        self.rng.shuffle(&mut centres);
        if !self.urgent {
            centres.truncate(if self.flat { SMALL_RELAY_FANOUT } else { RELAY_FANOUT });
        }
        centres.iter().map(|relays| relays[self.rng.below(relays.len())]).collect()
    }

    pub(super) fn is_gone(&self, now: Duration, record: &Record) -> bool {
        record.down_since.is_some_and(|since| now.saturating_sub(since) >= self.cfg.gone_after)
    }

    /// Members that are down or only listed, in the hope that they are back or new.
    fn probe_targets(&mut self, now: Duration) -> Vec<Target> {
        let unheard = self.listed.values().filter(|listed| !self.names.contains_key(&listed.name));
        let mut targets: Vec<Target> =
            unheard.map(|listed| Target { to: listed.peers, id: None }).collect();
        let alone = self.records.len() == 1;
        if !alone {
            if !self.rounds.is_multiple_of(PROBE_ROUNDS) {
                return Vec::new();
            }
            let down = self.records.values().filter(|record| record.down_since.is_some());
            targets.extend(down.filter(|record| self.is_probed(now, record)).map(target_of));
        }
        self.rng.shuffle(&mut targets);
        targets.truncate(if alone { GREETINGS } else { 1 });
        targets
    }

    /// The suspects of the own data centre and the gone of all.
    fn is_probed(&self, now: Duration, record: &Record) -> bool {
        record.member.data_centre == self.own_data_centre || self.is_gone(now, record)
    }

    fn digest(&mut self, now: Duration, to: Option<MemberId>) -> Digest {
        let beats = self.beats_for(to);
        let changes = self.changes_for(now, to);
        let received = to.and_then(|id| self.records.get(&id)).map_or(0, |r| r.exchange.received);
        let mut wanted: Vec<MemberId> = std::mem::take(&mut self.unknown).into_iter().collect();
        wanted.extend(to.filter(|id| !self.records.contains_key(id)));
        wanted.dedup();
        Digest {
            from: self.own,
            heartbeat: self.own_heartbeat(),
            answers: None,
            since: changes.since,
            sequence: changes.sequence,
            acknowledged: received,
            table: self.table_sum(),
            beats,
            statuses: changes.statuses,
            introductions: changes.introductions,
            wanted,
        }
    }

    /// Returns the checksum of the members that are not suspect.
    pub(super) fn table_sum(&mut self) -> TableChecksum {
        match self.table {
            Some((sequence, sum)) if sequence == self.sequence => return sum,
            _ => {}
        }
        let mut sum = TableChecksum::default();
        for record in self.records.values().filter(|record| !record.suspect) {
            sum.add(&record.status());
        }
        self.table = Some((self.sequence, sum));
        sum
    }

    /// The freshest heartbeats that the peer may not have.
    fn beats_for(&mut self, to: Option<MemberId>) -> Vec<RelayedHeartbeat> {
        let Some(peer) = to.and_then(|id| self.records.get(&id)) else { return Vec::new() };
        if !self.cfg.policy.relay_heartbeats {
            return Vec::new();
        }
        let id = peer.member.id();
        let since = peer.exchange.beats_sent;
        let is_news = |record: &&Record| record.beat > since && record.beat_source != Some(id);
        let fresh = self.records.values().filter(is_news);
        let fresh = fresh.filter(|record| ![id, self.own].contains(&record.member.id()));
        let mut fresh = self.passed_on(peer, fresh.collect());
        fresh.sort_by_key(|record| Reverse(record.beat));
        fresh.truncate(MAX_BEATS);
        let beats =
            fresh.iter().map(|r| RelayedHeartbeat { id: r.member.id(), heartbeat: r.heartbeat });
        let beats = beats.collect();
        if let Some(peer) = self.records.get_mut(&id) {
            peer.exchange.beats_sent = self.beats;
        }
        beats
    }

    /// Keeps all heartbeats of the peer's own data centre, and one of each other.
    ///
    /// One heartbeat shows that a data centre can be reached. In a small fleet all are passed on.
    fn passed_on<'a>(&self, peer: &Record, records: Vec<&'a Record>) -> Vec<&'a Record> {
        if self.flat {
            return records;
        }
        let own = &self.own_data_centre;
        let is_near =
            |record: &Record| record.member.data_centre == *own && peer.member.data_centre == *own;
        let mut latest: BTreeMap<&DataCentreName, &Record> = BTreeMap::new();
        let (mut kept, far): (Vec<_>, Vec<_>) = records.into_iter().partition(|r| is_near(r));
        for record in far.into_iter().filter(|r| r.member.data_centre != *own) {
            let best = latest.entry(&record.member.data_centre).or_insert(record);
            if record.beat > best.beat {
                *best = record;
            }
        }
        kept.extend(latest.into_values());
        kept
    }
}

fn target_of(record: &Record) -> Target {
    Target { to: record.member.peers, id: Some(record.member.id()) }
}

/// Returns the relays among the members of one data centre.
fn relays(members: Vec<&Record>) -> std::vec::IntoIter<&Record> {
    let (mut up, down): (Vec<_>, Vec<_>) =
        members.into_iter().partition(|record| record.down_since.is_none() && !record.leaving);
    // A data centre that can't be reached is still tried.
    if up.is_empty() {
        up = down;
    }
    up.sort_by_key(|record| Reverse(rendezvous::weight(&"relay", &record.member.name)));
    up.truncate(RELAYS);
    up.into_iter()
}
