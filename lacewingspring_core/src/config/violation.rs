//! Violations of constraints, as operators see them.

use serde::{Serialize, Serializer};
use thiserror::Error;

use crate::resources::{ResourceId, ResourceKind};

/// Text in place of a resource if the transaction as a whole violates a constraint.
const WHOLE_TRANSACTION: &str = "transaction";

/// A violated constraint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Violation {
    /// Resource that violates the constraint; `None` if it is the transaction as a whole.
    #[serde(serialize_with = "optional_text")]
    pub resource: Option<ResourceId>,
    /// Path of the field in the resource, such as `upstreams[0].address`; empty for the whole
    /// resource.
    pub field: String,
    /// Constraint that is violated.
    #[serde(serialize_with = "text")]
    pub rule: Rule,
}

/// Constraints on transactions and declared state.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Rule {
    /// A transaction must hold at least one change.
    #[error("a transaction holds at least one change")]
    Empty,
    /// A transaction must not name a resource twice.
    #[error("a transaction names a resource at most once")]
    NamedTwice,
    /// Only an existing resource can be removed.
    #[error("there is no such resource")]
    Absent,
    /// A list may have at most this number of items.
    #[error("there may be at most {0} of these")]
    TooMany(usize),
    /// The JSON may have at most this number of bytes.
    #[error("it may be at most {0} bytes as JSON")]
    TooLarge(usize),
    /// A name has at least one and at most this number of bytes, starts with a letter or digit, and
    /// has only letters, digits, dots, hyphens and underscores, all ASCII.
    #[error("a name has 1 to {0} letters, digits, dots, hyphens or underscores")]
    Name(usize),
    /// The target of a reference must exist.
    #[error("{0} does not exist")]
    Reference(ResourceId),
    /// A resource to which this one refers must not be removed.
    #[error("{0} still refers to it")]
    Referenced(ResourceId),
    /// At least one resource of this kind must exist.
    #[error("at least one {} is needed", .0.as_str())]
    LastOfKind(ResourceKind),
    /// The value must be unique, but this resource uses it too.
    #[error("it is used by {0} too")]
    NotUnique(ResourceId),
    /// An integer must be in the range from the first to the second value, both included.
    #[error("it must be between {0} and {1}")]
    Range(u64, u64),
    /// A number must be positive and finite.
    #[error("it must be a positive number")]
    NotPositive,
    /// A credential must be a SHA-256 digest in hexadecimal.
    #[error("it must be a SHA-256 digest of 64 hexadecimal digits")]
    NotDigest,
    /// An address must be of the form `IP:port`, with a port other than zero.
    #[error("it must be an address of the form IP:port")]
    NotAddress,
    /// Only non-idempotent services may have act fields.
    #[error("only a non-idempotent service may have these")]
    ActFields,
    /// The protocol of a service must match the type of this pool.
    #[error("the type of {0} does not fit the protocol")]
    PoolType(ResourceId),
    /// Only pools of engines can be managed, since only engines accept orders.
    #[error("only a pool of type engine may be managed")]
    NotEngines,
    /// A managed pool must declare the model and version that its engines serve.
    #[error("a managed pool needs it")]
    NeededToManage,
}

fn text<S>(rule: &Rule, serializer: S) -> Result<S::Ok, S::Error>
where
    S: Serializer,
{
    serializer.collect_str(rule)
}

fn optional_text<S>(id: &Option<ResourceId>, serializer: S) -> Result<S::Ok, S::Error>
where
    S: Serializer,
{
    match id {
        Some(id) => serializer.collect_str(id),
        None => serializer.serialize_str(WHOLE_TRANSACTION),
    }
}
