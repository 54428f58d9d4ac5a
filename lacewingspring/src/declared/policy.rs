//! Intervals and bounds of following and committing.

use std::time::Duration;

/// Intervals and bounds of following and committing.
#[derive(Clone, Debug)]
pub struct DeclaredPolicy {
    /// Wait after the first failed call.
    pub backoff_min: Duration,
    /// Longest wait between failed calls.
    pub backoff_max: Duration,
    /// Time between two reads of the head while watching, in case a watch misses events.
    pub refresh: Duration,
    /// Time that the watch and the peers have to bring a generation that is known to exist.
    pub grace: Duration,
    /// Most tries of a commit that loses races against commits of other resources.
    pub commit_attempts: u32,
    /// Most tries to learn the outcome of a write whose reply was lost.
    pub settle_attempts: u32,
    /// Mechanisms that are on.
    pub mechanisms: Mechanisms,
}

impl Default for DeclaredPolicy {
    fn default() -> Self {
        Self {
            backoff_min: Duration::from_millis(100),
            backoff_max: Duration::from_secs(4),
            refresh: Duration::from_secs(5),
            grace: Duration::from_millis(500),
            commit_attempts: 8,
            settle_attempts: 6,
            mechanisms: Mechanisms::default(),
        }
    }
}

/// Mechanisms that keep the promises. All are on; tests switch one off to show that it is needed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Mechanisms {
    /// A commit compares the head record.
    pub compare_head: bool,
    /// A lost reply is settled before anything is reported.
    pub settle_lost_replies: bool,
    /// An older state is not installed.
    pub refuse_older: bool,
    /// A generation that the watch did not bring whole is read from the service.
    pub catch_up: bool,
    /// Failed calls are followed by growing waits.
    pub back_off: bool,
}

impl Default for Mechanisms {
    fn default() -> Self {
        Self {
            compare_head: true,
            settle_lost_replies: true,
            refuse_older: true,
            catch_up: true,
            back_off: true,
        }
    }
}
