//! Declared resources and their reported state.

use std::fmt::{self, Display, Formatter};

use lacewingspring_core::resources::Resource;
use serde::{Deserialize, Serialize};

use crate::api::Event;

/// All declared resources, or those of one kind.
#[derive(Debug, Serialize, Deserialize)]
pub struct ResourceList {
    /// Generation of the configuration.
    pub generation: u64,
    /// Declared resources.
    pub resources: Vec<Resource>,
}

/// Declared and reported state of one resource.
#[derive(Debug, Serialize, Deserialize)]
pub struct ResourceDetail {
    /// Declared state.
    pub resource: Resource,
    /// Generation of the configuration.
    pub generation: u64,
    /// Reported state.
    #[serde(default)]
    pub status: ResourceStatus,
    /// What happened to the resource, oldest first.
    #[serde(default)]
    pub events: Vec<Event>,
}

/// Reported state of a resource.
#[derive(Debug, Default, Serialize, Deserialize)]
pub struct ResourceStatus {
    /// Conditions that the fleet reports.
    #[serde(default)]
    pub conditions: Vec<Condition>,
}

/// One aspect of the state of a resource and the reason for its status.
#[derive(Debug, Serialize, Deserialize)]
pub struct Condition {
    /// Type of the condition, such as `InForce`.
    #[serde(rename = "type")]
    pub kind: String,
    /// Whether the condition holds.
    pub status: ConditionStatus,
    /// Reason as one word for programs.
    #[serde(default)]
    pub reason: String,
    /// Reason as a sentence for people.
    #[serde(default)]
    pub message: String,
}

/// Whether a condition holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ConditionStatus {
    /// The condition holds.
    #[serde(alias = "True")]
    True,
    /// The condition does not hold.
    #[serde(alias = "False")]
    False,
    /// The fleet cannot determine whether it holds.
    #[serde(alias = "Unknown")]
    Unknown,
}

impl Display for ConditionStatus {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::True => "true",
            Self::False => "false",
            Self::Unknown => "unknown",
        })
    }
}
