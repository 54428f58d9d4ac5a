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

/// One resource, declared and reported.
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

/// One statement about a resource and why it holds or not.
#[derive(Debug, Serialize, Deserialize)]
pub struct Condition {
    /// What is stated.
    #[serde(rename = "type")]
    pub kind: String,
    /// Whether it holds.
    pub status: ConditionStatus,
    /// Reason, one word.
    #[serde(default)]
    pub reason: String,
    /// Reason, in a sentence.
    #[serde(default)]
    pub message: String,
}

/// Whether a condition holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ConditionStatus {
    /// It holds.
    #[serde(alias = "True")]
    True,
    /// It does not hold.
    #[serde(alias = "False")]
    False,
    /// The fleet does not know.
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
