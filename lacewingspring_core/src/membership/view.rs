//! Snapshots of the membership and the assignment of roles.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
    hash::Hash,
    net::SocketAddr,
    time::Duration,
};

use crate::{
    names::{DataCentreName, InstanceName},
    rendezvous,
};

use super::address;

/// Liveness state of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum MemberState {
    /// Up, and may hold roles.
    Live,
    /// Its heartbeats stopped, or it is listed and has never sent one.
    Suspect,
    /// Up, but takes no new work and holds no roles.
    Leaving,
    /// Suspected for longer than the configured time.
    Gone,
}

/// A member in a view.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ViewMember {
    /// Name of the instance.
    pub name: InstanceName,
    /// Data centre of the instance.
    pub data_centre: DataCentreName,
    /// Address for callers.
    pub caller_address: SocketAddr,
    /// Address for other instances.
    pub peer_address: SocketAddr,
    /// Incarnation of the instance; zero if it is only listed and never sent a heartbeat.
    pub incarnation: u64,
    /// State of the member.
    pub state: MemberState,
    /// Configuration generation that the member last announced as applied.
    pub applied_generation: u64,
    /// Time since the member was last known to be up; `None` if it never sent a heartbeat.
    pub heartbeat_age: Option<Duration>,
}

/// Address of an instance to which a caller may send requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallerAddress {
    /// Address for callers.
    pub address: SocketAddr,
    /// Data centre of the instance.
    pub data_centre: DataCentreName,
    /// Share of new requests, relative to the other addresses returned.
    pub weight: u32,
}

/// Set of members that could hold roles before a change, kept until a deadline.
#[derive(Clone, Debug)]
pub(super) struct PastHolders {
    pub(super) until: Duration,
    pub(super) members: BTreeMap<InstanceName, DataCentreName>,
}

/// Snapshot of the membership as one member knows it.
#[derive(Clone, Debug)]
pub struct View {
    /// Time of the snapshot.
    pub at: Duration,
    /// Name of the instance whose view it is.
    pub own: InstanceName,
    /// Members, including this one, sorted by name.
    pub members: Vec<ViewMember>,
    /// Whether a run of this instance with a higher incarnation exists, so that this one must stop.
    pub superseded: bool,
    /// False from a freeze of this process until a peer has answered a digest sent since, or the
    /// wait for such an answer has timed out.
    pub revalidated: bool,
    pub(super) past_holders: Vec<PastHolders>,
}

impl View {
    /// Returns a member by name.
    pub fn member(&self, name: &str) -> Option<&ViewMember> {
        let found = self.members.binary_search_by(|member| member.name.as_str().cmp(name));
        found.ok().map(|i| &self.members[i])
    }

    /// Returns the members that may hold roles, which are the live ones.
    pub fn eligible(&self) -> impl Iterator<Item = &ViewMember> {
        self.members.iter().filter(|member| member.state == MemberState::Live)
    }

    /// Returns the holder of a role, chosen from the data centre if it has eligible members.
    pub fn holder<R>(&self, role: &R, data_centre: Option<&DataCentreName>) -> Option<&ViewMember>
    where
        R: Hash,
    {
        self.candidates(data_centre)
            .into_iter()
            .max_by_key(|member| rendezvous::weight(role, &member.name))
    }

    /// Returns whether the set of eligible members changed within the retention time of previous
    /// holders.
    pub fn recently_changed(&self) -> bool {
        !self.past_holders.is_empty()
    }

    /// Returns the first `n` candidates for a role by descending weight; the first is the holder.
    pub fn holders<R>(
        &self,
        role: &R,
        n: usize,
        data_centre: Option<&DataCentreName>,
    ) -> Vec<&ViewMember>
    where
        R: Hash,
    {
        let mut candidates = self.candidates(data_centre);
        candidates.sort_by_key(|member| Reverse(rendezvous::weight(role, &member.name)));
        candidates.truncate(n);
        candidates
    }

    /// Returns the members that held the role within the retention time of previous holders and no
    /// longer hold it, latest first.
    pub fn previous_holders<R>(
        &self,
        role: &R,
        data_centre: Option<&DataCentreName>,
    ) -> Vec<&ViewMember>
    where
        R: Hash,
    {
        let present = self.holder(role, data_centre).map(|member| &member.name);
        let mut seen: BTreeSet<&InstanceName> = present.into_iter().collect();
        let past_holders = self.past_holders.iter().rev();
        let holders = past_holders.filter_map(|past| past.holder(role, data_centre));
        let holders = holders.filter(|name| seen.insert(name));
        holders.filter_map(|name| self.member(name.as_str())).collect()
    }

    /// Returns the addresses that callers of a data centre may use.
    ///
    /// An address with a weight of zero is only for use if the others fail.
    pub fn addresses(&self, data_centre: Option<&DataCentreName>) -> Vec<CallerAddress> {
        address::addresses(&self.eligible().collect::<Vec<_>>(), data_centre)
    }

    fn candidates(&self, data_centre: Option<&DataCentreName>) -> Vec<&ViewMember> {
        let local = self.eligible().filter(|member| Some(&member.data_centre) == data_centre);
        let local: Vec<_> = local.collect();
        if local.is_empty() { self.eligible().collect() } else { local }
    }
}

impl PastHolders {
    fn holder<R>(&self, role: &R, data_centre: Option<&DataCentreName>) -> Option<&InstanceName>
    where
        R: Hash,
    {
        let local = self.members.iter().filter(|(_, centre)| Some(*centre) == data_centre);
        let local = local.map(|(name, _)| name);
        let best = local.max_by_key(|name| rendezvous::weight(role, name));
        best.or_else(|| self.members.keys().max_by_key(|name| rendezvous::weight(role, name)))
    }
}
