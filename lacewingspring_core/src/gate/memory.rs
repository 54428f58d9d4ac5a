//! Parking for memory: which runs to park so that one upstream can hold a request.
//!
//! Parking the least loss of all upstreams would free a little memory on each of them and room for
//! a large request on none.

use super::{
    fleet::Fleet,
    parking::ParkKey,
    run::Run,
    upstream::{Need, Upstream},
    view::Opening,
};

/// What one upstream lacks for a request.
#[derive(Clone, Debug)]
struct Lack {
    kv_tokens: u64,
    slot: bool,
    keys: Vec<ParkKey>,
}

impl Lack {
    fn of(upstream: &Upstream, need: &Need) -> Self {
        let view = upstream.view();
        let needed = need.kv_tokens.min(upstream.spec.kv_tokens);
        Self {
            kv_tokens: needed.saturating_sub(view.kv_free),
            slot: view.opening == Opening::Closed,
            keys: Vec::new(),
        }
    }

    fn free(&mut self, run: &Run) {
        self.kv_tokens = self.kv_tokens.saturating_sub(run.load.kv_tokens);
        self.slot = false;
    }

    fn is_none(&self) -> bool {
        self.kv_tokens == 0 && !self.slot
    }
}

/// What each upstream lacks for a request; none for one that can't take it.
#[derive(Debug)]
pub(super) struct Shortfall {
    lacks: Vec<Option<Lack>>,
}

impl Shortfall {
    /// Works out what is lacking now. Upstreams with a long prefill in flight are left out when
    /// the request's own is `bounded`.
    pub fn new(fleet: &Fleet, need: &Need, bounded: bool) -> Self {
        let lacks = fleet.upstreams().iter().map(|upstream| {
            let closed = bounded && upstream.view().has_long_prefill(need.rank);
            (upstream.is_healthy() && !closed).then(|| Lack::of(upstream, need))
        });
        Self { lacks: lacks.collect() }
    }

    /// Counts a run that was told to park; true when its upstream then lacks nothing.
    pub fn ordered(&mut self, fleet: &Fleet, run: &Run) -> bool {
        self.lack(fleet, run).is_some_and(|lack| {
            lack.free(run);
            lack.is_none()
        })
    }

    /// Counts a run that could be parked; returns the runs of its upstream to park once it would
    /// lack nothing.
    pub fn candidate(&mut self, fleet: &Fleet, run: &Run, key: ParkKey) -> Option<Vec<ParkKey>> {
        let lack = self.lack(fleet, run)?;
        lack.free(run);
        lack.keys.push(key);
        lack.is_none().then(|| std::mem::take(&mut lack.keys))
    }

    fn lack(&mut self, fleet: &Fleet, run: &Run) -> Option<&mut Lack> {
        let number = fleet.number(&run.upstream)?;
        self.lacks.get_mut(number)?.as_mut()
    }
}
