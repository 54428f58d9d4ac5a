//! A request at an upstream: its slot and its story end together.

use std::{sync::Arc, time::Duration};

use lacewingspring_core::dispatch::{End, Grant};

use crate::{gate::link::Slot, track::Track};

/// A request that was sent to an upstream and holds its slot there.
#[derive(Debug)]
pub struct Sent {
    slot: Slot,
    track: Arc<Track>,
    at: Duration,
}

impl Sent {
    /// Notes a request that is sent now.
    pub fn new(now: Duration, slot: Slot, track: Arc<Track>) -> Self {
        Self { slot, track, at: now }
    }

    /// Returns where it is sent.
    pub fn grant(&self) -> &Grant {
        self.slot.grant()
    }

    /// Returns the name of the upstream.
    pub fn upstream(&self) -> &str {
        self.slot.grant().upstream.as_str()
    }

    /// Notes the first event of the answer.
    pub fn first_output(&self, now: Duration) {
        self.track.first_output(now);
        self.slot.first_output(now.saturating_sub(self.at));
    }

    /// Ends it with a whole answer.
    pub fn finish(self, now: Duration, status: u16, output_tokens: u32, decode: Duration) {
        let took = now.saturating_sub(self.at);
        self.track.answered(now, status, self.upstream());
        self.slot.end(End::Finished { took, output_tokens, decode });
    }

    /// Ends it in the middle of its answer.
    pub fn break_off(self, now: Duration, end: End, reason: &str, events: u32) {
        self.track.broke_off(now, self.upstream(), reason, events);
        self.slot.end(end);
    }

    /// Ends it without an answer for the caller.
    pub fn fail(self, now: Duration, end: End, reason: &str) {
        let may_have_run = !matches!(end, End::Declined | End::Misdirected | End::Unreachable);
        self.track.send_failed(now, self.upstream(), reason, may_have_run);
        self.slot.end(end);
    }

    /// Ends it when its story is told elsewhere.
    pub fn end(self, end: End) {
        self.slot.end(end);
    }
}
