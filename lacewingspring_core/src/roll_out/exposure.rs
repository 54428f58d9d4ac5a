//! Bound on the requests that the target gets.

use std::time::Duration;

use super::order::{Block, Bounds};

/// Part of the allowance that one block may have, and that is kept back as the margin.
///
/// A holder of the record may have used one block more than a lagging record says. Its size was at
/// most this part of the allowance at that time, and the allowance only grows. So what a successor
/// grants, at most the rest of the allowance, and that block together stay within the bound. With
/// an eighth, the target of a service with 300 requests a second gets only 190 of 320 within 9 s,
/// as there is one block a second; with a quarter, the margin alone takes 80.
const BLOCK_FRACTION: f64 = 0.2;

/// Requests of the service and of the target since the order.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Requests {
    pub service: u64,
    pub target: u64,
}

/// Requests counted against the bound.
#[derive(Debug)]
pub(super) struct Exposure {
    bounds: Bounds,
    requests: Requests,
    block: Option<Block>,
}

impl Exposure {
    pub const fn new(bounds: Bounds, requests: Requests) -> Self {
        Self { bounds, requests, block: None }
    }

    pub const fn requests(&self) -> Requests {
        self.requests
    }

    /// Adds requests of another holder.
    pub fn add(&mut self, requests: Requests) {
        self.requests.service += requests.service;
        self.requests.target += requests.target;
    }

    /// Returns what the bound allows for the requests counted so far.
    fn allowance(&self) -> f64 {
        self.bounds.share * self.requests.service as f64 + self.bounds.tolerance
    }

    fn largest_block(&self) -> u64 {
        (BLOCK_FRACTION * self.allowance()) as u64
    }

    pub fn max_target_requests(&self) -> u64 {
        (self.allowance() as u64).saturating_sub(self.largest_block())
    }

    pub fn block_size(&self) -> u64 {
        let left = self.max_target_requests().saturating_sub(self.requests.target);
        left.min(self.largest_block())
    }

    pub fn open_block(&mut self, block: Block) {
        self.block = Some(block);
    }

    /// Returns the block if requests of it may be sent.
    pub fn open(&self, now: Duration) -> Option<Block> {
        self.block.filter(|block| block.size > 0 && now < block.expires_at)
    }

    pub fn record_grant(&mut self, is_target: bool, is_repeat: bool) {
        self.requests.service += u64::from(!is_repeat);
        if !is_target {
            return;
        }
        self.requests.target += 1;
        if let Some(block) = &mut self.block {
            block.size = block.size.saturating_sub(1);
        }
    }
}
