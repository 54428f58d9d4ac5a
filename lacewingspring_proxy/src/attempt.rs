//! One attempt at an upstream: releases the slot and records the outcome together.

use std::{sync::Arc, time::Duration};

use lacewingspring_core::dispatch::{End, Grant, UpstreamLoad};

use crate::{
    framing::{BodyProgress, Framing},
    gate::slot::Slot,
    retry_after::InvalidRetryAfter,
    track::RequestTrace,
};

/// An attempt at an upstream, which holds a slot there until it ends.
#[derive(Debug)]
pub struct Attempt {
    slot: Slot,
    trace: Arc<RequestTrace>,
    started_at: Duration,
}

impl Attempt {
    /// Starts an attempt at `now`.
    pub fn new(now: Duration, slot: Slot, trace: Arc<RequestTrace>) -> Self {
        Self { slot, trace, started_at: now }
    }

    /// Returns the grant of the slot.
    pub fn grant(&self) -> &Grant {
        self.slot.grant()
    }

    /// Returns the name of the upstream that the slot is at.
    pub fn upstream(&self) -> &str {
        self.slot.grant().upstream.as_str()
    }

    /// Records the first output of the response.
    pub fn first_output(&mut self, now: Duration) {
        self.trace.first_output(now);
        self.slot.first_output(now, now.saturating_sub(self.started_at));
    }

    /// Records the load that the upstream reported in a response received at `now`.
    pub fn upstream_load(&mut self, now: Duration, load: UpstreamLoad) {
        self.slot.record_load(now, load);
    }

    /// Records that the upstream said that it leaves.
    pub fn upstream_leaves(&self) {
        self.trace.upstream_leaves(self.upstream());
    }

    /// Records that the upstream asked for a pause.
    pub fn upstream_pauses(&self, pause: Duration) {
        self.trace.upstream_pauses(self.upstream(), pause);
    }

    /// Records that the upstream named the requests a second that it takes.
    pub fn upstream_limits(&self, rate: f64) {
        self.trace.upstream_limits(self.upstream(), rate);
        self.slot.rate_limit(Some(rate));
    }

    /// Records that the upstream crashes if it declines more than so many requests in a second.
    pub fn upstream_is_brittle(&self, max_declined: u32) {
        self.trace.upstream_is_brittle(self.upstream(), max_declined);
        self.slot.brittle();
    }

    /// Records that the upstream named no limit.
    pub fn upstream_has_no_limit(&self) {
        if self.grant().is_limited {
            self.slot.rate_limit(None);
        }
    }

    /// Records a limit of the upstream that can't be parsed.
    pub fn invalid_rate_limit(&self, value: &str) {
        self.trace.invalid_rate_limit(self.upstream(), value);
    }

    /// Records a `Retry-After` of the upstream that can't be parsed.
    pub fn invalid_retry_after(&self, value: &str, e: &InvalidRetryAfter) {
        self.trace.invalid_retry_after(self.upstream(), value, e);
    }

    /// Ends the attempt after a complete response; `output_tokens` are those after the first event,
    /// and `decode` is the time that they took.
    pub fn finish(
        mut self,
        now: Duration,
        status: u16,
        progress: &BodyProgress,
        output_tokens: u32,
        decode: Duration,
    ) {
        let took = now.saturating_sub(self.started_at);
        self.trace.answered(now, status, self.upstream(), progress);
        // A 5xx is an error of the upstream, although its response is passed on.
        if status >= 500 {
            self.slot.record_error_status(status);
        }
        let is_framed = progress.framing != Framing::Close;
        self.slot.end(End::Finished { took, output_tokens, decode, is_framed });
    }

    /// Ends the attempt after a part of the response was passed on.
    pub fn cut_short(self, now: Duration, end: End, reason: &str, progress: &BodyProgress) {
        self.trace.response_cut_short(now, self.upstream(), reason, progress);
        self.slot.end(end);
    }

    /// Ends the attempt without a response that was passed on.
    pub fn fail(self, now: Duration, end: End, reason: &str) {
        let may_have_run = !matches!(end, End::Declined | End::Misdirected | End::Unreachable);
        self.trace.attempt_failed(now, self.upstream(), reason, may_have_run);
        self.slot.end(end);
    }

    /// Releases the slot without a record of the outcome; the caller has recorded it already.
    pub fn end(self, end: End) {
        self.slot.end(end);
    }
}
