//! What the membership looks like at one time.

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

/// State of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum MemberState {
    /// Up, and may hold roles.
    Live,
    /// Not heard from for a while, or listed and never heard from.
    Suspect,
    /// Up, but takes no new work and holds no roles.
    Leaving,
    /// Not heard from for long.
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
    pub callers: SocketAddr,
    /// Address for other instances.
    pub peers: SocketAddr,
    /// Number of the run; zero when the instance is listed and was never heard from.
    pub incarnation: u64,
    /// State of the member.
    pub state: MemberState,
    /// Generation of the configuration that the member last said it applies.
    pub applied_generation: u64,
    /// Time since it was last known to be up; none when it was never heard from.
    pub heartbeat_age: Option<Duration>,
}

/// Address that a caller may use.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallerAddress {
    /// Address for callers.
    pub address: SocketAddr,
    /// Data centre of the instance.
    pub data_centre: DataCentreName,
    /// Share of new requests, relative to the other addresses of the answer.
    pub weight: u32,
}

/// Members that could hold roles until a change replaced them.
#[derive(Clone, Debug)]
pub(super) struct PastHolders {
    pub(super) until: Duration,
    pub(super) members: BTreeMap<InstanceName, DataCentreName>,
}

/// The membership at one time, as one member sees it.
#[derive(Clone, Debug)]
pub struct View {
    /// Time of the view.
    pub at: Duration,
    /// Name of the instance whose view it is.
    pub own: InstanceName,
    /// Members in the order of their names, this one included.
    pub members: Vec<ViewMember>,
    /// Whether a later run of this instance exists, so that this one must stop.
    pub superseded: bool,
    /// False from a freeze of this process until a peer has answered since.
    pub revalidated: bool,
    pub(super) past: Vec<PastHolders>,
}

impl View {
    /// Returns a member by name.
    pub fn member(&self, name: &str) -> Option<&ViewMember> {
        let found = self.members.binary_search_by(|member| member.name.as_str().cmp(name));
        found.ok().map(|i| &self.members[i])
    }

    /// Returns the members that may hold roles.
    pub fn eligible(&self) -> impl Iterator<Item = &ViewMember> {
        self.members.iter().filter(|member| member.state == MemberState::Live)
    }

    /// Returns the holder of a role, in the data centre if it has members that may hold roles.
    pub fn holder<R>(&self, role: &R, data_centre: Option<&DataCentreName>) -> Option<&ViewMember>
    where
        R: Hash,
    {
        self.candidates(data_centre)
            .into_iter()
            .max_by_key(|member| rendezvous::weight(role, &member.name))
    }

    /// Returns whether the members that may hold roles have changed in the last seconds.
    pub fn recently_changed(&self) -> bool {
        !self.past.is_empty()
    }

    /// Returns the first `n` holders of a role, best first.
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

    /// Returns those that held the role in the last seconds and hold it no more, latest first.
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
        let past = self.past.iter().rev();
        let holders = past.filter_map(|past| past.holder(role, data_centre));
        let holders = holders.filter(|name| seen.insert(name));
        holders.filter_map(|name| self.member(name.as_str())).collect()
    }

    /// Returns the addresses that callers of a data centre may use.
    ///
    /// Weights of zero mark addresses to try when the others fail.
    pub fn addresses(&self, data_centre: Option<&DataCentreName>) -> Vec<CallerAddress> {
        address::addresses(&self.eligible().collect::<Vec<_>>(), data_centre)
    }

    fn candidates(&self, data_centre: Option<&DataCentreName>) -> Vec<&ViewMember> {
        let near = self.eligible().filter(|member| Some(&member.data_centre) == data_centre);
        let near: Vec<_> = near.collect();
        if near.is_empty() { self.eligible().collect() } else { near }
    }
}

impl PastHolders {
    fn holder<R>(&self, role: &R, data_centre: Option<&DataCentreName>) -> Option<&InstanceName>
    where
        R: Hash,
    {
        let near = self.members.iter().filter(|(_, centre)| Some(*centre) == data_centre);
        let near = near.map(|(name, _)| name);
        let best = near.max_by_key(|name| rendezvous::weight(role, name));
        best.or_else(|| self.members.keys().max_by_key(|name| rendezvous::weight(role, name)))
    }
}
