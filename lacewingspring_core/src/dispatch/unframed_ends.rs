//! Answers that ended with their connection, which a crash of the upstream ends as well.

use std::time::Duration;

use super::{crash_events::CRASH_DURATION, work::Ticket};
use crate::names::UpstreamName;

/// An answer that ended with its connection.
#[derive(Debug)]
pub(super) struct UnframedEnd {
    pub ticket: Ticket,
    /// Prompt parts of its request that others may share.
    pub parts: Vec<u64>,
    upstream: UpstreamName,
    at: Duration,
}

/// The answers of the last [`CRASH_DURATION`] that ended with their connections, oldest first.
#[derive(Debug, Default)]
pub(super) struct UnframedEnds(Vec<UnframedEnd>);

impl UnframedEnds {
    /// Adds an answer that ended at `now`.
    pub fn add(&mut self, now: Duration, ticket: Ticket, upstream: &UpstreamName, parts: &[u64]) {
        let (parts, upstream) = (parts.to_vec(), upstream.clone());
        self.0.push(UnframedEnd { ticket, parts, upstream, at: now });
    }

    /// Removes and returns the answers that are complete, as their upstreams have not crashed.
    pub fn take_complete(&mut self, now: Duration) -> Vec<UnframedEnd> {
        let is_complete = |end: &mut UnframedEnd| now.saturating_sub(end.at) >= CRASH_DURATION;
        self.0.extract_if(.., is_complete).collect()
    }

    /// Removes and returns the answers that a crash of their upstream may have cut off.
    pub fn take_crashed(&mut self, upstream: &UpstreamName) -> Vec<UnframedEnd> {
        self.0.extract_if(.., |end| end.upstream == *upstream).collect()
    }
}
