//! Addresses for callers, weighted by data centre.
//!
//! The weights assume that callers are spread evenly over the data centres that have instances. A
//! data centre with fewer instances than its share keeps the load that they can take and sends the
//! excess to data centres with more, so that all instances get the same load and callers stay in
//! their own data centre where possible.

use std::collections::BTreeMap;

use crate::names::DataCentreName;

use super::{CallerAddress, ViewMember};

/// Sum of the weights of all addresses, before they are rounded down.
const WEIGHT_SUM: f64 = 100_000.0;

/// Returns the addresses of `members` for callers of a data centre.
pub(super) fn addresses(
    members: &[&ViewMember],
    data_centre: Option<&DataCentreName>,
) -> Vec<CallerAddress> {
    let mut counts: BTreeMap<&DataCentreName, usize> = BTreeMap::new();
    for member in members {
        *counts.entry(&member.data_centre).or_default() += 1;
    }
    let instance_counts = InstanceCounts { instances: members.len(), counts };
    let own = data_centre.filter(|own| instance_counts.counts.contains_key(own));
    let mut addresses: Vec<_> =
        members.iter().map(|member| instance_counts.address(member, own)).collect();
    addresses.sort_by_key(|address| std::cmp::Reverse(address.weight));
    addresses
}

/// Number of instances in total and in each data centre.
struct InstanceCounts<'a> {
    instances: usize,
    counts: BTreeMap<&'a DataCentreName, usize>,
}

impl InstanceCounts<'_> {
    fn address(&self, member: &ViewMember, own: Option<&DataCentreName>) -> CallerAddress {
        let share = match own {
            Some(own) => self.share(&member.data_centre, own),
            None => 1.0 / self.instances as f64,
        };
        CallerAddress {
            address: member.caller_address,
            data_centre: member.data_centre.clone(),
            weight: (share * WEIGHT_SUM) as u32,
        }
    }

    /// Returns the share of the load from `own`'s callers that one instance of `data_centre` gets.
    fn share(&self, data_centre: &DataCentreName, own: &DataCentreName) -> f64 {
        let kept = self.capacity(own).min(1.0);
        let instances = self.counts.get(data_centre).map_or(1.0, |count| *count as f64);
        if data_centre == own {
            return kept / instances;
        }
        let spare: f64 = self.counts.keys().map(|centre| self.spare(centre)).sum();
        if spare <= 0.0 {
            return 0.0;
        }
        (1.0 - kept) * self.spare(data_centre) / spare / instances
    }

    /// Returns the load of a data centre if all instances are loaded evenly, relative to the load
    /// from its own callers.
    fn capacity(&self, data_centre: &DataCentreName) -> f64 {
        let own = self.counts.get(data_centre).copied().unwrap_or_default() as f64;
        own * self.counts.len() as f64 / self.instances as f64
    }

    fn spare(&self, data_centre: &DataCentreName) -> f64 {
        (self.capacity(data_centre) - 1.0).max(0.0)
    }
}
