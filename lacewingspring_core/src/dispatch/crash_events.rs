//! Crashes of upstreams, with the prompt parts of the runs that they broke off.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use crate::names::UpstreamName;

/// Time within which all broken runs of an upstream count as one crash: they are reported by
/// several instances.
pub(super) const CRASH_DURATION: Duration = Duration::from_secs(1);

/// Time for which a crash is remembered.
const RETENTION: Duration = Duration::from_secs(120);

/// Largest number of crashes that are remembered.
const MAX_CRASHES: usize = 256;

/// A crash of an upstream.
#[derive(Debug)]
struct Crash {
    number: u64,
    upstream: UpstreamName,
    at: Duration,
    /// Parts of the broken runs, without those that were part of a completed run since.
    parts: Vec<u64>,
}

/// The latest crashes, the oldest first.
#[derive(Debug, Default)]
pub(super) struct CrashEvents {
    crashes: VecDeque<Crash>,
    next_number: u64,
}

impl CrashEvents {
    /// Adds a broken run with these parts; returns the number of its crash.
    pub fn add(&mut self, now: Duration, upstream: &UpstreamName, parts: &[u64]) -> u64 {
        self.remove_expired(now);
        let crash = self.crash_mut(now, upstream);
        for part in parts {
            if !crash.parts.contains(part) {
                crash.parts.push(*part);
            }
        }
        crash.number
    }

    /// Returns whether an upstream crashed within [`CRASH_DURATION`].
    pub fn has_crashed(&self, now: Duration, upstream: &UpstreamName) -> bool {
        self.index_of_present(now, upstream).is_some()
    }

    fn index_of_present(&self, now: Duration, upstream: &UpstreamName) -> Option<usize> {
        self.crashes.iter().position(|crash| {
            crash.upstream == *upstream && now.saturating_sub(crash.at) < CRASH_DURATION
        })
    }

    fn crash_mut(&mut self, now: Duration, upstream: &UpstreamName) -> &mut Crash {
        let index = self.index_of_present(now, upstream).unwrap_or_else(|| {
            let number = self.next_number;
            self.next_number += 1;
            let crash = Crash { number, upstream: upstream.clone(), at: now, parts: Vec::new() };
            self.crashes.push_back(crash);
            self.crashes.len() - 1
        });
        &mut self.crashes[index]
    }

    fn remove_expired(&mut self, now: Duration) {
        self.crashes.retain(|crash| {
            let retention = if crash.parts.is_empty() { CRASH_DURATION } else { RETENTION };
            now.saturating_sub(crash.at) < retention
        });
        if self.crashes.len() >= MAX_CRASHES {
            self.crashes.pop_front();
        }
    }

    /// Removes parts of which a run has completed; returns whether any crash had one of them.
    pub fn clear(&mut self, parts: &[u64]) -> bool {
        let mut is_changed = false;
        for crash in &mut self.crashes {
            let before = crash.parts.len();
            crash.parts.retain(|part| !parts.contains(part));
            is_changed |= crash.parts.len() != before;
        }
        is_changed
    }

    /// Returns whether a crash broke runs with a part for which `is_sought` is true.
    pub fn has_part<F>(&self, number: u64, is_sought: F) -> bool
    where
        F: Fn(u64) -> bool,
    {
        let crash = self.crashes.iter().find(|crash| crash.number == number);
        crash.is_some_and(|crash| crash.parts.iter().any(|part| is_sought(*part)))
    }

    /// Counts for each part the crashes that broke runs with it, without the crashes that also
    /// broke runs with a part for which `is_known` is true: those are explained by that part.
    pub fn unexplained<F>(&self, is_known: F) -> BTreeMap<u64, u32>
    where
        F: Fn(u64) -> bool,
    {
        let mut counts = BTreeMap::new();
        let unexplained =
            self.crashes.iter().filter(|crash| !crash.parts.iter().any(|part| is_known(*part)));
        for part in unexplained.flat_map(|crash| &crash.parts) {
            *counts.entry(*part).or_default() += 1;
        }
        counts
    }
}
