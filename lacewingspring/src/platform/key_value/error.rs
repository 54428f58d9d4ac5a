//! Errors of the key-value client.

use thiserror::Error;

use super::model::Revision;

/// Why a call to the key-value service gave no result.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum KeyValueError {
    /// Nothing was sent, or the service refused for certain; the call had no effect.
    #[error("the key-value service is unavailable: {0}")]
    Unavailable(String),
    /// The request went out and no answer came; it may have taken effect.
    #[error("the outcome of the call is unknown: {0}")]
    Unknown(String),
    /// The answer, or the request in the service's view, is not valid; a write had no effect only
    /// if the service said so, hence a write's caller reads back.
    #[error("the answer could not be read: {0}")]
    Malformed(String),
    /// The revision asked for is gone; the oldest that remains is given.
    #[error("the revision is compacted; the oldest is {0}")]
    Compacted(Revision),
}
