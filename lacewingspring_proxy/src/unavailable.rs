//! Upstreams to which this instance must send no new requests: those that the registry shows as
//! draining or gone, and those that announced in their responses that they leave or want a pause.
//!
//! A gate may not know of either yet, or be cut off from the platform, and grant a slot there.

use std::{
    collections::{BTreeSet, HashMap},
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
struct KnownUpstream {
    /// Start of its process in Unix milliseconds; `None` if its entry has not been read.
    started_at_ms: Option<u64>,
    registration: Registration,
    /// Whether this process of it announced that it leaves, or was registered as draining. Such a
    /// process does not come back, whatever an older copy of its entry says.
    has_left: bool,
    /// End of the pause that it asked for.
    paused_until: Duration,
}

impl KnownUpstream {
    /// Returns why it gets no requests although its entry may show it as ready.
    fn withheld(&self, now: Duration) -> Option<Unavailable> {
        if self.has_left {
            return Some(Unavailable::Leaving);
        }
        (self.paused_until > now).then_some(Unavailable::Paused)
    }

    /// Returns whether a gate that knows its entry grants slots there.
    fn is_used_by_gate(&self) -> bool {
        self.registration != Registration::Leaving
    }
}

#[derive(Debug, Default)]
struct State {
    known: HashMap<UpstreamName, KnownUpstream>,
    /// Upstreams whose entry does not tell that they get no requests, or did not until lately.
    withheld: BTreeSet<UpstreamName>,
}

/// Upstreams that get no new requests from this instance.
#[derive(Debug, Default)]
pub struct UnavailableUpstreams(Mutex<State>);

impl UnavailableUpstreams {
    fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Applies a change of the registered upstreams.
    ///
    /// An announcement outlives it, also if the upstream's entry was gone for a while, until another
    /// process of that name registers.
    pub fn update(&self, upstreams: &[UpstreamInfo]) {
        let mut state = self.state();
        let State { known, withheld } = &mut *state;
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
                *upstream = KnownUpstream::default();
            }
            upstream.started_at_ms = Some(info.started_at_ms);
            upstream.has_left |= info.draining;
            upstream.registration =
                if info.draining { Registration::Leaving } else { Registration::Ready };
            if upstream.has_left && !info.draining {
                withheld.insert(info.name.clone());
            }
        }
        withheld.retain(|name| known.get(name).is_some_and(KnownUpstream::is_used_by_gate));
    }

    /// Records that an upstream said that it leaves; returns whether that is new.
    pub fn record_leaving(&self, name: &UpstreamName) -> bool {
        let mut state = self.state();
        state.withheld.insert(name.clone());
        let upstream = state.known.entry(name.clone()).or_default();
        !std::mem::replace(&mut upstream.has_left, true)
    }

    /// Records at `now` that an upstream asked for a pause; a longer one stays in force.
    pub fn record_pause(&self, now: Duration, name: &UpstreamName, pause: Duration) {
        let mut state = self.state();
        state.withheld.insert(name.clone());
        let upstream = state.known.entry(name.clone()).or_default();
        upstream.paused_until = upstream.paused_until.max(now + pause);
    }

    /// Returns why an upstream gets no new requests; `None` if it may get them.
    pub fn reason(&self, now: Duration, name: &UpstreamName) -> Option<Unavailable> {
        let state = self.state();
        let upstream = state.known.get(name)?;
        if upstream.is_used_by_gate() { upstream.withheld(now) } else { Some(Unavailable::Leaving) }
    }

    /// Returns the upstreams that get no new requests although their entries show them as ready;
    /// the gate may not know that.
    pub fn to_avoid(&self, now: Duration) -> Vec<UpstreamName> {
        let state = self.state();
        let is_withheld = |name: &&UpstreamName| {
            let known = state.known.get(*name).filter(|upstream| upstream.is_used_by_gate());
            known.is_some_and(|upstream| upstream.withheld(now).is_some())
        };
        state.withheld.iter().filter(is_withheld).cloned().collect()
    }
}
