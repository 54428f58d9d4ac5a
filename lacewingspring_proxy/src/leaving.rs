//! Upstreams that accept no new requests, as known to this instance.
//!
//! A gate that is cut off from the platform may grant a slot at an upstream that is leaving.

use std::collections::HashSet;

use arc_swap::ArcSwap;
use lacewingspring_core::{dispatch::UpstreamInfo, names::UpstreamName};

/// Number of names above which those of earlier upstreams are dropped at the next update.
const MAX_NAMES: usize = 10_000;

/// Names of upstreams that are draining or no longer registered.
#[derive(Debug, Default)]
pub struct LeavingUpstreams(ArcSwap<HashSet<UpstreamName>>);

impl LeavingUpstreams {
    /// Updates the names after a change of the registered upstreams.
    pub fn update(&self, before: &[UpstreamInfo], after: &[UpstreamInfo]) {
        let mut leaving = HashSet::clone(&self.0.load());
        if leaving.len() > MAX_NAMES {
            leaving.clear();
        }
        leaving.extend(before.iter().map(|upstream| upstream.name.clone()));
        for upstream in after {
            if upstream.draining {
                leaving.insert(upstream.name.clone());
            } else {
                leaving.remove(&upstream.name);
            }
        }
        self.0.store(leaving.into());
    }

    /// Returns whether an upstream accepts no new requests.
    pub fn contains(&self, name: &UpstreamName) -> bool {
        self.0.load().contains(name)
    }
}
