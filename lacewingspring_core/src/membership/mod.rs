//! Fleet membership by push-pull gossip of heartbeats.
//!
//! Within a data centre each member relays the heartbeats of all others and suspects a member whose
//! last heartbeat is too old. Between data centres only a few relays of each exchange digests. In a
//! small fleet (flat mode) these carry every heartbeat as well, and each member judges all others.
//! In a larger fleet they carry changes of state and one heartbeat of each other data centre: a
//! member of another data centre counts as live as long as any heartbeat of that data centre
//! arrives and its relays have not reported the member as suspect.
//!
//! A member resends a change to a peer until the peer acknowledges it. Heartbeats are not
//! acknowledged, since each one supersedes the previous.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use crate::names::{DataCentreName, InstanceName};

pub use self::{
    config::{MembershipConfig, MembershipPolicy},
    digest::{
        Digest, Introduction, ListedInstance, Member, MemberId, Outgoing, RelayedHeartbeat, Status,
        TableChecksum,
    },
    freeze::{Freeze, FreezeDetector},
    view::{CallerAddress, MemberState, View, ViewMember},
};

use self::{record::Record, rng::SmallRng, view::PastHolders};

mod address;
mod changes;
mod config;
mod digest;
mod freeze;
mod judge;
mod receive;
mod record;
mod rng;
mod round;
mod view;

/// Time for which digests carry a change of state ahead of older changes.
const URGENT_PERIOD: Duration = Duration::from_secs(2);

/// Tombstone of a member's run that was replaced or forgotten.
#[derive(Clone, Copy, Debug)]
struct Retired {
    /// Last heartbeat; only a newer one readmits the run. `None` if a newer run replaced it, so
    /// that it is never readmitted.
    heartbeat: Option<u32>,
    until: Duration,
}

/// Pending check, after a freeze of this process, that a peer answers again.
#[derive(Clone, Copy, Debug)]
struct Revalidation {
    /// Lowest own heartbeat that was sent after the freeze; a reply to an older one is stale.
    heartbeat: u32,
    /// Time at which the check ends even without a reply, since members that are silent by then
    /// are suspected anyway.
    until: Duration,
}

/// Fleet membership as one member knows it, and the state of its gossip protocol.
#[derive(Debug)]
pub struct Membership {
    cfg: MembershipConfig,
    own: MemberId,
    own_name: InstanceName,
    own_data_centre: DataCentreName,
    records: BTreeMap<MemberId, Record>,
    /// Known run of each instance.
    names: BTreeMap<InstanceName, MemberId>,
    retired: BTreeMap<MemberId, Retired>,
    listed: BTreeMap<InstanceName, ListedInstance>,
    /// Time of the last heartbeat from each data centre.
    last_contact: BTreeMap<DataCentreName, Duration>,
    /// Runs mentioned by peers, to be requested with the next digest.
    unknown: BTreeSet<MemberId>,
    /// Whether every heartbeat is sent to every data centre.
    flat: bool,
    superseded: bool,
    /// Sequence number of the last change of the table.
    sequence: u64,
    /// Number of heartbeats received, which orders them by arrival.
    heartbeats_received: u64,
    rounds: u32,
    /// Whether a change of state awaits the next round, which then contacts more peers.
    urgent: bool,
    /// Whether the set of members that may hold roles needs to be computed again.
    holders_changed: bool,
    /// Cached checksum of the table, with the sequence number of the change that it covers.
    table: Option<(u64, TableChecksum)>,
    last_active: Option<Duration>,
    revalidation: Option<Revalidation>,
    past_holders: Vec<PastHolders>,
    /// Members that may hold roles, as of the last update of `past_holders`.
    eligible: BTreeMap<InstanceName, DataCentreName>,
    rng: SmallRng,
}

impl Membership {
    /// Creates the membership of a member that knows no other member yet.
    pub fn new(cfg: MembershipConfig, own: Member, seed: u64) -> Self {
        let id = own.id();
        let mut membership = Self {
            cfg,
            own: id,
            own_name: own.name.clone(),
            own_data_centre: own.data_centre.clone(),
            records: BTreeMap::new(),
            names: BTreeMap::new(),
            retired: BTreeMap::new(),
            listed: BTreeMap::new(),
            last_contact: BTreeMap::new(),
            unknown: BTreeSet::new(),
            flat: true,
            superseded: false,
            sequence: 1,
            heartbeats_received: 0,
            rounds: 0,
            urgent: false,
            holders_changed: true,
            table: None,
            last_active: None,
            revalidation: None,
            past_holders: Vec::new(),
            eligible: BTreeMap::new(),
            rng: SmallRng::new(seed),
        };
        membership.names.insert(own.name.clone(), id);
        membership.records.insert(id, Record::new(own, Duration::ZERO, 1));
        membership.eligible = membership.eligible_now();
        membership
    }

    /// Returns the identity of this run of the own instance.
    pub fn own_id(&self) -> MemberId {
        self.own
    }

    /// Applies the platform's list of instances, which may be out of date.
    ///
    /// The list provides addresses to contact and marks instances that the platform is about to
    /// stop. A member whose heartbeats arrive stays a member whether it is listed or not.
    pub fn observe_list(&mut self, now: Duration, list: Vec<ListedInstance>) {
        self.listed = list.into_iter().map(|listed| (listed.name.clone(), listed)).collect();
        self.listed.remove(&self.own_name);
        self.holders_changed = true;
        self.update_past_holders(now);
    }

    /// Sets the configuration generation that this instance has applied, which peers learn.
    pub fn set_applied_generation(&mut self, generation: u64) {
        let Some(own) = self.records.get_mut(&self.own) else { return };
        if own.applied_generation == generation {
            return;
        }
        own.applied_generation = generation;
        self.sequence += 1;
        own.change_sequence = self.sequence;
    }

    /// Marks this instance as leaving; the next round announces it to peers.
    pub fn leave(&mut self, now: Duration) {
        let own = self.own;
        if let Some(record) = self.records.get_mut(&own) {
            record.leaving = true;
        }
        self.record_urgent_change(now, own, None);
        self.update_past_holders(now);
    }

    /// Returns a snapshot of the membership.
    pub fn view(&self, now: Duration) -> View {
        View {
            at: now,
            own: self.own_name.clone(),
            members: self.view_members(now),
            superseded: self.superseded,
            revalidated: self.revalidation.is_none(),
            past_holders: self
                .past_holders
                .iter()
                .filter(|past| past.until > now)
                .cloned()
                .collect(),
        }
    }

    fn next_sequence(&mut self) -> u64 {
        self.sequence += 1;
        self.sequence
    }

    /// Records an urgent change of a member's state, which is sent ahead of other changes.
    fn record_urgent_change(&mut self, now: Duration, id: MemberId, source: Option<MemberId>) {
        let sequence = self.next_sequence();
        let Some(record) = self.records.get_mut(&id) else { return };
        record.change_sequence = sequence;
        record.change_source = source;
        record.urgent_until = now + URGENT_PERIOD;
        self.urgent = true;
        self.holders_changed = true;
    }

    /// Remembers the previous set of members that may hold roles if a change replaced it.
    fn update_past_holders(&mut self, now: Duration) {
        if !std::mem::take(&mut self.holders_changed) {
            return;
        }
        let eligible = self.eligible_now();
        self.past_holders.retain(|past| past.until > now);
        if eligible == self.eligible {
            return;
        }
        let members = std::mem::replace(&mut self.eligible, eligible);
        self.past_holders
            .push(PastHolders { until: now + self.cfg.previous_holders_retention, members });
        if self.was_recently_alone() {
            self.assume_others_held_roles(now);
        }
    }

    /// Whether this member knew no other within the retention time of past holders, as after its
    /// start. The others may have held its roles then.
    fn was_recently_alone(&self) -> bool {
        self.past_holders.iter().any(|past| past.members.keys().eq([&self.own_name]))
    }

    fn eligible_now(&self) -> BTreeMap<InstanceName, DataCentreName> {
        let up = self.records.values().filter(|record| self.may_hold_roles(record));
        up.map(|record| (record.member.name.clone(), record.member.data_centre.clone())).collect()
    }

    fn may_hold_roles(&self, record: &Record) -> bool {
        record.down_since.is_none() && !record.leaving && !self.is_listed_leaving(record)
    }

    fn is_listed_leaving(&self, record: &Record) -> bool {
        self.listed.get(&record.member.name).is_some_and(|listed| listed.leaving)
    }

    fn view_members(&self, now: Duration) -> Vec<ViewMember> {
        let known = self.records.values().map(|record| self.view_member(now, record));
        let unreached =
            self.listed.values().filter(|listed| !self.names.contains_key(&listed.name));
        let unreached = unreached.map(|listed| ViewMember {
            name: listed.name.clone(),
            data_centre: listed.data_centre.clone(),
            caller_address: listed.caller_address,
            peer_address: listed.peer_address,
            incarnation: 0,
            state: MemberState::Suspect,
            applied_generation: 0,
            heartbeat_age: None,
        });
        let mut members: Vec<_> = known.chain(unreached).collect();
        members.sort_by(|a, b| a.name.cmp(&b.name));
        members
    }

    fn view_member(&self, now: Duration, record: &Record) -> ViewMember {
        let mut state = record.state(now, self.cfg.gone_after);
        if state == MemberState::Live && self.is_listed_leaving(record) {
            state = MemberState::Leaving;
        }
        ViewMember {
            name: record.member.name.clone(),
            data_centre: record.member.data_centre.clone(),
            caller_address: record.member.caller_address,
            peer_address: record.member.peer_address,
            incarnation: record.member.incarnation,
            state,
            applied_generation: record.applied_generation,
            heartbeat_age: Some(now.saturating_sub(self.last_known_up(record, now))),
        }
    }

    /// Returns the local time at which the member was last known to be up.
    fn last_known_up(&self, record: &Record, now: Duration) -> Duration {
        if record.member.id() == self.own {
            return now;
        }
        if self.is_judged_by_heartbeat(record) || record.suspect {
            return record.last_advanced;
        }
        let contact = self.last_contact.get(&record.member.data_centre).copied();
        record.last_advanced.max(contact.unwrap_or_default())
    }
}
