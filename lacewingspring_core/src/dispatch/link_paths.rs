//! Instances whose connections to upstreams fail, by their links to the gate.

use std::collections::{BTreeSet, HashMap};

use crate::names::UpstreamName;

/// Number of upstreams to which connections of an instance failed in a row from which on the fault
/// is taken for that of the instance.
const MAX_FAILED: usize = 2;

/// Upstreams to which connections of each instance failed since one was made.
#[derive(Debug, Default)]
pub(super) struct LinkPaths(HashMap<u64, BTreeSet<UpstreamName>>);

impl LinkPaths {
    /// Records that an instance could not connect to an upstream; returns whether that says
    /// something of the upstream.
    pub fn record_failure(&mut self, link: u64, upstream: &UpstreamName) -> bool {
        let failed = self.0.entry(link).or_default();
        failed.insert(upstream.clone());
        failed.len() <= MAX_FAILED
    }

    /// Records that an upstream responded to a request of an instance.
    pub fn record_response(&mut self, link: u64) {
        self.remove_link(link);
    }

    /// Forgets an instance whose connection to the gate is lost.
    pub fn remove_link(&mut self, link: u64) {
        self.0.remove(&link);
    }
}
