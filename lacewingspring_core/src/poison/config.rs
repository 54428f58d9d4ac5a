//! Settings of the detector of poison requests.

use std::time::Duration;

/// Settings of the detector of poison requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PoisonConfig {
    /// Time after an instance became the home of fingerprints in which it starts no run, while it
    /// learns the open runs and verdicts.
    pub learning: Duration,
    /// Time after which a runner asks again if another run of a suspect is in progress.
    pub trial_retry_after: Duration,
    /// Time after which a suspect that did not run is cleared.
    pub suspect_ttl: Duration,
    /// Time after which a quarantined fingerprint becomes a suspect again.
    pub quarantine_ttl: Duration,
    /// Time for which a fingerprint counts as proven after a run that completed.
    pub proven_ttl: Duration,
    /// Most verdicts in memory; the least severe are evicted first, of these the oldest.
    pub max_verdicts: usize,
    /// Most proven fingerprints in memory; the oldest are evicted first.
    pub max_proven: usize,
    /// Mechanisms that are on.
    pub policy: PoisonPolicy,
}

impl Default for PoisonConfig {
    fn default() -> Self {
        Self {
            learning: Duration::from_millis(1_500),
            trial_retry_after: Duration::from_millis(100),
            suspect_ttl: Duration::from_secs(600),
            quarantine_ttl: Duration::from_secs(3_600),
            proven_ttl: Duration::from_secs(600),
            max_verdicts: 10_000,
            max_proven: 50_000,
            policy: PoisonPolicy::default(),
        }
    }
}

/// Switches for the mechanisms. Tests switch them off one by one to show that each is needed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PoisonPolicy {
    /// Run a fingerprint that is not proven on one upstream at a time.
    pub single_upstream: bool,
    /// Have at most one run of a suspect at a time.
    pub single_trial: bool,
    /// Quarantine a suspect that crashes an upstream on which it runs alone.
    pub quarantine: bool,
    /// Make the fingerprints of a dead runner's open runs suspects.
    pub suspect_orphans: bool,
}

impl Default for PoisonPolicy {
    fn default() -> Self {
        Self { single_upstream: true, single_trial: true, quarantine: true, suspect_orphans: true }
    }
}
