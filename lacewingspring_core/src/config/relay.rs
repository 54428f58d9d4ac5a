//! Which instances watch the key-value service.

use crate::{
    names::{DataCentreName, InstanceName},
    rendezvous,
};

/// Instances of a data centre that watch the service; the others learn from them.
const WATCHERS: usize = 2;

/// Name of the role in the rendezvous.
const ROLE: &str = "declared-watcher";

/// Returns whether `own` is one of the `live` instances of its data centre that watch the service.
///
/// The calls to the service then grow with the data centres and not with the instances.
pub fn watches<'a, I>(data_centre: &DataCentreName, own: &InstanceName, live: I) -> bool
where
    I: IntoIterator<Item = &'a InstanceName>,
{
    let weight = |name: &InstanceName| rendezvous::weight(&(ROLE, data_centre), name);
    let own_rank = (weight(own), own);
    let ahead = live.into_iter().filter(|name| (weight(name), *name) > own_rank);
    ahead.count() < WATCHERS
}
