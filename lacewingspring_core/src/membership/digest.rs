//! Messages between members.

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
    /// Returns the identity of the run of `name` that has this incarnation.
    pub fn new(name: &InstanceName, incarnation: u64) -> Self {
        let mut hasher = DefaultHasher::new();
        name.hash(&mut hasher);
        incarnation.hash(&mut hasher);
        Self((hasher.finish() as u32).to_le_bytes())
    }
}

/// One run of an instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Name of the instance, unique in the fleet.
    pub name: InstanceName,
    /// Data centre of the instance.
    pub data_centre: DataCentreName,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for other instances.
    pub peers: SocketAddr,
    /// Number of this run; it grows with each start of the instance, for example the time of the
    /// start in milliseconds.
    pub incarnation: u64,
}

impl Member {
    /// Returns the identity of this run.
    pub fn id(&self) -> MemberId {
        MemberId::new(&self.name, self.incarnation)
    }
}

/// Checksum of the members that are held to be live and of their statuses.
///
/// Of two members with equal checksums, neither has anything to tell the other.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct TableChecksum([u8; 8]);

impl TableChecksum {
    /// Adds a member, in any order.
    pub(super) fn add(&mut self, status: &Status) {
        let mut hasher = DefaultHasher::new();
        (status.id, status.applied_generation, status.leaving).hash(&mut hasher);
        let sum = u64::from_le_bytes(self.0) ^ hasher.finish();
        self.0 = sum.to_le_bytes();
    }
}

/// Heartbeat of a third member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayedHeartbeat {
    /// Whose heartbeat it is.
    pub id: MemberId,
    /// Rounds that the member has made.
    pub heartbeat: u32,
}

/// What is known of a member besides its heartbeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Whose status it is.
    pub id: MemberId,
    /// Heartbeat at which this was known.
    pub heartbeat: u32,
    /// Generation of the configuration that the member applies.
    pub applied_generation: u64,
    /// Whether the member has said that it leaves.
    pub leaving: bool,
    /// Whether the sender suspects the member at this heartbeat.
    pub suspect: bool,
}

/// A member that the receiver may not know yet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Introduction {
    /// The member.
    pub member: Member,
    /// What is known of it.
    pub status: Status,
}

/// One message of an exchange between two members.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// Sender.
    pub from: MemberId,
    /// Heartbeat of the sender.
    pub heartbeat: u32,
    /// Heartbeat of the digest that this one answers; none when it opens an exchange.
    pub answers: Option<u32>,
    /// Number of the sender's change after which this digest begins.
    pub since: u64,
    /// Number of the sender's change up to which this digest goes.
    pub sequence: u64,
    /// Number of the receiver's change up to which the sender has them all.
    pub acknowledged: u64,
    /// Checksum of all that the sender holds to be live, with their statuses.
    pub table: TableChecksum,
    /// Heartbeats of third members.
    pub beats: Vec<RelayedHeartbeat>,
    /// Changed statuses.
    pub statuses: Vec<Status>,
    /// Members that the receiver may not know.
    pub introductions: Vec<Introduction>,
    /// Members of whose runs the sender has heard but that it does not know.
    pub wanted: Vec<MemberId>,
}

/// A digest with the address that it goes to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outgoing {
    /// Peer address of the receiver.
    pub to: SocketAddr,
    /// The message.
    pub digest: Digest,
}

/// An instance on the platform's list, which lags.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedInstance {
    /// Name of the instance.
    pub name: InstanceName,
    /// Data centre of the instance.
    pub data_centre: DataCentreName,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for other instances.
    pub peers: SocketAddr,
    /// Whether the platform is about to stop it.
    pub leaving: bool,
}
