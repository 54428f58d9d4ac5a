//! What a choice reads of one upstream: a small copy that is kept up to date.
//!
//! A choice visits every upstream of the gate, so it reads these few fields instead of the whole
//! aggregate.

use std::time::Duration;

use super::upstream::Demand;

/// What an upstream can take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Availability {
    /// No work.
    Closed,
    /// This many requests.
    Slots(u32),
    /// A single probe from the given time on.
    Probe(Duration),
}

/// What a choice reads of one upstream.
#[derive(Clone, Copy, Debug)]
pub(super) struct View {
    /// What it can take.
    pub availability: Availability,
    /// KV tokens that are free.
    pub kv_free: u64,
    /// Expected seconds of the prefills in flight.
    pub backlog_seconds: f64,
    /// Expected seconds to prefill a token.
    pub prefill_seconds: f64,
    /// Expected seconds between tokens with one more request.
    pub decode_seconds: f64,
    /// Highest rank of the long prefills in flight; `u8::MAX` for none.
    pub highest_long_rank: u8,
    /// Whether it takes work beyond probes.
    pub is_healthy: bool,
    /// Whether nothing runs.
    pub is_idle: bool,
}

impl View {
    /// Returns whether the KV memory holds the request to its end beside what runs.
    pub fn fits(&self, kv_tokens: u64) -> bool {
        self.is_idle || kv_tokens <= self.kv_free
    }

    /// Returns whether a long prefill of this rank or a higher one is in flight.
    pub fn has_long_prefill(&self, rank: u8) -> bool {
        self.highest_long_rank <= rank
    }

    /// Returns the seconds until the last token, were the request granted now.
    pub fn seconds(&self, demand: &Demand, cached_tokens: u32) -> f64 {
        let prefill = f64::from(demand.prefill_tokens.saturating_sub(cached_tokens));
        let decode = f64::from(demand.decode_tokens);
        self.backlog_seconds + prefill * self.prefill_seconds + decode * self.decode_seconds
    }
}
