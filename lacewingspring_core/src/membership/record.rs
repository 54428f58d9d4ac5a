//! Records of known members.

use std::time::Duration;

use super::{
    digest::{Introduction, Member, MemberId, Status},
    view::MemberState,
};

/// State of the digest exchange with one peer.
#[derive(Clone, Debug, Default)]
pub(super) struct Exchange {
    /// Sequence number up to which the peer knows this member's changes.
    pub(super) acknowledged: u64,
    /// Sequence number up to which this member knows the peer's changes.
    pub(super) received: u64,
    /// Arrival number up to which heartbeats were sent to the peer.
    pub(super) heartbeats_sent: u64,
    /// Local time of the last digest from the peer.
    pub(super) last_digest: Option<Duration>,
    /// Runs that the peer requested introductions of.
    pub(super) wanted: Vec<MemberId>,
}

/// State of one member's run as this member knows it.
#[derive(Clone, Debug)]
pub(super) struct Record {
    pub(super) member: Member,
    pub(super) heartbeat: u32,
    /// Local time at which the heartbeat last advanced.
    pub(super) last_advanced: Duration,
    /// Suspected by this member if it judges by heartbeat, else by the member's relays.
    pub(super) suspect: bool,
    /// Local time since when the member counts as down.
    pub(super) down_since: Option<Duration>,
    pub(super) leaving: bool,
    pub(super) applied_generation: u64,
    /// Sequence number of the change that added the member.
    pub(super) introduced_sequence: u64,
    /// Sequence number of the last change of its status.
    pub(super) change_sequence: u64,
    /// Peer that reported the last change of status, which needn't be sent back to it.
    pub(super) change_source: Option<MemberId>,
    /// Local time until which the last change is sent ahead of others.
    pub(super) urgent_until: Duration,
    /// Arrival number of its last heartbeat.
    pub(super) heartbeat_arrival: u64,
    /// Peer that relayed its last heartbeat; `None` if the member sent it itself.
    pub(super) heartbeat_source: Option<MemberId>,
    pub(super) exchange: Exchange,
}

impl Record {
    pub(super) fn new(member: Member, now: Duration, sequence: u64) -> Self {
        Self {
            member,
            heartbeat: 0,
            last_advanced: now,
            suspect: false,
            down_since: None,
            leaving: false,
            applied_generation: 0,
            introduced_sequence: sequence,
            change_sequence: sequence,
            change_source: None,
            urgent_until: Duration::ZERO,
            heartbeat_arrival: 0,
            heartbeat_source: None,
            exchange: Exchange::default(),
        }
    }

    pub(super) fn status(&self) -> Status {
        Status {
            id: self.member.id(),
            heartbeat: self.heartbeat,
            applied_generation: self.applied_generation,
            leaving: self.leaving,
            suspect: self.suspect,
        }
    }

    pub(super) fn introduction(&self) -> Introduction {
        Introduction { member: self.member.clone(), status: self.status() }
    }

    pub(super) fn state(&self, now: Duration, gone_after: Duration) -> MemberState {
        match self.down_since {
            Some(since) if now.saturating_sub(since) >= gone_after => MemberState::Gone,
            Some(_) => MemberState::Suspect,
            None if self.leaving => MemberState::Leaving,
            None => MemberState::Live,
        }
    }
}
