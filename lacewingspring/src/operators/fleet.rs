//! View of the fleet for operators, implemented by the daemon.

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
    /// Returns this instance. The caller overwrites its generation from the declared state.
    fn own(&self) -> InstanceView;

    /// Returns the other instances of the membership.
    fn others(&self) -> Vec<InstanceView>;

    /// Returns the roles that the resources of a catalog define, with their holders.
    fn roles(&self, _catalog: &Catalog) -> Vec<RoleView> {
        Vec::new()
    }

    /// Returns the conditions that the fleet reports for a resource.
    fn conditions(&self, _id: &ResourceId) -> Vec<Condition> {
        Vec::new()
    }

    /// Returns the events that the fleet reports for a resource, oldest first.
    fn events(&self, _id: &ResourceId) -> Vec<Event> {
        Vec::new()
    }

    /// Returns the metrics of this instance.
    fn metrics(&self) -> Option<MetricsReport> {
        None
    }

    /// Returns the gates that this instance holds.
    fn gates(&self) -> Vec<GateReport> {
        Vec::new()
    }

    /// Returns the calls that this instance made to the key-value service.
    fn key_value_calls(&self) -> Vec<CallsView> {
        Vec::new()
    }

    /// Returns the recorded steps of a request; `None` if this instance has no record of it.
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
    /// Lifecycle state.
    pub state: InstanceState,
    /// Generation in its last heartbeat; `None` before its first.
    pub generation: Option<u64>,
    /// Time since its last heartbeat; `None` before its first.
    pub heartbeat_age: Option<Duration>,
}

/// Lifecycle state of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum InstanceState {
    /// The instance accepts new requests.
    Live,
    /// The instance finishes its open requests and accepts no new ones.
    Leaving,
    /// The instance is listed but its heartbeats are missing.
    Suspect,
}

/// A role and the instance that holds it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct RoleView {
    /// Name of the role.
    pub role: String,
    /// Instance that holds the role; `None` if no instance does.
    pub holder: Option<InstanceName>,
}

/// Count of calls to the key-value service since the start of the instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct CallsView {
    /// Purpose of the calls.
    pub purpose: &'static str,
    /// Number of calls, successful or not.
    pub calls: u64,
}

/// Condition of a resource, with the reason for its status.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Condition {
    /// Name of the condition, one word.
    #[serde(rename = "type")]
    pub kind: &'static str,
    /// Whether the condition holds.
    pub status: ConditionStatus,
    /// Reason for the status, one word.
    pub reason: &'static str,
    /// Reason for the status, one sentence.
    pub message: String,
}

/// Status of a condition.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ConditionStatus {
    /// The condition holds.
    True,
    /// The condition does not hold.
    False,
    /// The fleet can't tell whether the condition holds.
    Unknown,
}

/// Event in the history of a resource.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Event {
    /// Wall-clock time, in milliseconds since the Unix epoch.
    pub at: u64,
    /// Kind of event, one word.
    pub reason: &'static str,
    /// Description of the event, one sentence.
    pub message: String,
}
