//! Intervals and limits for following and committing the declared state.

use std::time::Duration;

/// Intervals and limits for following and committing the declared state.
#[derive(Clone, Debug)]
pub struct DeclaredPolicy {
    /// Wait after the first failed call.
    pub backoff_min: Duration,
    /// Longest wait between failed calls.
    pub backoff_max: Duration,
    /// Time between two reads of the head record while watching, in case a watch misses events.
    pub refresh: Duration,
    /// Time after which a generation that is known to exist, and that neither the watch nor a peer
    /// has delivered, is read from the service.
    pub grace: Duration,
    /// Most attempts of a commit that is superseded by commits of other resources.
    pub commit_attempts: u32,
    /// Most attempts to learn the outcome of a write whose reply was lost, or to get a read that
    /// is not stale.
    pub settle_attempts: u32,
    /// Consistency mechanisms that are on.
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

/// Consistency mechanisms. All are on by default; tests switch one off to show that it is needed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Mechanisms {
    /// Commits compare the revision of the head record.
    pub compare_head: bool,
    /// A commit whose reply was lost determines its outcome before it returns.
    pub settle_lost_replies: bool,
    /// States older than the one in force are refused.
    pub refuse_older: bool,
    /// A generation that the watch did not deliver completely is read from the service.
    pub catch_up: bool,
    /// Waits between failed calls grow exponentially.
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
