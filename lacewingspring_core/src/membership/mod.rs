//! Membership of the fleet by push-pull gossip of heartbeats.
//!
//! Within a data centre each member passes on the heartbeats of all others and judges them by the
//! age of their last heartbeat. Between data centres a few relays exchange digests. In a small
//! fleet these carry every heartbeat too, and everyone judges everyone. In a larger one they carry
//! changes only: a member of another data centre is held to be live while that data centre is
//! heard from at all and its relays haven't reported the member as suspect.
//!
//! A change is sent to a peer until the peer acknowledges it. Heartbeats aren't acknowledged, since
//! the next one replaces them.

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

/// Time for which a change of state is sent ahead of other changes.
const URGENT_FOR: Duration = Duration::from_secs(2);

/// What remains of a run that was replaced or forgotten.
#[derive(Clone, Copy, Debug)]
struct Retired {
    /// Last heartbeat; only a newer one brings the run back. None when it was replaced.
    heartbeat: Option<u32>,
    until: Duration,
}

/// Reply to a round of digests that is awaited after a freeze.
#[derive(Clone, Copy, Debug)]
struct Revalidation {
    /// Lowest own heartbeat that counts as asked after the freeze.
    heartbeat: u32,
    /// Time at which the members that do not answer are suspected in any case.
    until: Duration,
}

/// One member's knowledge of the fleet.
#[derive(Debug)]
pub struct Membership {
    cfg: MembershipConfig,
    own: MemberId,
    own_name: InstanceName,
    own_data_centre: DataCentreName,
    records: BTreeMap<MemberId, Record>,
    names: BTreeMap<InstanceName, MemberId>,
    retired: BTreeMap<MemberId, Retired>,
    listed: BTreeMap<InstanceName, ListedInstance>,
    contacts: BTreeMap<DataCentreName, Duration>,
    unknown: BTreeSet<MemberId>,
    flat: bool,
    superseded: bool,
    sequence: u64,
    beats: u64,
    rounds: u32,
    urgent: bool,
    /// Whether the set of possible role holders may have changed.
    holders_changed: bool,
    /// Checksum of the table, with the number of the change at which it was made.
    table: Option<(u64, TableChecksum)>,
    last_active: Option<Duration>,
    revalidation: Option<Revalidation>,
    past: Vec<PastHolders>,
    eligible: BTreeMap<InstanceName, DataCentreName>,
    rng: SmallRng,
}

impl Membership {
    /// Creates the membership of a member that knows only itself.
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
            contacts: BTreeMap::new(),
            unknown: BTreeSet::new(),
            flat: true,
            superseded: false,
            sequence: 1,
            beats: 0,
            rounds: 0,
            urgent: false,
            holders_changed: true,
            table: None,
            last_active: None,
            revalidation: None,
            past: Vec::new(),
            eligible: BTreeMap::new(),
            rng: SmallRng::new(seed),
        };
        membership.names.insert(own.name.clone(), id);
        membership.records.insert(id, Record::new(own, Duration::ZERO, 1));
        membership.eligible = membership.eligible_now();
        membership
    }

    /// Returns the identity of this run.
    pub fn own_id(&self) -> MemberId {
        self.own
    }

    /// Takes the platform's list of instances, which lags.
    ///
    /// It introduces members and marks those that the platform is about to stop. A member whose
    /// heartbeats arrive stays, whether it is listed or not.
    pub fn observe_list(&mut self, now: Duration, list: Vec<ListedInstance>) {
        self.listed = list.into_iter().map(|listed| (listed.name.clone(), listed)).collect();
        self.listed.remove(&self.own_name);
        self.holders_changed = true;
        self.note_holders(now);
    }

    /// Sets the generation of the configuration that this instance applies.
    pub fn set_applied_generation(&mut self, generation: u64) {
        let Some(own) = self.records.get_mut(&self.own) else { return };
        if own.applied_generation == generation {
            return;
        }
        own.applied_generation = generation;
        self.sequence += 1;
        own.changed = self.sequence;
    }

    /// Says that this instance leaves; the others hear it with the next round.
    pub fn leave(&mut self, now: Duration) {
        let own = self.own;
        if let Some(record) = self.records.get_mut(&own) {
            record.leaving = true;
        }
        self.note_change(now, own, None);
        self.note_holders(now);
    }

    /// Returns the present view.
    pub fn view(&self, now: Duration) -> View {
        View {
            at: now,
            own: self.own_name.clone(),
            members: self.view_members(now),
            superseded: self.superseded,
            revalidated: self.revalidation.is_none(),
            past: self.past.iter().filter(|past| past.until > now).cloned().collect(),
        }
    }

    fn next_sequence(&mut self) -> u64 {
        self.sequence += 1;
        self.sequence
    }

    /// Numbers a change of state, which is sent ahead of other changes.
    fn note_change(&mut self, now: Duration, id: MemberId, source: Option<MemberId>) {
        let sequence = self.next_sequence();
        let Some(record) = self.records.get_mut(&id) else { return };
        record.changed = sequence;
        record.changed_source = source;
        record.urgent_until = now + URGENT_FOR;
        self.urgent = true;
        self.holders_changed = true;
    }

    /// Keeps the set of possible role holders that a change has just replaced.
    fn note_holders(&mut self, now: Duration) {
        if !std::mem::take(&mut self.holders_changed) {
            return;
        }
        let eligible = self.eligible_now();
        self.past.retain(|past| past.until > now);
        if eligible == self.eligible {
            return;
        }
        let members = std::mem::replace(&mut self.eligible, eligible);
        self.past.push(PastHolders { until: now + self.cfg.previous_holders_retention, members });
        if self.was_alone() {
            self.doubt_own_roles(now);
        }
    }

    /// Whether this member knew no other of late, as after its start; they may have held its roles.
    fn was_alone(&self) -> bool {
        self.past.iter().any(|past| past.members.keys().eq([&self.own_name]))
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
        let unheard = self.listed.values().filter(|listed| !self.names.contains_key(&listed.name));
        let unheard = unheard.map(|listed| ViewMember {
            name: listed.name.clone(),
            data_centre: listed.data_centre.clone(),
            callers: listed.callers,
            peers: listed.peers,
            incarnation: 0,
            state: MemberState::Suspect,
            applied_generation: 0,
            heartbeat_age: None,
        });
        let mut members: Vec<_> = known.chain(unheard).collect();
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
            callers: record.member.callers,
            peers: record.member.peers,
            incarnation: record.member.incarnation,
            state,
            applied_generation: record.applied_generation,
            heartbeat_age: Some(now.saturating_sub(self.last_heard(record, now))),
        }
    }

    /// Returns the time at which the member was last known to be up.
    fn last_heard(&self, record: &Record, now: Duration) -> Duration {
        if record.member.id() == self.own {
            return now;
        }
        if self.judges_by_heartbeat(record) || record.suspect {
            return record.advanced;
        }
        let contact = self.contacts.get(&record.member.data_centre).copied();
        record.advanced.max(contact.unwrap_or_default())
    }
}
