//! Broken constraints, as operators are told of them.

use serde::{Serialize, Serializer};
use thiserror::Error;

use crate::resources::{ResourceId, ResourceKind};

/// What stands for the transaction as a whole in place of a resource.
const WHOLE: &str = "transaction";

/// A broken constraint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Violation {
    /// Resource that breaks it; none when it is the transaction as a whole.
    #[serde(serialize_with = "optional_text")]
    pub resource: Option<ResourceId>,
    /// Path of the field within the resource, such as `upstreams[0].address`.
    pub field: String,
    /// The constraint.
    #[serde(serialize_with = "text")]
    pub rule: Rule,
}

/// The constraints on declared state.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Rule {
    /// The transaction holds no change.
    #[error("a transaction holds at least one change")]
    Empty,
    /// The transaction names a resource twice.
    #[error("a transaction names a resource at most once")]
    NamedTwice,
    /// A removed resource does not exist.
    #[error("there is no such resource")]
    Absent,
    /// More items than allowed.
    #[error("there may be at most {0} of these")]
    TooMany(usize),
    /// Larger than allowed, in bytes.
    #[error("it may be at most {0} bytes as JSON")]
    TooLarge(usize),
    /// A name is empty, too long or has other characters.
    #[error("a name has 1 to {0} letters, digits, dots, hyphens or underscores")]
    Name(usize),
    /// A reference leads nowhere.
    #[error("{0} does not exist")]
    Reference(ResourceId),
    /// The resource is removed and still referred to.
    #[error("{0} still refers to it")]
    Referenced(ResourceId),
    /// The last resource of a kind that is needed.
    #[error("at least one {} is needed", .0.as_str())]
    LastOfKind(ResourceKind),
    /// A value that must be unique is used elsewhere too.
    #[error("it is used by {0} too")]
    NotUnique(ResourceId),
    /// An integer is out of range.
    #[error("it must be between {0} and {1}")]
    Range(u64, u64),
    /// A number isn't positive and finite.
    #[error("it must be a positive number")]
    NotPositive,
    /// Not a digest.
    #[error("it must be a SHA-256 digest of 64 hexadecimal digits")]
    NotDigest,
    /// Not an address.
    #[error("it must be an address of the form IP:port")]
    NotAddress,
    /// Only non-idempotent services have act fields.
    #[error("only a non-idempotent service may have these")]
    ActFields,
    /// The protocol of the service doesn't fit the type of the pool.
    #[error("the type of {0} does not fit the protocol")]
    PoolType(ResourceId),
    /// Only engines get orders.
    #[error("only a pool of type engine may be managed")]
    NotEngines,
    /// A managed pool says what its engines serve.
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
        None => serializer.serialize_str(WHOLE),
    }
}
