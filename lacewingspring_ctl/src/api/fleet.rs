//! State of the fleet.

use serde::{Deserialize, Serialize};

/// State of the fleet as one instance sees it.
#[derive(Debug, Serialize, Deserialize)]
pub struct FleetStatus {
    /// Instance that answers.
    pub instance: String,
    /// Data centre of that instance.
    pub data_centre: String,
    /// Generation that the instance applies.
    pub generation: u64,
    /// Instances of the fleet.
    #[serde(default)]
    pub instances: Vec<InstanceStatus>,
    /// Roles and who holds them.
    #[serde(default)]
    pub roles: Vec<RoleStatus>,
    /// Calls to the key-value service that the instance made.
    #[serde(default)]
    pub key_value_calls: Vec<CallsStatus>,
}

/// Calls to the key-value service for one purpose.
#[derive(Debug, Serialize, Deserialize)]
pub struct CallsStatus {
    /// What they were made for.
    pub purpose: String,
    /// How many since the start of the instance.
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
    /// State of its life cycle.
    pub state: String,
    /// Generation that it applies; none when unknown.
    #[serde(default)]
    pub generation: Option<u64>,
    /// Time since its last heartbeat, in milliseconds; none when unknown.
    #[serde(default)]
    pub heartbeat_age_ms: Option<u64>,
}

/// A role and the instance that holds it.
#[derive(Debug, Serialize, Deserialize)]
pub struct RoleStatus {
    /// Name of the role.
    pub role: String,
    /// Instance that holds it; none when nobody does.
    #[serde(default)]
    pub holder: Option<String>,
}

/// Whether a generation is in force everywhere.
#[derive(Debug, Serialize, Deserialize)]
pub struct WaitResult {
    /// Whether every live instance applies it.
    pub in_force: bool,
    /// Generation that was waited for.
    pub generation: u64,
    /// Instances that do not apply it yet.
    #[serde(default)]
    pub laggards: Vec<Laggard>,
}

/// An instance that applies an older generation.
#[derive(Debug, Serialize, Deserialize)]
pub struct Laggard {
    /// Name of the instance.
    pub instance: String,
    /// Generation that it applies; none when unknown.
    #[serde(default)]
    pub generation: Option<u64>,
}
