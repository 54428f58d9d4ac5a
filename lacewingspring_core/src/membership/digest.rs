//! Gossip messages between members.

use std::{
    hash::{DefaultHasher, Hash, Hasher},
    net::SocketAddr,
};

use serde::{Deserialize, Serialize};

use crate::names::{DataCentreName, InstanceName};

/// Identity of one run of a member: a hash of its name and incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct MemberId([u8; 4]);

impl MemberId {
    /// Returns the identity of the run of the instance `name` with this incarnation.
    pub fn new(name: &InstanceName, incarnation: u64) -> Self {
        let mut hasher = DefaultHasher::new();
        name.hash(&mut hasher);
        incarnation.hash(&mut hasher);
        Self((hasher.finish() as u32).to_le_bytes())
    }
}

/// One run of an instance, from its start to its exit, as a member of the fleet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Name of the instance, unique in the fleet.
    pub name: InstanceName,
    /// Data centre of the instance.
    pub data_centre: DataCentreName,
    /// Address for callers.
    #[serde(rename = "callers")]
    pub caller_address: SocketAddr,
    /// Address for other instances.
    #[serde(rename = "peers")]
    pub peer_address: SocketAddr,
    /// Number that grows with each start of the instance, for example the start time in
    /// milliseconds.
    pub incarnation: u64,
}

impl Member {
    /// Returns the identity of this run.
    pub fn id(&self) -> MemberId {
        MemberId::new(&self.name, self.incarnation)
    }
}

/// Checksum of the members that are not suspected, with their statuses.
///
/// Two members with equal checksums need not exchange any change.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct TableChecksum([u8; 8]);

impl TableChecksum {
    /// Adds a member; the order of additions doesn't matter.
    pub(super) fn add(&mut self, status: &Status) {
        let mut hasher = DefaultHasher::new();
        (status.id, status.applied_generation, status.leaving).hash(&mut hasher);
        let sum = u64::from_le_bytes(self.0) ^ hasher.finish();
        self.0 = sum.to_le_bytes();
    }
}

/// Heartbeat of a third member, relayed by the sender of a digest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayedHeartbeat {
    /// Member that the heartbeat is from.
    pub id: MemberId,
    /// Number of gossip rounds that the member has started.
    pub heartbeat: u32,
}

/// State of a member as the sender knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Member that the status is about.
    pub id: MemberId,
    /// Latest heartbeat of the member that the sender knows.
    pub heartbeat: u32,
    /// Configuration generation that the member has applied.
    pub applied_generation: u64,
    /// Whether the member has announced that it leaves.
    pub leaving: bool,
    /// Whether the sender suspects the member at this heartbeat.
    pub suspect: bool,
}

/// A member that the receiver may not know yet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Introduction {
    /// The member.
    pub member: Member,
    /// State of the member.
    pub status: Status,
}

/// One message of a push-pull exchange between two members.
///
/// Each member numbers the changes of its table; `since`, `sequence` and `acknowledged` are such
/// sequence numbers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// Sender.
    pub from: MemberId,
    /// Heartbeat of the sender.
    pub heartbeat: u32,
    /// Sender's heartbeat of the digest that this one replies to; `None` if it opens an exchange.
    pub answers: Option<u32>,
    /// Sender's change after which the changes in this digest begin.
    pub since: u64,
    /// Sender's change up to which the changes in this digest are complete.
    pub sequence: u64,
    /// Receiver's change up to which the sender has received all.
    pub acknowledged: u64,
    /// Checksum of the sender's table.
    pub table: TableChecksum,
    /// Heartbeats of third members.
    pub beats: Vec<RelayedHeartbeat>,
    /// Changed states of members that the receiver knows.
    pub statuses: Vec<Status>,
    /// Members that the receiver may not know.
    pub introductions: Vec<Introduction>,
    /// Runs that the sender has seen mentioned and requests introductions of.
    pub wanted: Vec<MemberId>,
}

/// A digest to be sent, with its destination.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outgoing {
    /// Peer address of the receiver.
    pub to: SocketAddr,
    /// Digest to send.
    pub digest: Digest,
}

/// An instance on the platform's list, which may be out of date.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedInstance {
    /// Name of the instance.
    pub name: InstanceName,
    /// Data centre of the instance.
    pub data_centre: DataCentreName,
    /// Address for callers.
    pub caller_address: SocketAddr,
    /// Address for other instances.
    pub peer_address: SocketAddr,
    /// Whether the platform is about to stop it.
    pub leaving: bool,
}
