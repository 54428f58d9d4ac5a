//! Finds the prompt parts that crash the upstreams that run them, whatever else the requests hold.
//!
//! A crash breaks all runs of its upstream, and the crashing requests share their other parts with
//! sound ones. So a part is judged by the crashes that broke runs with it and by the runs that
//! completed:
//!
//! * A part of a completed run is cleared of all earlier crashes.
//! * The parts with the most crashes are suspects once they have enough of them. Crashes that a
//!   blocked part explains count for no other part.
//! * The suspects have one run at a time, a probe. If it completes, its parts are cleared. If it
//!   breaks off, requests with all the suspects that it had are blocked, unless runs with other
//!   suspects broke off in the same crash.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    time::Duration,
};

use super::{
    crash_events::CrashEvents,
    finding::Finding,
    hand_over::{BlockedParts, CrashedPart, MAX_ENTRIES},
    recent_parts::RecentParts,
    work::Ticket,
};
use crate::names::UpstreamName;

/// Number of crashes after which a part is a suspect.
const MIN_CRASHES: u32 = 3;

/// As [`MIN_CRASHES`], for a part of a run that completed lately: such parts are often in the
/// crashes that others cause.
const MIN_CRASHES_OF_RECENT: u32 = 5;

/// Number of crashes from which on a part is handed over to the next gate.
const MIN_CRASHES_HANDED_OVER: u32 = 2;

/// Time for which the crashes that an earlier gate counted are remembered.
const INHERITED_RETENTION: Duration = Duration::from_secs(120);

/// Time for which requests are blocked.
const BLOCK_DURATION: Duration = Duration::from_secs(600);

/// Retry-after time of a request that is blocked because it crashes upstreams.
pub(super) const BLOCKED_RETRY_AFTER: Duration = Duration::from_secs(5);

/// Retry-after time of a request that is refused because a probe runs.
const PROBE_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Parts that together block the requests that have all of them.
#[derive(Debug)]
struct Block {
    parts: Vec<u64>,
    until: Duration,
    /// Crash in which the probe of these parts broke off; `None` if an earlier gate blocked them.
    crash: Option<u64>,
}

impl Block {
    fn applies_to(&self, now: Duration, parts: &[u64]) -> bool {
        now < self.until && self.parts.iter().all(|part| parts.contains(part))
    }
}

/// Crashes of a part that an earlier gate counted.
#[derive(Clone, Copy, Debug)]
struct Inherited {
    crashes: u32,
    until: Duration,
}

/// What is known of the prompt parts that may crash upstreams.
#[derive(Debug, Default)]
pub(super) struct CrashingParts {
    events: CrashEvents,
    completed: RecentParts,
    inherited: HashMap<u64, Inherited>,
    suspects: BTreeSet<u64>,
    /// Suspects in the prompt of each probe.
    probes: HashMap<Ticket, Vec<u64>>,
    blocks: Vec<Block>,
    findings: Vec<Finding>,
    /// Number of changes of what is handed over.
    version: u64,
}

impl CrashingParts {
    /// Decides whether a request with these parts may be sent; one with suspects becomes a probe.
    /// The error is the retry-after time of a request that may not.
    pub fn admit(&mut self, now: Duration, ticket: Ticket, parts: &[u64]) -> Result<(), Duration> {
        if self.is_blocked(now, parts) {
            return Err(BLOCKED_RETRY_AFTER);
        }
        let suspects = self.suspects_in(parts);
        if suspects.is_empty() {
            return Ok(());
        }
        let is_probed = |part: &u64| self.probes.values().any(|probe| probe.contains(part));
        if suspects.iter().any(is_probed) {
            return Err(PROBE_RETRY_AFTER);
        }
        self.probes.insert(ticket, suspects);
        Ok(())
    }

    /// Returns the retry-after time of a waiting request that may no longer be sent.
    pub fn refusal_of_waiting(
        &self,
        now: Duration,
        ticket: Ticket,
        parts: &[u64],
    ) -> Option<Duration> {
        if self.is_blocked(now, parts) {
            return Some(BLOCKED_RETRY_AFTER);
        }
        let is_suspect = !self.probes.contains_key(&ticket) && !self.suspects_in(parts).is_empty();
        is_suspect.then_some(PROBE_RETRY_AFTER)
    }

    fn is_blocked(&self, now: Duration, parts: &[u64]) -> bool {
        self.blocks.iter().any(|block| block.applies_to(now, parts))
    }

    fn suspects_in(&self, parts: &[u64]) -> Vec<u64> {
        parts.iter().filter(|part| self.suspects.contains(part)).copied().collect()
    }

    /// Returns the tickets of the probes.
    pub fn probes(&self) -> impl Iterator<Item = &Ticket> {
        self.probes.keys()
    }

    /// Ends a probe that tells nothing of its parts.
    pub fn end_probe(&mut self, ticket: Ticket) {
        self.probes.remove(&ticket);
    }

    /// Ends the probes of an instance whose connection to the gate is lost.
    pub fn end_link(&mut self, link: u64) {
        self.probes.retain(|ticket, _| ticket.link != link);
    }

    /// Records a run that completed, or that its upstream survived.
    pub fn record_success(&mut self, now: Duration, ticket: Ticket, parts: &[u64]) {
        self.probes.remove(&ticket);
        for part in parts {
            self.completed.insert(now, *part);
        }
        let was_in_crash = self.events.clear(parts);
        let was_blocked = self.unblock(parts);
        let inherited = self.inherited.len();
        self.inherited.retain(|part, _| !parts.contains(part));
        if was_in_crash || was_blocked || self.inherited.len() != inherited {
            self.update_suspects(now);
        }
    }

    /// Removes parts from the blocks; returns whether any had one of them.
    fn unblock(&mut self, parts: &[u64]) -> bool {
        let mut is_changed = false;
        for block in &mut self.blocks {
            let before = block.parts.len();
            block.parts.retain(|part| !parts.contains(part));
            is_changed |= block.parts.len() != before;
        }
        self.blocks.retain(|block| !block.parts.is_empty());
        self.version += u64::from(is_changed);
        is_changed
    }

    /// Returns whether runs of an upstream broke off within the last second.
    pub fn has_crashed(&self, now: Duration, upstream: &UpstreamName) -> bool {
        self.events.has_crashed(now, upstream)
    }

    /// Records a run whose connection broke; returns whether requests are blocked or suspected that
    /// were not before.
    pub fn record_crash(
        &mut self,
        now: Duration,
        ticket: Ticket,
        upstream: &UpstreamName,
        parts: &[u64],
    ) -> bool {
        if parts.is_empty() {
            return false;
        }
        self.remove_expired(now);
        let probe = self.probes.remove(&ticket);
        let crash = self.events.add(now, upstream, parts);
        let counts = self.count_crashes(now);
        let is_handed_over =
            |part| counts.get(part).is_some_and(|crashes| *crashes >= MIN_CRASHES_HANDED_OVER);
        self.version += u64::from(parts.iter().any(is_handed_over));
        let mut is_changed = self.update_suspects(now);
        if let Some(suspects) = probe {
            is_changed |= self.block(now, crash, suspects);
        }
        self.remove_ambiguous_block(crash);
        is_changed | self.update_suspects(now)
    }

    fn remove_expired(&mut self, now: Duration) {
        self.blocks.retain(|block| now < block.until);
        self.inherited.retain(|_, inherited| now < inherited.until);
    }

    /// Blocks requests with all the suspects of a probe that broke off; returns whether they were
    /// not blocked before.
    fn block(&mut self, now: Duration, crash: u64, parts: Vec<u64>) -> bool {
        let is_suspected = parts.iter().all(|part| self.suspects.contains(part));
        if !is_suspected || self.is_blocked(now, &parts) {
            return false;
        }
        self.findings.push(Finding::Blocked { parts: parts.clone() });
        self.blocks.push(Block { parts, until: now + BLOCK_DURATION, crash: Some(crash) });
        self.version += 1;
        true
    }

    /// Removes a block that was set in a crash that also broke runs with other suspects.
    fn remove_ambiguous_block(&mut self, crash: u64) {
        let Self { blocks, events, suspects, .. } = self;
        blocks.retain(|block| {
            let is_other = |part| suspects.contains(&part) && !block.parts.contains(&part);
            block.crash != Some(crash) || !events.has_part(crash, is_other)
        });
    }

    /// Returns whether requests are blocked by this part alone.
    fn is_known(&self, part: u64) -> bool {
        self.blocks.iter().any(|block| block.parts == [part])
    }

    /// Counts the crashes of each part that no blocked part explains, those that an earlier gate
    /// counted included.
    fn count_crashes(&self, now: Duration) -> BTreeMap<u64, u32> {
        let mut counts = self.events.unexplained(|part| self.is_known(part));
        let inherited = self.inherited.iter().filter(|(_, inherited)| now < inherited.until);
        for (part, inherited) in inherited.filter(|(part, _)| !self.is_known(**part)) {
            *counts.entry(*part).or_default() += inherited.crashes;
        }
        counts
    }

    /// Makes the parts with the most crashes the suspects; returns whether there are new ones.
    fn update_suspects(&mut self, now: Duration) -> bool {
        let mut counts = self.count_crashes(now);
        counts.retain(|part, crashes| {
            let is_recent = self.completed.contains(*part);
            *crashes >= if is_recent { MIN_CRASHES_OF_RECENT } else { MIN_CRASHES }
        });
        let most = counts.values().copied().max().unwrap_or_default();
        counts.retain(|_, crashes| *crashes == most);
        let suspects: BTreeSet<u64> = counts.into_keys().collect();
        let new: Vec<u64> = suspects.difference(&self.suspects).copied().collect();
        let cleared = self.suspects.difference(&suspects).filter(|part| !self.is_known(**part));
        let cleared: Vec<u64> = cleared.copied().collect();
        let suspected = new.iter().map(|part| Finding::Suspected { part: *part, crashes: most });
        self.findings.extend(suspected);
        self.findings.extend(cleared.into_iter().map(|part| Finding::NoLongerSuspected { part }));
        if suspects != self.suspects {
            self.suspects = suspects;
            self.version += 1;
        }
        !new.is_empty()
    }

    /// Returns the number of changes of what is handed over.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the parts that block requests, the latest first.
    pub fn export_blocks(&self, now: Duration) -> Vec<BlockedParts> {
        let valid = self.blocks.iter().rev().filter(|block| now < block.until);
        let exported = valid.map(|block| {
            let left_ms = block.until.saturating_sub(now).as_millis() as u64;
            BlockedParts { parts: block.parts.clone(), left_ms }
        });
        exported.take(MAX_ENTRIES).collect()
    }

    /// Returns the parts that are or may soon be suspects, those with the most crashes first.
    pub fn export_crashes(&self, now: Duration) -> Vec<CrashedPart> {
        let counts = self.count_crashes(now).into_iter();
        let exported = counts.map(|(part, crashes)| CrashedPart { part, crashes });
        let mut exported: Vec<CrashedPart> =
            exported.filter(|part| part.crashes >= MIN_CRASHES_HANDED_OVER).collect();
        exported.sort_unstable_by_key(|part| (u32::MAX - part.crashes, part.part));
        exported.truncate(MAX_ENTRIES);
        exported
    }

    /// Blocks what an earlier gate blocked, of which `age` has passed since.
    pub fn import_blocks(&mut self, now: Duration, age: Duration, blocks: &[BlockedParts]) {
        for imported in blocks {
            let left = Duration::from_millis(imported.left_ms).saturating_sub(age);
            if left.is_zero() || self.is_blocked(now, &imported.parts) {
                continue;
            }
            let parts = imported.parts.clone();
            self.blocks.push(Block { parts, until: now + left, crash: None });
            self.version += 1;
        }
        self.update_suspects(now);
    }

    /// Adds the crashes that an earlier gate counted, but for those that this one counted itself.
    pub fn import_crashes(&mut self, now: Duration, parts: &[CrashedPart]) {
        let counts = self.count_crashes(now);
        for imported in parts {
            let known = counts.get(&imported.part).copied().unwrap_or_default();
            let missing = imported.crashes.saturating_sub(known);
            if missing > 0 {
                let until = now + INHERITED_RETENTION;
                let inherited =
                    self.inherited.entry(imported.part).or_insert(Inherited { crashes: 0, until });
                inherited.crashes += missing;
                inherited.until = until;
            }
        }
        self.update_suspects(now);
    }

    /// Returns what was found since the last call.
    pub fn take_findings(&mut self) -> Vec<Finding> {
        std::mem::take(&mut self.findings)
    }
}
