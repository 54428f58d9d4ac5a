//! Upstreams to which this instance must send no new requests: those that the registry shows as
//! draining or gone, and those that said so themselves in their responses.
//!
//! A gate may not know of either yet, or be cut off from the platform, and grant a slot there.

use std::{
    collections::HashMap,
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use lacewingspring_core::{
    dispatch::{End, UpstreamInfo},
    names::UpstreamName,
};

/// Number of known upstreams above which those that left are forgotten at the next update.
const MAX_NAMES: usize = 10_000;

/// Why an upstream gets no new requests from this instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unavailable {
    /// It is draining or no longer registered, or said that it leaves.
    Leaving,
    /// It asked for a pause.
    Paused,
}

impl Unavailable {
    /// Returns the name in logs.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Leaving => "leaving",
            Self::Paused => "paused",
        }
    }

    /// Returns the end of a slot that was granted at such an upstream.
    pub const fn end(self) -> End {
        match self {
            Self::Leaving => End::Leaving,
            Self::Paused => End::Unused,
        }
    }
}

/// What the registry of upstreams says of one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Registration {
    /// This instance has not read its entry yet.
    #[default]
    Unknown,
    /// It takes requests.
    Ready,
    /// It is draining, or its entry is gone.
    Leaving,
}

/// What this instance knows of one upstream.
#[derive(Debug, Default)]
struct Known {
    /// Start of its process in Unix milliseconds; `None` if its entry has not been read.
    started_at_ms: Option<u64>,
    registration: Registration,
    /// Whether this process of it was seen to leave, by its own word or as draining. A process that
    /// leaves does not come back, whatever an older copy of its entry says.
    has_left: bool,
    /// End of the pause that it asked for.
    paused_until: Duration,
}

impl Known {
    /// Returns why it gets no requests even if its entry shows it as ready.
    fn withheld(&self, now: Duration) -> Option<Unavailable> {
        if self.has_left {
            return Some(Unavailable::Leaving);
        }
        (self.paused_until > now).then_some(Unavailable::Paused)
    }
}

/// Upstreams that get no new requests from this instance.
#[derive(Debug, Default)]
pub struct UnavailableUpstreams(Mutex<HashMap<UpstreamName, Known>>);

impl UnavailableUpstreams {
    fn known(&self) -> MutexGuard<'_, HashMap<UpstreamName, Known>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Applies a change of the registered upstreams.
    ///
    /// What an upstream said outlives it, also if its entry was gone for a while, until another
    /// process of that name registers.
    pub fn update(&self, upstreams: &[UpstreamInfo]) {
        let mut known = self.known();
        if known.len() > MAX_NAMES {
            known.retain(|_, upstream| upstream.registration != Registration::Leaving);
        }
        for upstream in known.values_mut() {
            if upstream.registration != Registration::Unknown {
                upstream.registration = Registration::Leaving;
            }
        }
        for info in upstreams {
            let upstream = known.entry(info.name.clone()).or_default();
            if upstream.started_at_ms.is_some_and(|start| start != info.started_at_ms) {
                *upstream = Known::default();
            }
            upstream.started_at_ms = Some(info.started_at_ms);
            upstream.has_left |= info.draining;
            upstream.registration =
                if info.draining { Registration::Leaving } else { Registration::Ready };
        }
    }

    /// Records that an upstream said that it leaves; returns whether that is new.
    pub fn record_leaving(&self, name: &UpstreamName) -> bool {
        let mut known = self.known();
        let upstream = known.entry(name.clone()).or_default();
        !std::mem::replace(&mut upstream.has_left, true)
    }

    /// Records at `now` that an upstream asked for a pause; a longer one stays in force.
    pub fn record_pause(&self, now: Duration, name: &UpstreamName, pause: Duration) {
        let mut known = self.known();
        let upstream = known.entry(name.clone()).or_default();
        upstream.paused_until = upstream.paused_until.max(now + pause);
    }

    /// Returns why an upstream gets no new requests; `None` if it may get them.
    pub fn reason(&self, now: Duration, name: &UpstreamName) -> Option<Unavailable> {
        let known = self.known();
        let upstream = known.get(name)?;
        if upstream.registration == Registration::Leaving {
            return Some(Unavailable::Leaving);
        }
        upstream.withheld(now)
    }

    /// Returns the upstreams that get no new requests although their entries show them as ready;
    /// the gate may not know that.
    pub fn to_avoid(&self, now: Duration) -> Vec<UpstreamName> {
        let known = self.known();
        let withheld = known.iter().filter(|(_, upstream)| {
            upstream.registration != Registration::Leaving && upstream.withheld(now).is_some()
        });
        withheld.map(|(name, _)| name.clone()).collect()
    }
}
