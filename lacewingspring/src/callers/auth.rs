//! Request headers: credential, idempotency key, time-out and retry count.

use std::time::Duration;

use http::{HeaderMap, header};
use lacewingspring_core::{
    catalog::Catalog,
    error::ErrorKind,
    names::{RequestKey, WorkspaceName},
};

use crate::entry::Refusal;

/// Header with the idempotency key of a request.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// Header with the time within which the caller needs the whole answer, in milliseconds. A request
/// that cannot meet it is refused while it waits; a run that has started is not cancelled.
pub const REQUEST_TIMEOUT_MS: &str = "request-timeout-ms";

/// Header with the number of earlier attempts at the request.
pub const RETRY_ATTEMPT: &str = "retry-attempt";

/// Maximum length of an idempotency key, in bytes.
const MAX_KEY_LEN: usize = 255;

/// Returns the bearer token of a request.
pub fn token(headers: &HeaderMap) -> Option<&str> {
    headers.get(header::AUTHORIZATION)?.to_str().ok()?.strip_prefix("Bearer ")
}

/// Returns the workspace of the credential.
///
/// # Errors
///
/// Returns `Unauthenticated` if the credential is absent or unknown.
pub fn workspace(catalog: &Catalog, headers: &HeaderMap) -> Result<WorkspaceName, Refusal> {
    let workspace = token(headers).and_then(|token| catalog.authenticate(token));
    workspace.cloned().ok_or(Refusal::permanent(ErrorKind::Unauthenticated))
}

/// Returns the idempotency key of the caller. `None` if there is no such header.
///
/// # Errors
///
/// Returns `Malformed` if the key is empty, too long or not printable ASCII.
pub fn key(headers: &HeaderMap) -> Result<Option<RequestKey>, Refusal> {
    let Some(value) = headers.get(IDEMPOTENCY_KEY) else { return Ok(None) };
    let malformed = Refusal::permanent(ErrorKind::Malformed);
    let text = value.to_str().map_err(|_| malformed)?;
    if text.is_empty() || text.len() > MAX_KEY_LEN || !text.chars().all(|c| c.is_ascii_graphic()) {
        return Err(malformed);
    }
    Ok(Some(RequestKey::from(text)))
}

/// Mints a random key for a request without one.
pub fn mint_key() -> RequestKey {
    RequestKey::from(format!("{:032x}", rand::random::<u128>()))
}

/// Returns the time within which the caller needs the whole answer.
///
/// # Errors
///
/// Returns `Malformed` if the value is not a whole number of milliseconds above zero.
pub fn timeout(headers: &HeaderMap) -> Result<Option<Duration>, Refusal> {
    let Some(value) = headers.get(REQUEST_TIMEOUT_MS) else { return Ok(None) };
    let ms = value.to_str().ok().and_then(|text| text.parse::<u32>().ok()).filter(|ms| *ms > 0);
    let ms = ms.ok_or(Refusal::permanent(ErrorKind::Malformed))?;
    Ok(Some(Duration::from_millis(u64::from(ms))))
}

/// Returns whether the caller marks the request as a retry.
///
/// # Errors
///
/// Returns `Malformed` if the value is not a whole number.
pub fn is_retry(headers: &HeaderMap) -> Result<bool, Refusal> {
    let Some(value) = headers.get(RETRY_ATTEMPT) else { return Ok(false) };
    let attempt = value.to_str().ok().and_then(|text| text.parse::<u32>().ok());
    Ok(attempt.ok_or(Refusal::permanent(ErrorKind::Malformed))? > 0)
}
