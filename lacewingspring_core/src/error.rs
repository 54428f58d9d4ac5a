//! The closed list of error kinds and the table from kind to answer.

use serde::{Deserialize, Serialize};

/// Whether the request that met the error was run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunState {
    /// Nothing was dispatched and nothing will be.
    NotRun,
    /// The work ran to its end.
    Ran,
    /// The work was dispatched and its end is unknown.
    MayHaveRun,
}

/// How an error is answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Answer {
    /// HTTP status code.
    pub status: u16,
    /// Last part of the problem type URI (RFC 9457).
    pub problem: &'static str,
    /// Short text for people.
    pub title: &'static str,
    /// What became of the work.
    pub run: RunState,
    /// Whether the answer says when to come back.
    pub retry: bool,
}

macro_rules! error_kinds {
    ($($(#[$doc:meta])* $kind:ident => $status:literal, $problem:literal, $title:literal, $run:ident,
        $retry:literal;)*) => {
        /// Every kind of error that a caller, operator or peer can be answered with.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
        #[serde(rename_all = "snake_case")]
        pub enum ErrorKind {
            $($(#[$doc])* $kind,)*
        }

        impl ErrorKind {
            /// All kinds, in the order of the table.
            pub const ALL: &[Self] = &[$(Self::$kind,)*];

            /// Returns the row of the answer table for this kind.
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
    /// The request is not valid HTTP or JSON, or lacks a field.
    Malformed => 400, "malformed", "The request could not be read.", NotRun, false;
    /// The service is non-idempotent and the request has no key.
    KeyMissing => 400, "key-missing", "This service needs an Idempotency-Key.", NotRun, false;
    /// The credential is absent or unknown.
    Unauthenticated => 401, "unauthenticated", "The credential was not accepted.", NotRun, false;
    /// The credential may not do this.
    Forbidden => 403, "forbidden", "The credential does not allow this.", NotRun, false;
    /// No such service, resource or path.
    NotFound => 404, "not-found", "There is nothing by this name.", NotRun, false;
    /// The method does not fit the path.
    MethodNotAllowed => 405, "method-not-allowed", "The path has no such method.", NotRun, false;
    /// The caller sent the request too slowly.
    RequestTimeout => 408, "request-timeout", "The request took too long to arrive.", NotRun, false;
    /// The key was used before with another body.
    KeyConflict => 409, "key-conflict", "The key belongs to another request.", NotRun, false;
    /// A change lost a race against another change.
    ChangeConflict => 409, "change-conflict", "Another change came first.", NotRun, true;
    /// The body is larger than the limit.
    TooLarge => 413, "too-large", "The request is too large.", NotRun, false;
    /// A declared constraint forbids the change.
    Invalid => 422, "invalid", "The change breaks a constraint.", NotRun, false;
    /// The request crashed upstreams before and is quarantined.
    Quarantined => 422, "quarantined", "This request has crashed upstreams.", NotRun, false;
    /// The workspace is at its limit.
    LimitReached => 429, "limit-reached", "The workspace is at its limit.", NotRun, true;
    /// No room for the request's tier.
    Overloaded => 503, "overloaded", "There is no room for this request now.", NotRun, true;
    /// The instance is leaving; another address takes the request.
    Leaving => 503, "leaving", "This instance is leaving.", NotRun, true;
    /// The key-value service is out and the request cannot be claimed.
    StoreUnavailable => 503, "store-unavailable", "The request cannot be claimed now.", NotRun, true;
    /// The deadline passed before dispatch.
    DeadlineExceeded => 504, "deadline-exceeded", "The deadline passed while waiting.", NotRun, true;
    /// No upstream of the service can be reached.
    NoUpstream => 503, "no-upstream", "No upstream can take this request.", NotRun, true;
    /// The upstream's answer was cut, truncated or mislabelled.
    AnswerLost => 502, "answer-lost", "The answer was lost on the way.", MayHaveRun, false;
    /// The claim exists without an outcome and its dispatcher is gone.
    OutcomeUnknown => 409, "outcome-unknown", "The request may have run.", MayHaveRun, false;
    /// The request ran and its answer is no longer kept.
    AnswerGone => 410, "answer-gone", "The request ran; its answer is no longer kept.", Ran, false;
    /// A status query settled that the key will never run.
    Voided => 409, "voided", "The key was settled as not run.", NotRun, false;
    /// A repeat can't be taken now, and its key may have run before.
    Undecided => 503, "undecided", "It can't be taken now; it may have run before.", MayHaveRun, true;
    /// A fault of the system itself.
    Internal => 500, "internal", "The system failed.", MayHaveRun, false;
}
