//! Errors of the key-value client.

use thiserror::Error;

use super::model::Revision;

/// Why a call to the key-value service failed, and whether it may have taken effect.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum KeyValueError {
    /// Nothing was sent, or the service refused before processing; the call had no effect.
    #[error("the key-value service is unavailable: {0}")]
    Unavailable(String),
    /// The request was sent but no conclusive response arrived; it may have taken effect.
    #[error("the outcome of the call is unknown: {0}")]
    Unknown(String),
    /// The service rejected the request as invalid; the call had no effect.
    #[error("the service refused the request: {0}")]
    Rejected(String),
    /// The response could not be parsed; a write may have taken effect.
    #[error("the answer could not be read: {0}")]
    Malformed(String),
    /// The requested revision is compacted; holds the oldest revision that remains.
    #[error("the requested revision is compacted; the oldest is {0}")]
    Compacted(Revision),
}
