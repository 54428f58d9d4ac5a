//! Settings of the watch for poisonous requests.

use std::time::Duration;

/// Settings of the watch for poisonous requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PoisonConfig {
    /// Time after taking the role of home for which no run begins.
    pub learning: Duration,
    /// Time after which a suspect is asked for again when a run of it is in progress.
    pub trial_retry_after: Duration,
    /// Time after which a suspect that wasn't run is cleared.
    pub suspect_ttl: Duration,
    /// Time after which a quarantined fingerprint is suspect only.
    pub quarantine_ttl: Duration,
    /// Time for which a fingerprint that has run whole is remembered.
    pub proven_ttl: Duration,
    /// Verdicts that are kept at most; the oldest suspects go first.
    pub max_verdicts: usize,
    /// Fingerprints that have run whole, kept at most.
    pub max_proven: usize,
    /// Which mechanisms are on.
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

/// Switches for the mechanisms, so that a test can show what each is needed for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PoisonPolicy {
    /// Run a fingerprint that has never run whole on one upstream at a time.
    pub single_upstream: bool,
    /// Run a suspect on one upstream at a time.
    pub single_trial: bool,
    /// Quarantine a suspect that crashes the upstream it runs alone on.
    pub quarantine: bool,
    /// Suspect what a runner left behind when it died.
    pub suspect_orphans: bool,
}

impl Default for PoisonPolicy {
    fn default() -> Self {
        Self { single_upstream: true, single_trial: true, quarantine: true, suspect_orphans: true }
    }
}
