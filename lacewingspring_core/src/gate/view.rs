//! Copy of the upstream fields that the selection of an upstream reads.
//!
//! A selection visits every upstream of the gate, so it reads these few fields instead of the whole
//! upstream.

use std::time::Duration;

use super::upstream::Demand;

/// Work that an upstream can take now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Availability {
    /// No work.
    Closed,
    /// This many requests.
    Slots(u32),
    /// A single probe from the given time on.
    Probe(Duration),
}

/// Fields of one upstream that the selection reads.
#[derive(Clone, Copy, Debug)]
pub(super) struct View {
    /// Work that the upstream can take now.
    pub availability: Availability,
    /// Number of free KV tokens.
    pub kv_free: u64,
    /// Expected seconds of the prefills in flight.
    pub backlog_seconds: f64,
    /// Expected prefill seconds per token.
    pub prefill_seconds: f64,
    /// Expected seconds between tokens with one more request in the batch.
    pub decode_seconds: f64,
    /// Rank of the highest tier with a long prefill in flight; `u8::MAX` if there is none.
    pub highest_long_rank: u8,
    /// Whether the upstream takes regular work, not only probes.
    pub is_healthy: bool,
    /// Whether nothing runs on the upstream.
    pub is_idle: bool,
}

impl View {
    /// Returns whether the KV memory holds the request to its end beside the current runs. An idle
    /// upstream takes any request.
    pub fn fits(&self, kv_tokens: u64) -> bool {
        self.is_idle || kv_tokens <= self.kv_free
    }

    /// Returns whether a long prefill of `rank` or a higher tier is in flight.
    pub fn has_long_prefill(&self, rank: u8) -> bool {
        self.highest_long_rank <= rank
    }

    /// Returns the expected seconds until the last token if the request is granted now.
    pub fn seconds(&self, demand: &Demand, cached_tokens: u32) -> f64 {
        let prefill = f64::from(demand.prefill_tokens.saturating_sub(cached_tokens));
        let decode = f64::from(demand.decode_tokens);
        self.backlog_seconds + prefill * self.prefill_seconds + decode * self.decode_seconds
    }
}
