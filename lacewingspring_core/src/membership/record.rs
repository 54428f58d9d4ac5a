//! What this member knows of another.

use std::time::Duration;

use super::{
    digest::{Introduction, Member, MemberId, Status},
    view::MemberState,
};

/// State of the exchange with one peer.
#[derive(Clone, Debug, Default)]
pub(super) struct Exchange {
    /// Own changes up to this number are known to the peer.
    pub(super) acknowledged: u64,
    /// The peer's changes up to this number are known here.
    pub(super) received: u64,
    /// Heartbeats up to this number were sent to the peer.
    pub(super) beats_sent: u64,
    /// Time of the last digest from the peer.
    pub(super) last: Option<Duration>,
    /// Runs that the peer asked for.
    pub(super) wanted: Vec<MemberId>,
}

/// What this member knows of one run of a member.
#[derive(Clone, Debug)]
pub(super) struct Record {
    pub(super) member: Member,
    pub(super) heartbeat: u32,
    /// Local time at which the heartbeat last advanced.
    pub(super) advanced: Duration,
    /// Own judgement for members judged by heartbeat, the relays' verdict for others.
    pub(super) suspect: bool,
    /// Time since when the member is held to be down.
    pub(super) down_since: Option<Duration>,
    pub(super) leaving: bool,
    pub(super) applied_generation: u64,
    /// Number of the change that introduced the member here.
    pub(super) introduced: u64,
    /// Number of its last change of status.
    pub(super) changed: u64,
    /// Peer that told the last change of status.
    pub(super) changed_source: Option<MemberId>,
    /// Time until which the last change is sent ahead of others.
    pub(super) urgent_until: Duration,
    /// Number of its last heartbeat in the order of arrival here.
    pub(super) beat: u64,
    /// Peer that told its last heartbeat.
    pub(super) beat_source: Option<MemberId>,
    pub(super) exchange: Exchange,
}

impl Record {
    pub(super) fn new(member: Member, now: Duration, sequence: u64) -> Self {
        Self {
            member,
            heartbeat: 0,
            advanced: now,
            suspect: false,
            down_since: None,
            leaving: false,
            applied_generation: 0,
            introduced: sequence,
            changed: sequence,
            changed_source: None,
            urgent_until: Duration::ZERO,
            beat: 0,
            beat_source: None,
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
