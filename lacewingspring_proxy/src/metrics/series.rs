//! Bound on the number of series by workspace, so that the metrics stay bounded in size.

use std::{
    collections::HashSet,
    hash::Hash,
    sync::{Mutex, PoisonError},
};

/// Number of series of a metric from which on those of new workspaces are counted together.
const MAX_SERIES: usize = 256;

/// Workspace label of the series beyond [`MAX_SERIES`].
pub(super) const OTHER_WORKSPACES: &str = "other";

/// Labels that have series of their own: the first [`MAX_SERIES`].
#[derive(Debug)]
pub(super) struct OwnSeries<L> {
    labels: Mutex<HashSet<L>>,
}

impl<L> Default for OwnSeries<L> {
    fn default() -> Self {
        Self { labels: Mutex::default() }
    }
}

impl<L> OwnSeries<L>
where
    L: Clone + Eq + Hash,
{
    /// Returns whether labels have a series of their own, and adds them if there is room.
    pub(super) fn admit(&self, labels: &L) -> bool {
        let mut known = self.labels.lock().unwrap_or_else(PoisonError::into_inner);
        if !known.contains(labels) && known.len() < MAX_SERIES {
            known.insert(labels.clone());
        }
        known.contains(labels)
    }
}
