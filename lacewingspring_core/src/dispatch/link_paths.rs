//! Connections to upstreams that failed, by the instances that could not make them.
//!
//! What a failed connection says holds for the pair of instance and upstream. It is taken for a
//! fault of the upstream once two instances agree.

use std::{
    collections::{BTreeSet, HashMap},
    time::Duration,
};

use crate::names::UpstreamName;

/// Number of upstreams to which connections of an instance failed in a row from which on the fault
/// is taken for that of the instance.
const MAX_FAILED: usize = 2;

/// Time within which two instances must fail at an upstream to agree that the fault is its own.
const AGREEMENT_TIME: Duration = Duration::from_secs(2);

/// Time for which an instance is granted no slot at an upstream that it could not connect to, if
/// there is another one.
const PAIR_PAUSE: Duration = Duration::from_millis(500);

/// What is known of the connections of one instance.
#[derive(Debug, Default)]
struct LinkPath {
    /// Time of the last failure at each upstream that has not responded since.
    failed_at: HashMap<UpstreamName, Duration>,
    /// Upstreams to which connections failed since one was made to any.
    in_a_row: BTreeSet<UpstreamName>,
}

impl LinkPath {
    /// Returns whether the failures are taken for faults of this instance.
    fn is_suspect(&self) -> bool {
        self.in_a_row.len() > MAX_FAILED
    }

    fn has_failed(&self, now: Duration, upstream: &UpstreamName, within: Duration) -> bool {
        self.failed_at.get(upstream).is_some_and(|at| now.saturating_sub(*at) < within)
    }
}

/// Connections of all instances, by their links to the gate.
#[derive(Debug, Default)]
pub(super) struct LinkPaths(HashMap<u64, LinkPath>);

impl LinkPaths {
    /// Records that an instance asks for slots.
    pub fn record_request(&mut self, link: u64) {
        self.0.entry(link).or_default();
    }

    /// Returns the number of instances that asked for slots.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Records that an instance could not connect to an upstream; returns whether that is taken for
    /// a fault of the upstream.
    pub fn record_failure(&mut self, now: Duration, link: u64, upstream: &UpstreamName) -> bool {
        let path = self.0.entry(link).or_default();
        path.failed_at.retain(|_, at| now.saturating_sub(*at) < AGREEMENT_TIME);
        path.failed_at.insert(upstream.clone(), now);
        path.in_a_row.insert(upstream.clone());
        let is_suspect = path.is_suspect();
        let is_alone = self.0.len() == 1;
        !is_suspect && (is_alone || self.has_failed_elsewhere(now, link, upstream))
    }

    /// Returns whether another instance, which is no suspect, could not connect to an upstream
    /// lately.
    fn has_failed_elsewhere(&self, now: Duration, link: u64, upstream: &UpstreamName) -> bool {
        let others = self.0.iter().filter(|(other, path)| **other != link && !path.is_suspect());
        others.into_iter().any(|(_, path)| path.has_failed(now, upstream, AGREEMENT_TIME))
    }

    /// Returns the upstreams to which connections of an instance failed a short while ago.
    pub fn to_avoid(&self, now: Duration, link: u64) -> Vec<UpstreamName> {
        let Some(path) = self.0.get(&link) else { return Vec::new() };
        let upstreams = path.failed_at.keys();
        upstreams.filter(|upstream| path.has_failed(now, upstream, PAIR_PAUSE)).cloned().collect()
    }

    /// Records that an upstream responded to a request of an instance.
    pub fn record_response(&mut self, link: u64, upstream: &UpstreamName) {
        if let Some(path) = self.0.get_mut(&link) {
            path.in_a_row.clear();
            path.failed_at.remove(upstream);
        }
    }

    /// Forgets an instance whose connection to the gate is lost.
    pub fn remove_link(&mut self, link: u64) {
        self.0.remove(&link);
    }
}
