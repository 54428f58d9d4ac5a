//! Upstreams that take no new work, as this instance knows itself.
//!
//! The gate may be cut off from the platform and grant a slot at an upstream that is leaving.

use std::collections::HashSet;

use arc_swap::ArcSwap;
use lacewingspring_core::{dispatch::UpstreamInfo, names::UpstreamName};

/// Names above which all but the present ones are forgotten.
const MOST_NAMES: usize = 10_000;

/// Upstreams that drain or are gone.
#[derive(Debug, Default)]
pub struct LeavingUpstreams(ArcSwap<HashSet<UpstreamName>>);

impl LeavingUpstreams {
    /// Takes note of a change of the known upstreams.
    pub fn update(&self, before: &[UpstreamInfo], after: &[UpstreamInfo]) {
        let mut leaving = HashSet::clone(&self.0.load());
        if leaving.len() > MOST_NAMES {
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

    /// Returns whether an upstream takes no new work.
    pub fn contains(&self, name: &UpstreamName) -> bool {
        self.0.load().contains(name)
    }
}
