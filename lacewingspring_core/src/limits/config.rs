//! Settings of shares.

use std::time::Duration;

/// Settings of shares, equal on all instances of a fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct ShareConfig {
    /// Time for which a share holds, counted by the instance from when it asked.
    pub valid_for: Duration,
    /// Time by which the home counts a share for longer, since clocks run at unlike speeds.
    pub clock_slack: Duration,
    /// Time for which a former home may still give out shares, until its view has changed.
    pub view_lag: Duration,
    /// Time between two renewals.
    pub renew_after: Duration,
    /// Shortest time between two requests for a share by an instance that refuses callers.
    pub ask_again_after: Duration,
    /// Time for which the home counts the requests in progress of an instance that went silent.
    pub drain_for: Duration,
    /// Part of a limit that is shared out evenly, whatever the demand.
    pub floor_fraction: f64,
    /// Time for which an instance may save up unused rate.
    pub burst: Duration,
    /// Which mechanisms are on.
    pub policy: SharePolicy,
}

impl Default for ShareConfig {
    fn default() -> Self {
        Self {
            valid_for: Duration::from_secs(5),
            clock_slack: Duration::from_millis(500),
            view_lag: Duration::from_secs(4),
            renew_after: Duration::from_secs(1),
            ask_again_after: Duration::from_millis(50),
            drain_for: Duration::from_secs(30),
            floor_fraction: 0.2,
            burst: Duration::from_millis(250),
            policy: SharePolicy::default(),
        }
    }
}

/// Switches for the mechanisms, so that a test can show what each is needed for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SharePolicy {
    /// Let a new home give out nothing until the shares of the old one have run out.
    pub wait_for_old_shares: bool,
    /// Let an instance stop admitting when its share has run out.
    pub expire: bool,
    /// Count the requests in progress of an instance whose share was cut.
    pub count_in_use: bool,
    /// Give out only the part of a limit that the reachable members stand for.
    pub scale_by_reach: bool,
}

impl Default for SharePolicy {
    fn default() -> Self {
        Self { wait_for_old_shares: true, expire: true, count_in_use: true, scale_by_reach: true }
    }
}
