//! Messages between entries and the homes of workspaces.

use lacewingspring_core::{
    limits::{Demand, Share},
    names::{InstanceName, WorkspaceName},
};
use serde::{Deserialize, Serialize};

/// Call about the limits of a workspace.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ShareCall {
    /// Entry to home: requests a share.
    #[serde(rename = "Ask")]
    Request {
        /// Workspace whose limits are shared.
        workspace: WorkspaceName,
        /// Instance that requests the share.
        instance: InstanceName,
        /// Incarnation of the instance.
        incarnation: u64,
        /// Demand of the instance.
        demand: Demand,
    },
    /// New home to member: requests a report of the share that the member holds. A member that is
    /// itself the previous home gives the role up.
    Report {
        /// Workspace whose limits are shared.
        workspace: WorkspaceName,
    },
}

/// Reply about the limits of a workspace.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ShareReply {
    /// Share of the entry that requested it.
    Granted(Share),
    /// Report of a member.
    Held {
        /// Incarnation of the member.
        incarnation: u64,
        /// Share that the member holds, and its demand.
        demand: Demand,
    },
    /// This instance is not the home of the workspace.
    NotHome,
}
