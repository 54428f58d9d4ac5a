//! Messages between entries and the homes of workspaces.

use lacewingspring_core::{
    limits::{Demand, Share},
    names::{InstanceName, WorkspaceName},
};
use serde::{Deserialize, Serialize};

/// Question about the limits of a workspace.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ShareCall {
    /// Entry to home: asks for a share.
    Request {
        /// Workspace that is limited.
        workspace: WorkspaceName,
        /// Instance that asks.
        instance: InstanceName,
        /// Incarnation of the instance.
        incarnation: u64,
        /// What it asks for.
        demand: Demand,
    },
    /// New home to member: asks what it holds; a home that has lost the role gives it up.
    Report {
        /// Workspace that is limited.
        workspace: WorkspaceName,
    },
}

/// Answer about the limits of a workspace.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ShareReply {
    /// The share of the entry that asked.
    Granted(Share),
    /// What the member holds.
    Held {
        /// Incarnation of the member.
        incarnation: u64,
        /// What it holds and asks for.
        demand: Demand,
    },
    /// This instance is not the home of the workspace.
    NotHome,
}
