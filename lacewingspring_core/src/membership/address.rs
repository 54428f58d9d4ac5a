//! Which addresses callers are told, and with which weights.
//!
//! Callers are taken to be spread evenly over the data centres that have instances. A data centre
//! with less than its share of the instances keeps what they can take and sends the rest to those
//! with more, so that the load of the instances is even and stays near its callers where it can.

use std::collections::BTreeMap;

use crate::names::DataCentreName;

use super::{CallerAddress, ViewMember};

/// Sum of the weights of an answer, but for rounding.
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
    let spread = Spread { instances: members.len(), counts };
    let own = data_centre.filter(|own| spread.counts.contains_key(own));
    let mut addresses: Vec<_> = members.iter().map(|member| spread.address(member, own)).collect();
    addresses.sort_by_key(|address| std::cmp::Reverse(address.weight));
    addresses
}

/// How many instances each data centre has.
struct Spread<'a> {
    instances: usize,
    counts: BTreeMap<&'a DataCentreName, usize>,
}

impl Spread<'_> {
    fn address(&self, member: &ViewMember, own: Option<&DataCentreName>) -> CallerAddress {
        let share = match own {
            Some(own) => self.share(&member.data_centre, own),
            None => 1.0 / self.instances as f64,
        };
        CallerAddress {
            address: member.callers,
            data_centre: member.data_centre.clone(),
            weight: (share * WEIGHT_SUM) as u32,
        }
    }

    /// Returns the share of `own`'s callers that one instance of `data_centre` takes.
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

    /// Returns the load that a data centre can take at an even spread, in units of what its own
    /// callers bring.
    fn capacity(&self, data_centre: &DataCentreName) -> f64 {
        let own = self.counts.get(data_centre).copied().unwrap_or_default() as f64;
        own * self.counts.len() as f64 / self.instances as f64
    }

    fn spare(&self, data_centre: &DataCentreName) -> f64 {
        (self.capacity(data_centre) - 1.0).max(0.0)
    }
}
