//! Headers by which an instance tells another one about a request that it passes on.
//!
//! Builds that do not know a header ignore it, as they do unknown fields of its value.

use http::{HeaderMap, HeaderName, HeaderValue, header::CONNECTION};
use log::warn;

use crate::{admission::Admitted, refusal::Failure};

/// Present in a request that another instance has passed on: the incarnation of that instance,
/// which only instances know, and the number of its last attempt to get a slot.
const PASSED_ON: HeaderName = HeaderName::from_static("lacewingspring-passed-on");

/// How the instance that passed the request on has admitted it, as JSON.
const ADMISSION: HeaderName = HeaderName::from_static("lacewingspring-admission");

/// `Connection` of a request that is passed on. It names the admission, so that no instance
/// forwards it to an upstream, even if its build does not know it.
const CONNECTION_VALUE: HeaderValue = HeaderValue::from_static("close, lacewingspring-admission");

/// Present in the refusal of such a request by an instance that can't take it, where others may.
const NO_PATH: HeaderName = HeaderName::from_static("lacewingspring-no-path");

/// Room for the headers of this module in the head of a request, in bytes, beyond the limit of
/// callers.
pub const MAX_HEADER_BYTES: usize = 2 * 1024;

/// Mark of a request that was passed on.
#[derive(Clone, Debug, PartialEq)]
pub struct Mark {
    /// Number of the last attempt to get a slot at the instance that passed it on; `None` if no
    /// instance of the fleet has set the mark.
    pub last_attempt: Option<u64>,
    /// How it was admitted there; `None` if the mark does not tell, as in earlier builds.
    pub admitted: Option<Admitted>,
}

impl Mark {
    /// Removes the mark of a request and returns it. `is_incarnation` tells whether a number is the
    /// incarnation of an instance of the fleet.
    pub fn take<F>(headers: &mut HeaderMap, is_incarnation: F) -> Option<Self>
    where
        F: FnOnce(u64) -> bool,
    {
        let admission = headers.remove(ADMISSION);
        let value = headers.remove(PASSED_ON)?;
        let sender = parse_sender(&value).filter(|(incarnation, _)| is_incarnation(*incarnation));
        let last_attempt = sender.map(|(_, last_attempt)| last_attempt);
        Some(Self { last_attempt, admitted: admission.as_ref().and_then(parse_admission) })
    }

    /// Returns whether an instance of the fleet has set the mark.
    pub fn is_from_fleet(&self) -> bool {
        self.last_attempt.is_some()
    }
}

/// Sets the mark of a request that the instance with this incarnation passes on.
pub fn set(headers: &mut HeaderMap, incarnation: u64, last_attempt: u64, admitted: &Admitted) {
    let sender = format!("{incarnation} {last_attempt}");
    let sender = HeaderValue::try_from(sender).unwrap_or(HeaderValue::from_static("unknown"));
    headers.insert(PASSED_ON, sender);
    let json = serde_json::to_vec(admitted).map_err(|e| e.to_string());
    match json.and_then(|json| HeaderValue::from_bytes(&json).map_err(|e| e.to_string())) {
        Ok(admission) => {
            headers.insert(ADMISSION, admission);
            headers.insert(CONNECTION, CONNECTION_VALUE);
        }
        Err(e) => {
            let route = &*admitted.route.name;
            warn!(route, error:% = e; "The other instance is not told how a request was admitted.");
        }
    }
}

/// Marks the refusal of a request that was passed on, if another instance may take it.
pub fn mark_refusal(headers: &mut HeaderMap, failure: Failure) {
    let others_may = matches!(
        failure,
        Failure::Unreachable | Failure::NotConfigured | Failure::NotRegistered | Failure::Outdated
    );
    if others_may {
        headers.insert(NO_PATH, HeaderValue::from_static("1"));
    }
}

/// Returns whether another instance may take a request that one refused with these headers.
pub fn may_go_to_others(headers: &HeaderMap) -> bool {
    headers.contains_key(NO_PATH)
}

fn parse_sender(value: &HeaderValue) -> Option<(u64, u64)> {
    let (incarnation, last_attempt) = value.to_str().ok()?.split_once(' ')?;
    Some((incarnation.parse().ok()?, last_attempt.parse().ok()?))
}

fn parse_admission(value: &HeaderValue) -> Option<Admitted> {
    match serde_json::from_slice(value.as_bytes()) {
        Ok(admitted) => Some(admitted),
        Err(e) => {
            warn!(error:% = e; "The admission of a request that was passed on can't be read.");
            None
        }
    }
}
