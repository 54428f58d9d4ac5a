//! Which software versions may run the requests of one service while a roll-out is in progress or
//! versions are barred.

use std::{collections::BTreeSet, time::Duration};

use super::{
    queue::WaitingRequest,
    upstream::UpstreamInfo,
    version_samples::VersionSamples,
    work::{End, SlotRequest, Ticket},
};
use crate::{
    names::{SoftwareVersion, UpstreamName},
    roll_out::{Block, GrantedRequest, RollOut},
};

/// How a roll-out in progress divides the requests of its service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VersionUse {
    /// The target gets only the requests that [`RollOut::takes`] gives to it, within its block.
    Observing,
    /// New requests go to the target, or to the other versions if it has too few usable slots.
    Shifting,
    /// Requests go to the target only.
    TargetOnly,
}

/// Software versions among whose upstreams one is chosen for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum VersionSet {
    /// All that are not barred.
    Any,
    /// The target.
    Target,
    /// The target; the upstream with the most requests comes first, so that few get many.
    PackedTarget,
    /// The other versions.
    Old,
}

/// Whether the usable upstreams of the target have slots for the requests of the service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum TargetRoom {
    /// There is no usable slot.
    None,
    /// There are no more slots than running requests, and fewer than the other versions have.
    TooLittle,
    /// There is as much as the service had before.
    Enough,
}

impl TargetRoom {
    /// Judges the slots of the target. An overloaded service has more requests than slots; as many
    /// as the other versions have are enough, or the old upstreams would never drain.
    pub fn of(target_slots: u32, old_slots: u32, running: u32) -> Self {
        if target_slots == 0 {
            Self::None
        } else if target_slots <= running && target_slots < old_slots {
            Self::TooLittle
        } else {
            Self::Enough
        }
    }
}

/// A roll-out in progress that this gate holds.
#[derive(Debug)]
pub(super) struct ActiveRollOut {
    pub roll_out: RollOut,
    pub version_use: VersionUse,
    /// Time until which the target may be used; the holder extends it while it is the gate.
    pub held_until: Duration,
    /// Rest of the block of requests that the store reserves for the target.
    block: Option<Block>,
    pub samples: VersionSamples,
}

impl ActiveRollOut {
    fn has_block(&self, now: Duration) -> bool {
        self.block.is_some_and(|block| block.size > 0 && now < block.expires_at)
    }

    fn is_held(&self, now: Duration) -> bool {
        now < self.held_until
    }

    fn is_target(&self, software: &SoftwareVersion) -> bool {
        *software == self.roll_out.order().target
    }

    fn takes(&self, now: Duration, request: &SlotRequest) -> bool {
        self.has_block(now) && self.roll_out.takes(now, &request.class)
    }
}

/// The versions of one service that may be used.
#[derive(Debug, Default)]
pub(super) struct VersionChoice {
    /// Versions that get nothing.
    pub barred: BTreeSet<SoftwareVersion>,
    pub active: Option<ActiveRollOut>,
}

impl VersionChoice {
    /// Begins or continues to hold a roll-out.
    pub fn hold(&mut self, roll_out: RollOut, version_use: VersionUse) {
        self.active = Some(ActiveRollOut {
            roll_out,
            version_use,
            held_until: Duration::ZERO,
            block: None,
            samples: VersionSamples::default(),
        });
    }

    /// Allows requests to the target that were reserved in the store.
    pub fn open_block(&mut self, block: Block) {
        let Some(active) = &mut self.active else { return };
        active.block = Some(block);
        active.roll_out.open_block(block);
    }

    /// Returns whether no upstream is excluded.
    pub fn is_trivial(&self) -> bool {
        self.active.is_none() && self.barred.is_empty()
    }

    /// Returns whether a version belongs to a set.
    pub fn contains(&self, set: VersionSet, software: &SoftwareVersion) -> bool {
        if self.is_trivial() {
            return true;
        }
        let is_target = self.active.as_ref().is_some_and(|active| active.is_target(software));
        let is_in_set = match set {
            VersionSet::Any => true,
            VersionSet::Target | VersionSet::PackedTarget => is_target,
            VersionSet::Old => !is_target,
        };
        is_in_set && !self.barred.contains(software)
    }

    /// Returns the sets in which a slot for a request is looked for, in this order.
    pub fn search_order<F>(
        &self,
        now: Duration,
        request: &SlotRequest,
        target_room: F,
    ) -> [Option<VersionSet>; 2]
    where
        F: Fn() -> TargetRoom,
    {
        let Some(active) = &self.active else { return [Some(VersionSet::Any), None] };
        let resumes_target = request.software.as_ref().map(|software| active.is_target(software));
        match active.version_use {
            VersionUse::Observing => match resumes_target {
                Some(true) => [Some(VersionSet::Target).filter(|_| active.has_block(now)), None],
                Some(false) => [Some(VersionSet::Old), None],
                None if active.takes(now, request) => {
                    [Some(VersionSet::PackedTarget), Some(VersionSet::Old)]
                }
                None => [Some(VersionSet::Old), None],
            },
            VersionUse::Shifting if !active.is_held(now) => [Some(VersionSet::Old), None],
            VersionUse::Shifting => match resumes_target {
                Some(false) => [Some(VersionSet::Old), None],
                Some(true) => [Some(VersionSet::Target), None],
                None => match target_room() {
                    TargetRoom::None => [Some(VersionSet::Old), None],
                    TargetRoom::TooLittle => [Some(VersionSet::Target), Some(VersionSet::Old)],
                    TargetRoom::Enough => [Some(VersionSet::Target), None],
                },
            },
            VersionUse::TargetOnly => {
                [Some(VersionSet::Target).filter(|_| active.is_held(now)), None]
            }
        }
    }

    /// Returns whether an upstream of a version may run a request, now or when it has waited.
    pub fn may_run(
        &self,
        now: Duration,
        software: &SoftwareVersion,
        request: &SlotRequest,
    ) -> bool {
        if self.barred.contains(software) {
            return false;
        }
        let Some(active) = &self.active else { return true };
        let is_target = active.is_target(software);
        match active.version_use {
            VersionUse::Observing if is_target => {
                request.software.is_some() || active.takes(now, request)
            }
            VersionUse::Observing => true,
            VersionUse::Shifting => !is_target || active.is_held(now),
            VersionUse::TargetOnly => is_target,
        }
    }

    /// Returns whether the upstreams of a version serve most requests at present.
    pub fn serves(&self, now: Duration, software: &SoftwareVersion) -> bool {
        if self.is_trivial() {
            return true;
        }
        let set = match &self.active {
            None => VersionSet::Any,
            Some(active) => match active.version_use {
                VersionUse::Shifting if active.is_held(now) => VersionSet::Target,
                VersionUse::TargetOnly => VersionSet::Target,
                VersionUse::Observing | VersionUse::Shifting => VersionSet::Old,
            },
        };
        self.contains(set, software)
    }

    /// Records that a request was granted a slot at an upstream, of whose slots the fraction
    /// `slot_use` is in use.
    pub fn record_grant(
        &mut self,
        now: Duration,
        waiting: &WaitingRequest,
        info: &UpstreamInfo,
        prefill_tokens: u32,
        slot_use: f64,
    ) {
        let Some(active) = &mut self.active else { return };
        let request = &waiting.request;
        let is_target = active.is_target(&info.software);
        if let Some(block) = active.block.as_mut().filter(|_| is_target) {
            block.size = block.size.saturating_sub(1);
        }
        let is_repeat = request.sends > 0 || request.is_resumed();
        let granted = GrantedRequest { is_target, route: request.class.clone(), is_repeat };
        active.roll_out.record_grant(now, &granted);
        active.samples.begin(now, waiting, info, is_target, prefill_tokens, slot_use);
    }

    /// Records that the first event of a run arrived `took` after its send.
    pub fn record_first_output(&mut self, ticket: Ticket, took: Duration) {
        if let Some(active) = &mut self.active {
            active.samples.record_first_output(ticket, took);
        }
    }

    /// Records that the upstream answers a run with a status that is an error of its own.
    pub fn record_error_status(&mut self, ticket: Ticket, status: u16) {
        if let Some(active) = &mut self.active {
            active.samples.record_error_status(ticket, status);
        }
    }

    /// Passes the end of a run on as a sample.
    pub fn record_end(&mut self, now: Duration, ticket: Ticket, end: End) {
        let Some(active) = &mut self.active else { return };
        if let Some(sample) = active.samples.end(now, ticket, end) {
            active.roll_out.record_sample(now, sample);
        }
    }

    /// Forgets a run whose end is not known.
    pub fn forget_run(&mut self, ticket: Ticket) {
        if let Some(active) = &mut self.active {
            active.samples.forget(ticket);
        }
    }

    /// Replaces the times until which new upstreams stay slow.
    pub fn set_cold<I>(&mut self, cold: I)
    where
        I: Iterator<Item = (UpstreamName, Duration)>,
    {
        if let Some(active) = &mut self.active {
            active.samples.cold_until = cold.collect();
        }
    }
}
