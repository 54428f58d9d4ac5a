//! State of the fleet.

use serde::{Deserialize, Serialize};

/// State of the fleet as one instance sees it.
#[derive(Debug, Serialize, Deserialize)]
pub struct FleetStatus {
    /// Instance that sent the response.
    pub instance: String,
    /// Data centre of that instance.
    pub data_centre: String,
    /// Generation that the instance applies.
    pub generation: u64,
    /// Instances of the fleet.
    #[serde(default)]
    pub instances: Vec<InstanceStatus>,
    /// Roles and the instances that hold them.
    #[serde(default)]
    pub roles: Vec<RoleStatus>,
    /// Calls that the instance made to the key-value service, by purpose.
    #[serde(default)]
    pub key_value_calls: Vec<KeyValueCalls>,
}

/// Number of calls to the key-value service for one purpose.
#[derive(Debug, Serialize, Deserialize)]
pub struct KeyValueCalls {
    /// Purpose of the calls.
    pub purpose: String,
    /// Number of calls since the instance started.
    pub calls: u64,
}

/// State of one instance.
#[derive(Debug, Serialize, Deserialize)]
pub struct InstanceStatus {
    /// Name of the instance.
    pub name: String,
    /// Data centre of the instance.
    pub data_centre: String,
    /// Address for callers.
    pub address: String,
    /// Lifecycle state.
    pub state: String,
    /// Generation that it applies; `None` if unknown.
    #[serde(default)]
    pub generation: Option<u64>,
    /// Time since its last heartbeat, in milliseconds; `None` if unknown.
    #[serde(default)]
    pub heartbeat_age_ms: Option<u64>,
}

/// A role and the instance that holds it.
#[derive(Debug, Serialize, Deserialize)]
pub struct RoleStatus {
    /// Name of the role.
    pub role: String,
    /// Instance that holds it; `None` if vacant.
    #[serde(default)]
    pub holder: Option<String>,
}

/// Result of a wait for a generation.
#[derive(Debug, Serialize, Deserialize)]
pub struct WaitResult {
    /// Whether every live instance applies the generation.
    pub in_force: bool,
    /// Generation that the wait was for.
    pub generation: u64,
    /// Instances that do not apply it yet.
    #[serde(default)]
    pub laggards: Vec<Laggard>,
}

/// An instance that still applies an older generation.
#[derive(Debug, Serialize, Deserialize)]
pub struct Laggard {
    /// Name of the instance.
    pub instance: String,
    /// Generation that it applies; `None` if unknown.
    #[serde(default)]
    pub generation: Option<u64>,
}
