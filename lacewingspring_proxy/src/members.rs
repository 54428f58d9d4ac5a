//! The instances of the fleet.

use std::{cmp::Reverse, net::SocketAddr, sync::Arc};

use arc_swap::ArcSwap;
use lacewingspring_core::names::{DataCentreName, InstanceName};
use log::warn;
use serde::{Deserialize, Serialize};

use crate::{
    clock,
    mirror::Mirror,
    store::{Item, Revision},
};

/// Prefix of the keys of instances.
pub const MEMBERS_PREFIX: &str = "lacewingspring/instances/";

/// Maximum number of addresses returned to a caller.
const MAX_ADDRESSES: usize = 64;

/// Number of instances in the caller's data centre from which on only their addresses are returned.
const MIN_LOCAL_INSTANCES: usize = 2;

/// Entry of an instance in the key-value service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Name of the instance.
    pub instance: InstanceName,
    /// Random number that distinguishes this process from earlier ones of the instance.
    pub incarnation: u64,
    /// Data centre of the instance.
    pub data_centre: DataCentreName,
    /// Processor share of its machine, in thousandths of a core; 0 if it is not known.
    #[serde(default)]
    pub millicores: u32,
    /// Address for callers.
    #[serde(rename = "callers")]
    pub caller_address: SocketAddr,
    /// Address for other instances.
    #[serde(rename = "peers")]
    pub peer_address: SocketAddr,
    /// Whether the instance is about to stop.
    pub is_leaving: bool,
}

impl Member {
    /// Returns the key of its entry.
    pub fn key(&self) -> String {
        format!("{MEMBERS_PREFIX}{}", self.instance)
    }
}

/// The instances of the fleet, ordered by processor share, the largest first, then by age, the
/// oldest first.
///
/// The first acts as the gate, which needs more processor time than a small machine has.
#[derive(Clone, Debug, Default)]
pub struct Members(Vec<Member>);

impl Members {
    /// Reads the instances from a copy of their keys; invalid entries are left out.
    pub fn from_mirror(mirror: &Mirror) -> Self {
        let parse = |item: &Item| match serde_json::from_slice(&item.value) {
            Ok(member) => Some((item.created_revision, member)),
            Err(e) => {
                warn!(
                    key = item.key.as_str(), error:% = e;
                    "The entry of an instance is invalid; the instance is left out."
                );
                None
            }
        };
        mirror.items().filter_map(parse).collect()
    }

    /// Returns all instances, those that are leaving included, in the order of the fleet.
    pub fn all(&self) -> &[Member] {
        &self.0
    }

    /// Returns the instances that are not leaving, in the order of the fleet.
    pub fn active(&self) -> impl Iterator<Item = &Member> {
        self.0.iter().filter(|member| !member.is_leaving)
    }

    /// Returns the instances that may act as the gate, in the order of the fleet: those that stay
    /// or, if all leave, those that leave, as they serve until they stop.
    pub fn gate_candidates(&self) -> impl Iterator<Item = &Member> {
        let all_leave = self.is_empty();
        self.0.iter().filter(move |member| all_leave || !member.is_leaving)
    }

    /// Returns whether an instance has this incarnation.
    pub fn has_incarnation(&self, incarnation: u64) -> bool {
        self.0.iter().any(|member| member.incarnation == incarnation)
    }

    /// Returns the number of instances that are not leaving.
    pub fn len(&self) -> usize {
        self.active().count()
    }

    /// Returns whether all instances are leaving, or there are none.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the addresses for a caller: those of its data centre if there are enough, else all.
    ///
    /// The instance `excluded` is left out even if its entry does not show yet that it is leaving.
    pub fn addresses(
        &self,
        data_centre: Option<&DataCentreName>,
        excluded: Option<&InstanceName>,
    ) -> Vec<SocketAddr> {
        let active = self.active().filter(|member| Some(&member.instance) != excluded);
        let active: Vec<&Member> = active.collect();
        let is_local = |member: &&&Member| Some(&member.data_centre) == data_centre;
        let local: Vec<&Member> = active.iter().filter(is_local).copied().collect();
        let chosen = if local.len() >= MIN_LOCAL_INSTANCES { local } else { active };
        chosen.iter().map(|member| member.caller_address).take(MAX_ADDRESSES).collect()
    }
}

impl FromIterator<(Revision, Member)> for Members {
    /// Orders instances, each with the revision of its entry's creation.
    fn from_iter<I>(members: I) -> Self
    where
        I: IntoIterator<Item = (Revision, Member)>,
    {
        let mut members: Vec<(Revision, Member)> = members.into_iter().collect();
        members.sort_by_cached_key(|(created, member)| {
            (Reverse(member.millicores), *created, member.instance.clone())
        });
        Self(members.into_iter().map(|(_, member)| member).collect())
    }
}

/// The current instances, shared between tasks.
pub type SharedMembers = Arc<ArcSwap<Members>>;

/// Returns a random number that distinguishes this process from earlier ones of the instance.
pub fn random_incarnation() -> u64 {
    clock::wall().as_millis() as u64 ^ rand::random::<u64>()
}
