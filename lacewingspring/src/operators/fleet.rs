//! What operators see of the fleet, as the rest of the daemon provides it.

use std::{net::SocketAddr, time::Duration};

use lacewingspring_core::{
    catalog::Catalog,
    key_index::KeyId,
    names::{DataCentreName, InstanceName},
    resources::ResourceId,
};
use serde::Serialize;

use crate::{entry::StepReport, gates::GateReport, metrics::MetricsReport};

/// View of the fleet at one instance.
pub trait FleetView {
    /// Returns the instance that answers; its generation is taken from the declared state.
    fn own(&self) -> InstanceView;

    /// Returns the other instances that count as members.
    fn others(&self) -> Vec<InstanceView>;

    /// Returns the roles that these resources make, and who holds them.
    fn roles(&self, _catalog: &Catalog) -> Vec<RoleView> {
        Vec::new()
    }

    /// Returns what the fleet reports of a resource.
    fn conditions(&self, _id: &ResourceId) -> Vec<Condition> {
        Vec::new()
    }

    /// Returns what the fleet did because of a resource, oldest first.
    fn events(&self, _id: &ResourceId) -> Vec<Event> {
        Vec::new()
    }

    /// Returns the metrics of the instance that answers.
    fn metrics(&self) -> Option<MetricsReport> {
        None
    }

    /// Returns the gates that the instance that answers holds.
    fn gates(&self) -> Vec<GateReport> {
        Vec::new()
    }

    /// Returns the calls to the key-value service that the instance that answers made.
    fn key_value_calls(&self) -> Vec<CallsView> {
        Vec::new()
    }

    /// Returns what was decided about a request; none when this instance doesn't know it.
    fn explain(&self, _id: &KeyId) -> Option<Vec<StepReport>> {
        None
    }
}

/// One instance as another sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InstanceView {
    /// Name of the instance.
    pub name: InstanceName,
    /// Data centre of the instance.
    pub data_centre: DataCentreName,
    /// Address for callers.
    pub address: SocketAddr,
    /// Stage of its life.
    pub state: InstanceState,
    /// Generation that it said to apply; none before its first heartbeat.
    pub generation: Option<u64>,
    /// Time since its last heartbeat; none before the first.
    pub heartbeat_age: Option<Duration>,
}

/// Stage of an instance's life.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum InstanceState {
    /// It takes new requests.
    Live,
    /// It finishes what it has.
    Leaving,
    /// It is listed and its heartbeats are missing.
    Suspect,
}

/// A role and the instance that holds it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct RoleView {
    /// Name of the role.
    pub role: String,
    /// Instance that holds it; none when nobody does.
    pub holder: Option<InstanceName>,
}

/// Calls to the key-value service since the start of the instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct CallsView {
    /// What they were made for.
    pub purpose: &'static str,
    /// How many, whether they succeeded or not.
    pub calls: u64,
}

/// One statement about a resource and why it holds or not.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Condition {
    /// What is stated, one word.
    #[serde(rename = "type")]
    pub kind: &'static str,
    /// Whether it holds.
    pub status: ConditionStatus,
    /// Reason, one word.
    pub reason: &'static str,
    /// Reason, in a sentence.
    pub message: String,
}

/// Whether a condition holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ConditionStatus {
    /// It holds.
    True,
    /// It does not hold.
    False,
    /// The fleet does not know.
    Unknown,
}

/// Something that happened to a resource.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Event {
    /// Wall-clock time, in milliseconds since the Unix epoch.
    pub at: u64,
    /// Reason, one word.
    pub reason: &'static str,
    /// Reason, in a sentence.
    pub message: String,
}
