//! Error kinds and the HTTP answer for each of them.

use serde::{Deserialize, Serialize};

/// Whether the upstream ran the request that failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunState {
    /// The request was not dispatched and never will be.
    NotRun,
    /// The request ran to completion.
    Ran,
    /// The request was or may have been dispatched, and whether it completed is unknown.
    MayHaveRun,
}

/// HTTP answer for an error kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Answer {
    /// HTTP status code.
    pub status: u16,
    /// Last part of the problem type URI (RFC 9457).
    pub problem: &'static str,
    /// Title of the problem details, a short text for people.
    pub title: &'static str,
    /// Whether the request ran.
    pub run: RunState,
    /// Whether the answer carries a time after which to retry.
    pub retry: bool,
}

macro_rules! error_kinds {
    ($($(#[$doc:meta])* $kind:ident => $status:literal, $problem:literal, $title:literal, $run:ident,
        $retry:literal;)*) => {
        /// Kinds of errors returned to callers, operators and peers.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
        #[serde(rename_all = "snake_case")]
        pub enum ErrorKind {
            $($(#[$doc])* $kind,)*
        }

        impl ErrorKind {
            /// All kinds, in the order of their declaration.
            pub const ALL: &[Self] = &[$(Self::$kind,)*];

            /// Returns the HTTP answer for this kind.
            pub const fn answer(self) -> Answer {
                match self {
                    $(Self::$kind => Answer {
                        status: $status,
                        problem: $problem,
                        title: $title,
                        run: RunState::$run,
                        retry: $retry,
                    },)*
                }
            }
        }
    };
}

error_kinds! {
    /// The request is not valid HTTP or JSON, or lacks a required field.
    Malformed => 400, "malformed", "The request could not be read.", NotRun, false;
    /// The service is non-idempotent and the request has no key.
    KeyMissing => 400, "key-missing", "This service needs an Idempotency-Key.", NotRun, false;
    /// The credential is missing or unknown.
    Unauthenticated => 401, "unauthenticated", "The credential was not accepted.", NotRun, false;
    /// The credential does not permit the operation.
    Forbidden => 403, "forbidden", "The credential does not allow this.", NotRun, false;
    /// The service, resource or path does not exist.
    NotFound => 404, "not-found", "There is nothing by this name.", NotRun, false;
    /// The path does not support the method.
    MethodNotAllowed => 405, "method-not-allowed", "The path has no such method.", NotRun, false;
    /// The request did not arrive completely within the time limit.
    RequestTimeout => 408, "request-timeout", "The request took too long to arrive.", NotRun, false;
    /// The key was used before for another service or body.
    KeyConflict => 409, "key-conflict", "The key belongs to another request.", NotRun, false;
    /// A concurrent change was committed first.
    ChangeConflict => 409, "change-conflict", "Another change came first.", NotRun, true;
    /// The body is larger than the limit.
    TooLarge => 413, "too-large", "The request is too large.", NotRun, false;
    /// The change violates a declared constraint.
    Invalid => 422, "invalid", "The change breaks a constraint.", NotRun, false;
    /// The request is quarantined because it crashed upstreams.
    Quarantined => 422, "quarantined", "This request has crashed upstreams.", NotRun, false;
    /// The workspace has reached one of its limits.
    LimitReached => 429, "limit-reached", "The workspace is at its limit.", NotRun, true;
    /// There is no capacity for the request's tier.
    Overloaded => 503, "overloaded", "There is no room for this request now.", NotRun, true;
    /// The instance is leaving and accepts no new request; another address does.
    Leaving => 503, "leaving", "This instance is leaving.", NotRun, true;
    /// The key-value service is unavailable, so the request can't be claimed.
    StoreUnavailable => 503, "store-unavailable", "The request cannot be claimed now.", NotRun, true;
    /// The deadline passed before the request was dispatched.
    DeadlineExceeded => 504, "deadline-exceeded", "The deadline passed while waiting.", NotRun, true;
    /// No upstream of the service is reachable.
    NoUpstream => 503, "no-upstream", "No upstream can take this request.", NotRun, true;
    /// The upstream's answer was cut off, truncated or mislabelled.
    AnswerLost => 502, "answer-lost", "The answer was lost on the way.", MayHaveRun, false;
    /// The claim has no stored outcome and the instance that dispatched the request is gone.
    OutcomeUnknown => 409, "outcome-unknown", "The request may have run.", MayHaveRun, false;
    /// The request ran but its answer is no longer stored.
    AnswerGone => 410, "answer-gone", "The request ran; its answer is no longer kept.", Ran, false;
    /// A status query voided the key, which will never run.
    Voided => 409, "voided", "The key was settled as not run.", NotRun, false;
    /// A repeat can't be accepted now, and an earlier request with its key may have run.
    Undecided => 503, "undecided", "It can't be taken now; it may have run before.", MayHaveRun, true;
    /// An internal error.
    Internal => 500, "internal", "The system failed.", MayHaveRun, false;
}
