//! Settings of shares.

use std::time::Duration;

/// Settings of shares. They must be equal on all instances of a fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct ShareConfig {
    /// Validity of a share. The instance counts it from when it sent its demand.
    pub valid_for: Duration,
    /// Time for which the home counts a share beyond its validity, since clocks run at different
    /// speeds.
    pub clock_slack: Duration,
    /// Time for which a former home may still grant shares, until its view of the membership
    /// changes.
    pub view_lag: Duration,
    /// Time between two demands of an instance for the same share.
    pub renew_after: Duration,
    /// Shortest time between two demands of an instance if the second is urgent: callers were
    /// refused or wait, the share was reduced, or the membership has changed.
    pub urgent_renew_after: Duration,
    /// Time for which the home counts the requests in progress of an instance that has gone silent.
    pub drain_for: Duration,
    /// Fraction of a limit that is divided evenly, whatever the demand.
    pub floor_fraction: f64,
    /// Time over which an instance may accumulate unused rate for a burst.
    pub burst: Duration,
    /// Mechanisms that are enabled.
    pub policy: SharePolicy,
}

impl Default for ShareConfig {
    fn default() -> Self {
        Self {
            valid_for: Duration::from_secs(5),
            clock_slack: Duration::from_millis(500),
            view_lag: Duration::from_secs(4),
            renew_after: Duration::from_secs(1),
            urgent_renew_after: Duration::from_millis(50),
            drain_for: Duration::from_secs(30),
            floor_fraction: 0.2,
            burst: Duration::from_millis(250),
            policy: SharePolicy::default(),
        }
    }
}

/// Switches for the individual mechanisms, so that a test can show that each is needed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SharePolicy {
    /// A new home grants nothing beyond what instances hold until the shares of the earlier home
    /// have expired.
    pub wait_for_old_shares: bool,
    /// An instance admits no requests once its share has expired.
    pub expire: bool,
    /// Requests in progress count against the concurrency even if the share of their instance was
    /// reduced.
    pub count_in_use: bool,
    /// The home grants only the fraction of a limit that corresponds to the reachable members.
    pub scale_by_reach: bool,
}

impl Default for SharePolicy {
    fn default() -> Self {
        Self { wait_for_old_shares: true, expire: true, count_in_use: true, scale_by_reach: true }
    }
}
