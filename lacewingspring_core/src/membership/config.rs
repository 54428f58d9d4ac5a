//! Settings of the membership protocol.

use std::time::Duration;

/// Settings of the membership protocol, equal on all instances of a fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MembershipConfig {
    /// Time between two rounds.
    pub period: Duration,
    /// Largest fleet in which every heartbeat is sent to every data centre.
    pub flat_max_members: usize,
    /// Age of a heartbeat at which its member is suspected, in a data centre of few members.
    pub suspect_after: Duration,
    /// Time added to `suspect_after` for each doubling of a data centre beyond four members.
    pub suspect_step: Duration,
    /// Silence of a whole data centre after which its members are suspected.
    pub data_centre_suspect_after: Duration,
    /// Time from suspicion to `Gone`.
    pub gone_after: Duration,
    /// Time from `Gone` until the member is forgotten.
    pub forget_after: Duration,
    /// Time for which a replaced set of role holders is still named.
    pub previous_holders_retention: Duration,
    /// Gap between two rounds from which this process counts as having been frozen.
    pub freeze_threshold: Duration,
    /// Which mechanisms are on.
    pub policy: MembershipPolicy,
}

impl Default for MembershipConfig {
    fn default() -> Self {
        Self {
            period: Duration::from_millis(200),
            flat_max_members: 16,
            suspect_after: Duration::from_millis(900),
            suspect_step: Duration::from_millis(400),
            data_centre_suspect_after: Duration::from_millis(2_500),
            gone_after: Duration::from_secs(5),
            forget_after: Duration::from_secs(60),
            previous_holders_retention: Duration::from_secs(5),
            freeze_threshold: Duration::from_millis(700),
            policy: MembershipPolicy::default(),
        }
    }
}

/// Switches for the mechanisms, so that a test can show what each is needed for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MembershipPolicy {
    /// Pass on heartbeats of third members.
    pub relay_heartbeats: bool,
    /// Answer a suspicion with a newer heartbeat.
    pub refute: bool,
    /// Discount the time for which this process was frozen.
    pub freeze_grace: bool,
    /// Let a higher incarnation replace a lower one.
    pub replace_older_runs: bool,
    /// Send a change again until the peer acknowledges it.
    pub acknowledge: bool,
    /// Spare a peer the changes that it has heard from others.
    pub compare_tables: bool,
}

impl Default for MembershipPolicy {
    fn default() -> Self {
        Self {
            relay_heartbeats: true,
            refute: true,
            freeze_grace: true,
            replace_older_runs: true,
            acknowledge: true,
            compare_tables: true,
        }
    }
}
