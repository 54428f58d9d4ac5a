//! Parser of the `Retry-After` header (RFC 9110, section 10.2.3).

use std::time::{Duration, UNIX_EPOCH};

use thiserror::Error;

/// Longest time that is taken from the header; a longer one is taken as this.
pub const MAX_RETRY_AFTER: Duration = Duration::from_hours(1);

/// The value is neither a number of seconds nor a date.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("expected seconds or an HTTP date")]
pub struct InvalidRetryAfter;

/// Parses a number of seconds, which may have a fraction, or a date, of which the time from `wall`
/// (since the Unix epoch) is returned; a date in the past is zero.
///
/// # Errors
///
/// Fails if the value is neither.
pub fn parse_retry_after(wall: Duration, value: &str) -> Result<Duration, InvalidRetryAfter> {
    let value = value.trim();
    let after = match parse_seconds(value) {
        Some(after) => after,
        None => {
            let at = httpdate::parse_http_date(value).map_err(|_| InvalidRetryAfter)?;
            let at = at.duration_since(UNIX_EPOCH).unwrap_or_default();
            at.saturating_sub(wall)
        }
    };
    Ok(after.min(MAX_RETRY_AFTER))
}

/// Parses digits with at most one point; a number too large for a duration is its maximum.
fn parse_seconds(value: &str) -> Option<Duration> {
    let has_digit = value.bytes().any(|byte| byte.is_ascii_digit());
    if !has_digit || !value.bytes().all(|byte| byte.is_ascii_digit() || byte == b'.') {
        return None;
    }
    let secs: f64 = value.parse().ok()?;
    Some(Duration::try_from_secs_f64(secs).unwrap_or(Duration::MAX))
}
