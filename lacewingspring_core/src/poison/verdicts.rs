//! Verdicts on fingerprints, which all instances merge into the same state.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use super::{FingerprintId, PoisonConfig, Verdict, VerdictReport};

/// A verdict with its version and the time since which it holds.
#[derive(Clone, Copy, Debug)]
struct Entry {
    version: u32,
    verdict: Verdict,
    since: Duration,
}

/// Verdicts on fingerprints.
///
/// Each change raises the version. Of two verdicts the one with the higher version wins, and of
/// equal versions the more severe one, so instances agree whatever the order in which reports
/// arrive.
#[derive(Debug)]
pub(super) struct Verdicts {
    suspect_ttl: Duration,
    quarantine_ttl: Duration,
    max: usize,
    entries: BTreeMap<FingerprintId, Entry>,
    changed: BTreeSet<FingerprintId>,
}

impl Verdicts {
    pub(super) fn new(cfg: &PoisonConfig) -> Self {
        Self {
            suspect_ttl: cfg.suspect_ttl,
            quarantine_ttl: cfg.quarantine_ttl,
            max: cfg.max_verdicts,
            entries: BTreeMap::new(),
            changed: BTreeSet::new(),
        }
    }

    pub(super) fn get(&mut self, now: Duration, id: FingerprintId) -> Verdict {
        let Some(entry) = self.entries.get_mut(&id) else { return Verdict::Clear };
        let age = now.saturating_sub(entry.since);
        match entry.verdict {
            Verdict::Quarantined if age >= self.quarantine_ttl => {
                entry.verdict = Verdict::Suspect;
                entry.since = now;
            }
            Verdict::Suspect if age >= self.suspect_ttl => {
                entry.verdict = Verdict::Clear;
                entry.since = now;
            }
            Verdict::Clear | Verdict::Suspect | Verdict::Quarantined => {}
        }
        entry.verdict
    }

    pub(super) fn suspect(&mut self, now: Duration, id: FingerprintId) {
        if self.get(now, id) != Verdict::Quarantined {
            self.set(now, id, Verdict::Suspect);
        }
    }

    pub(super) fn quarantine(&mut self, now: Duration, id: FingerprintId) {
        self.set(now, id, Verdict::Quarantined);
    }

    pub(super) fn clear(&mut self, now: Duration, id: FingerprintId) {
        if self.get(now, id) == Verdict::Suspect {
            self.set(now, id, Verdict::Clear);
        }
    }

    pub(super) fn merge(&mut self, now: Duration, report: VerdictReport) {
        let known = self.entries.get(&report.fingerprint);
        let known = known.map(|entry| (entry.version, entry.verdict));
        if known.is_some_and(|known| known >= (report.version, report.verdict)) {
            return;
        }
        let VerdictReport { fingerprint, version, verdict } = report;
        self.insert(fingerprint, Entry { version, verdict, since: now });
    }

    pub(super) fn take_changes(&mut self) -> Vec<VerdictReport> {
        let changed = std::mem::take(&mut self.changed);
        changed.into_iter().filter_map(|id| self.report(id)).collect()
    }

    pub(super) fn all(&self) -> Vec<VerdictReport> {
        self.entries.keys().filter_map(|id| self.report(*id)).collect()
    }

    fn report(&self, fingerprint: FingerprintId) -> Option<VerdictReport> {
        let entry = self.entries.get(&fingerprint)?;
        Some(VerdictReport { fingerprint, version: entry.version, verdict: entry.verdict })
    }

    fn set(&mut self, now: Duration, id: FingerprintId, verdict: Verdict) {
        let version = self.entries.get(&id).map_or(0, |entry| entry.version) + 1;
        self.insert(id, Entry { version, verdict, since: now });
    }

    fn insert(&mut self, id: FingerprintId, entry: Entry) {
        self.entries.insert(id, entry);
        self.changed.insert(id);
        if self.entries.len() > self.max {
            self.evict_one();
        }
    }

    /// Evicts the least severe verdict, of these the oldest.
    fn evict_one(&mut self) {
        let victim = self.entries.iter().min_by_key(|(_, entry)| (entry.verdict, entry.since));
        let Some(id) = victim.map(|(id, _)| *id) else { return };
        self.entries.remove(&id);
        self.changed.remove(&id);
    }
}
