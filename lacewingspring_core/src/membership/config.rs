//! Configuration of the membership protocol.

use std::time::Duration;

/// Intervals and thresholds of the membership protocol; all instances of a fleet use the same.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MembershipConfig {
    /// Time between two gossip rounds of a member.
    pub period: Duration,
    /// Maximum number of members up to which every heartbeat is sent to every data centre.
    pub flat_max_members: usize,
    /// Heartbeat age above which a member is suspected, in a data centre of up to four members.
    pub suspect_after: Duration,
    /// Increase of `suspect_after` for each doubling of a data centre beyond four members, rounded
    /// up: one for five to eight members, two for nine to sixteen.
    pub suspect_step: Duration,
    /// Time without any heartbeat of another data centre after which its members are suspected.
    pub data_centre_suspect_after: Duration,
    /// Time from suspicion until a member counts as `Gone`.
    pub gone_after: Duration,
    /// Time from `Gone` until a member is removed, and for which removed runs are remembered.
    pub forget_after: Duration,
    /// Time for which a view lists previous role holders after the set of role holders changed.
    pub previous_holders_retention: Duration,
    /// Time without protocol activity above which this process counts as having been frozen.
    pub freeze_threshold: Duration,
    /// Protocol mechanisms that are enabled.
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

/// Switches for the protocol mechanisms; tests turn one off to show which failure it prevents.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MembershipPolicy {
    /// Relay heartbeats of third members.
    pub relay_heartbeats: bool,
    /// Refute a wrong suspicion with a newer heartbeat.
    pub refute: bool,
    /// Exclude the time for which this process was frozen from heartbeat ages.
    pub freeze_grace: bool,
    /// Replace a member's run by one with a higher incarnation.
    pub replace_older_runs: bool,
    /// Resend a change until the peer acknowledges it.
    pub acknowledge: bool,
    /// Skip changes that a peer with the same table checksum has from others already.
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
