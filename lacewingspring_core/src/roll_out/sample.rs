//! What is known of a response, by which its version is judged.

use std::{sync::Arc, time::Duration};

use crate::names::UpstreamName;

/// Work of a request and the times that its complete response took.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseTimes {
    /// A call to a plain service.
    Plain {
        /// Time from the send to the end.
        took: Duration,
    },
    /// A generation by an inference engine.
    Generation {
        /// Prompt tokens that the upstream had to compute, without those expected in its cache.
        prompt_tokens: u32,
        /// Time from the send to the first event.
        first_event: Duration,
        /// Output tokens received after the first event.
        output_tokens: u32,
        /// Time from the first event to the end.
        decode: Duration,
    },
}

/// Work of a request and the times of its incomplete response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PartialTimes {
    /// A call to a plain service.
    Plain {
        /// Time from the send to the deadline.
        waited: Duration,
    },
    /// A generation by an inference engine, without an event.
    NoEvent {
        /// Prompt tokens that the upstream had to compute.
        prompt_tokens: u32,
        /// Time from the send to the deadline.
        waited: Duration,
    },
    /// A generation that has begun.
    Begun {
        /// Output tokens that were expected in all.
        expected_tokens: u32,
        /// Time from the first event to the deadline.
        decode: Duration,
    },
}

/// How a request ended at its upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SampleOutcome {
    /// The response was complete.
    Complete(ResponseTimes),
    /// The upstream answered with a 5xx, or its response was truncated or unsigned.
    Failed,
    /// The connection broke after the request was sent.
    Broken,
    /// The response was not complete by the request's deadline: the upstream answered with a 504
    /// then, or the request was ended.
    TimedOut(PartialTimes),
    /// The caller left before any output.
    NoOutput {
        /// Prompt tokens that the upstream had to compute; `None` for a call to a plain service.
        prompt_tokens: Option<u32>,
        /// Time from the send until the request was abandoned.
        waited: Duration,
    },
}

/// A response of an upstream of the service. Requests that were declined, or whose upstream could
/// not be reached, and streams that the caller left after their first event are no samples.
#[derive(Clone, Debug, PartialEq)]
pub struct Sample {
    /// Whether the upstream has the target version.
    pub is_target: bool,
    /// Upstream that got the request.
    pub upstream: UpstreamName,
    /// Route of the request.
    pub route: Arc<str>,
    /// Time at which the request was sent, or its slot was granted.
    pub sent_at: Duration,
    /// How the request ended.
    pub outcome: SampleOutcome,
    /// Fraction of the upstream's slots in use when the request was sent, itself included, from 0
    /// to 1.
    pub load: f64,
    /// Whether the upstream was cold when the request was sent, so that its times are not judged.
    pub is_cold: bool,
}
