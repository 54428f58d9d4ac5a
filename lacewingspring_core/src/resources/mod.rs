//! Declared resources: services, workspaces, tiers, engine pools and operators.

use std::{
    fmt::{self, Display, Formatter},
    str::FromStr,
};

use serde::{Deserialize, Serialize};
use thiserror::Error;

pub use self::{
    operator::{OperatorRole, OperatorSpec},
    pool::{EnginePoolSpec, PoolKind, UpstreamSpec},
    service::{ServiceProtocol, ServiceSpec},
    tier::TierSpec,
    workspace::{WorkspaceLimits, WorkspaceSpec},
};

mod operator;
mod pool;
mod service;
mod tier;
mod workspace;

/// Kind and name of a resource.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ResourceId {
    /// Kind of the resource.
    pub kind: ResourceKind,
    /// Name of the resource, unique within its kind.
    pub name: String,
}

impl Display for ResourceId {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.kind.as_str(), self.name)
    }
}

/// Kind of a resource.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ResourceKind {
    /// A priority tier.
    Tier,
    /// A pool of upstreams, either engines or plain servers.
    EnginePool,
    /// A service to which callers send requests.
    Service,
    /// A workspace, the account of a customer.
    Workspace,
    /// An operator, who reads or changes resources.
    Operator,
}

impl ResourceKind {
    /// All kinds, in the order of the variants.
    pub const ALL: [Self; 5] =
        [Self::Tier, Self::EnginePool, Self::Service, Self::Workspace, Self::Operator];

    /// Returns the name of the kind in JSON and URL paths.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Tier => "tier",
            Self::EnginePool => "engine_pool",
            Self::Service => "service",
            Self::Workspace => "workspace",
            Self::Operator => "operator",
        }
    }
}

impl FromStr for ResourceKind {
    type Err = UnknownKind;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let kind = Self::ALL.into_iter().find(|kind| kind.as_str() == text);
        kind.ok_or_else(|| UnknownKind(text.to_owned()))
    }
}

/// Error for a text that is not the name of a resource kind.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("there is no resource kind `{0}`")]
pub struct UnknownKind(pub String);

/// One declared resource.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Resource {
    /// Name of the resource, unique within its kind.
    pub name: String,
    /// Kind and declared content.
    #[serde(flatten)]
    pub spec: Spec,
}

impl Resource {
    /// Returns the kind and name of the resource.
    pub fn id(&self) -> ResourceId {
        ResourceId { kind: self.spec.kind(), name: self.name.clone() }
    }
}

/// Declared content of a resource, by kind.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", content = "spec", rename_all = "snake_case")]
pub enum Spec {
    /// A priority tier.
    Tier(TierSpec),
    /// A pool of upstreams, either engines or plain servers.
    EnginePool(EnginePoolSpec),
    /// A service to which callers send requests.
    Service(ServiceSpec),
    /// A workspace, the account of a customer.
    Workspace(WorkspaceSpec),
    /// An operator, who reads or changes resources.
    Operator(OperatorSpec),
}

impl Spec {
    /// Returns the kind of the resource.
    pub const fn kind(&self) -> ResourceKind {
        match self {
            Self::Tier(_) => ResourceKind::Tier,
            Self::EnginePool(_) => ResourceKind::EnginePool,
            Self::Service(_) => ResourceKind::Service,
            Self::Workspace(_) => ResourceKind::Workspace,
            Self::Operator(_) => ResourceKind::Operator,
        }
    }
}
