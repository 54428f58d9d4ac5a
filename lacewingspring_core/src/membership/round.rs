//! Gossip rounds: choice of the peers and content of the digests.

use std::{cmp::Reverse, collections::BTreeMap, net::SocketAddr, time::Duration};

use crate::{names::DataCentreName, rendezvous};

use super::{
    Digest, MemberId, Membership, Outgoing, RelayedHeartbeat, TableChecksum, record::Record,
};

/// Number of members of a data centre that exchange digests with other data centres.
const RELAYS: usize = 3;

/// Peers of the own data centre contacted in a round in flat mode.
const FLAT_FANOUT: usize = 2;

/// Peers of the own data centre contacted in a round otherwise.
const FANOUT: usize = 1;

/// Peers of the own data centre contacted in the round after an urgent change.
const URGENT_FANOUT: usize = 3;

/// Other data centres that a relay contacts in a round in flat mode.
const FLAT_RELAY_FANOUT: usize = 2;

/// Other data centres that a relay contacts in a round otherwise. After an urgent change it contacts
/// all of them, in flat mode too.
const RELAY_FANOUT: usize = 1;

/// Rounds between two probes of a member that is down or only listed.
const PROBE_ROUNDS: u32 = 5;

/// Listed instances that a member probes in a round while it knows no other member.
const JOIN_PROBES: usize = 3;

/// Maximum number of relayed heartbeats in a digest.
const MAX_HEARTBEATS: usize = 24;

/// Destination of a digest; `id` is `None` if the instance is only listed.
#[derive(Clone, Copy)]
struct Target {
    to: SocketAddr,
    id: Option<MemberId>,
}

impl Membership {
    /// Runs one gossip round and returns the digests to send; to be called once each period.
    pub fn round(&mut self, now: Duration) -> Vec<Outgoing> {
        self.detect_freeze(now);
        self.rounds += 1;
        if let Some(own) = self.records.get_mut(&self.own) {
            own.heartbeat += 1;
            own.last_advanced = now;
        }
        self.detect_failures(now);
        if self.revalidation.is_some_and(|revalidation| revalidation.until <= now) {
            self.revalidation = None;
        }
        let targets = self.targets(now);
        self.urgent = false;
        targets.into_iter().map(|target| self.open_exchange(now, target)).collect()
    }

    /// Returns the reply to a peer's digest that carried this heartbeat.
    pub(super) fn reply(&mut self, now: Duration, to: MemberId, heartbeat: u32) -> Digest {
        Digest { answers: Some(heartbeat), ..self.digest(now, Some(to)) }
    }

    fn open_exchange(&mut self, now: Duration, target: Target) -> Outgoing {
        Outgoing { to: target.to, digest: self.digest(now, target.id) }
    }

    fn targets(&mut self, now: Duration) -> Vec<Target> {
        let mut targets = self.local_targets(now);
        targets.extend(self.relay_targets(now));
        targets.extend(self.probe_targets(now));
        targets
    }

    /// Chooses random peers of the own data centre without a recent exchange.
    fn local_targets(&mut self, now: Duration) -> Vec<Target> {
        let own = &self.own_data_centre;
        let local = self.records.values().filter(|record| record.member.data_centre == *own);
        let local = local.filter(|record| self.is_target(now, record));
        let mut local: Vec<Target> = local.map(target_of).collect();
        let fanout = if self.urgent {
            URGENT_FANOUT
        } else if self.flat {
            FLAT_FANOUT
        } else {
            FANOUT
        };
        self.rng.shuffle(&mut local);
        local.truncate(fanout);
        local
    }

    /// Whether the member is another one, is up and sent no digest for three quarters of a period.
    fn is_target(&self, now: Duration, record: &Record) -> bool {
        let pause = self.cfg.period * 3 / 4;
        let due = record.exchange.last_digest.is_none_or(|last| now.saturating_sub(last) >= pause);
        record.member.id() != self.own && due && record.down_since.is_none()
    }

    /// Chooses one relay each of some other data centres if this member is a relay itself.
    fn relay_targets(&mut self, now: Duration) -> Vec<Target> {
        let mut centres: BTreeMap<&DataCentreName, Vec<&Record>> = BTreeMap::new();
        for record in self.records.values().filter(|record| !self.is_gone(now, record)) {
            centres.entry(&record.member.data_centre).or_default().push(record);
        }
        let is_relay = centres
            .remove(&self.own_data_centre)
            .is_some_and(|local| relays(local).any(|record| record.member.id() == self.own));
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
            centres.truncate(if self.flat { FLAT_RELAY_FANOUT } else { RELAY_FANOUT });
        }
        centres.iter().map(|relays| relays[self.rng.below(relays.len())]).collect()
    }

    pub(super) fn is_gone(&self, now: Duration, record: &Record) -> bool {
        record.down_since.is_some_and(|since| now.saturating_sub(since) >= self.cfg.gone_after)
    }

    /// Chooses members that are down or only listed, which may have come up since.
    fn probe_targets(&mut self, now: Duration) -> Vec<Target> {
        let unreached =
            self.listed.values().filter(|listed| !self.names.contains_key(&listed.name));
        let mut targets: Vec<Target> =
            unreached.map(|listed| Target { to: listed.peer_address, id: None }).collect();
        let alone = self.records.len() == 1;
        if !alone {
            if !self.rounds.is_multiple_of(PROBE_ROUNDS) {
                return Vec::new();
            }
            let down = self.records.values().filter(|record| record.down_since.is_some());
            targets.extend(down.filter(|record| self.is_probed(now, record)).map(target_of));
        }
        self.rng.shuffle(&mut targets);
        targets.truncate(if alone { JOIN_PROBES } else { 1 });
        targets
    }

    /// Whether a member that is down is probed. Relays still contact those of other data centres
    /// until they are gone.
    fn is_probed(&self, now: Duration, record: &Record) -> bool {
        record.member.data_centre == self.own_data_centre || self.is_gone(now, record)
    }

    fn digest(&mut self, now: Duration, to: Option<MemberId>) -> Digest {
        let beats = self.heartbeats_for(to);
        let changes = self.select_changes(now, to);
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
            table: self.table_checksum(),
            beats,
            statuses: changes.statuses,
            introductions: changes.introductions,
            wanted,
        }
    }

    /// Returns the checksum of the members that are not suspected.
    pub(super) fn table_checksum(&mut self) -> TableChecksum {
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

    /// Selects the latest heartbeats that the peer may not know.
    fn heartbeats_for(&mut self, to: Option<MemberId>) -> Vec<RelayedHeartbeat> {
        let Some(peer) = to.and_then(|id| self.records.get(&id)) else { return Vec::new() };
        if !self.cfg.policy.relay_heartbeats {
            return Vec::new();
        }
        let id = peer.member.id();
        let since = peer.exchange.heartbeats_sent;
        let is_new = |record: &&Record| {
            record.heartbeat_arrival > since && record.heartbeat_source != Some(id)
        };
        let fresh = self.records.values().filter(is_new);
        let fresh = fresh.filter(|record| ![id, self.own].contains(&record.member.id()));
        let mut fresh = self.select_relayed(peer, fresh.collect());
        fresh.sort_by_key(|record| Reverse(record.heartbeat_arrival));
        fresh.truncate(MAX_HEARTBEATS);
        let beats =
            fresh.iter().map(|r| RelayedHeartbeat { id: r.member.id(), heartbeat: r.heartbeat });
        let beats = beats.collect();
        if let Some(peer) = self.records.get_mut(&id) {
            peer.exchange.heartbeats_sent = self.heartbeats_received;
        }
        beats
    }

    /// Selects the heartbeats to relay to a peer: all in flat mode, else all of the own data centre
    /// if the peer is in it too, and the latest one of each other data centre.
    ///
    /// One heartbeat shows that a data centre is reachable.
    fn select_relayed<'a>(&self, peer: &Record, records: Vec<&'a Record>) -> Vec<&'a Record> {
        if self.flat {
            return records;
        }
        let own = &self.own_data_centre;
        let is_local =
            |record: &Record| record.member.data_centre == *own && peer.member.data_centre == *own;
        let mut latest: BTreeMap<&DataCentreName, &Record> = BTreeMap::new();
        let (mut kept, far): (Vec<_>, Vec<_>) = records.into_iter().partition(|r| is_local(r));
        for record in far.into_iter().filter(|r| r.member.data_centre != *own) {
            let best = latest.entry(&record.member.data_centre).or_insert(record);
            if record.heartbeat_arrival > best.heartbeat_arrival {
                *best = record;
            }
        }
        kept.extend(latest.into_values());
        kept
    }
}

fn target_of(record: &Record) -> Target {
    Target { to: record.member.peer_address, id: Some(record.member.id()) }
}

/// Returns the relays among the members of one data centre.
fn relays(members: Vec<&Record>) -> std::vec::IntoIter<&Record> {
    let (mut up, down): (Vec<_>, Vec<_>) =
        members.into_iter().partition(|record| record.down_since.is_none() && !record.leaving);
    // If all members are down or leaving, digests still go to some, to notice their recovery.
    if up.is_empty() {
        up = down;
    }
    up.sort_by_key(|record| Reverse(rendezvous::weight(&"relay", &record.member.name)));
    up.truncate(RELAYS);
    up.into_iter()
}
