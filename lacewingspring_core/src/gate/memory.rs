//! Selection of runs to park so that one upstream has the KV memory for a request.
//!
//! Parking the runs with the least loss of all upstreams would free a little memory on each of them
//! and enough for a large request on none.

use super::{
    fleet::Fleet,
    parking::ParkKey,
    run::Run,
    upstream::{Demand, Upstream},
    view::Availability,
};

/// Resources that one upstream lacks for a request, and the runs to park for them.
#[derive(Clone, Debug)]
struct Shortfall {
    kv_tokens: u64,
    needs_slot: bool,
    keys: Vec<ParkKey>,
}

impl Shortfall {
    fn of(upstream: &Upstream, demand: &Demand) -> Self {
        let view = upstream.view();
        let needed = demand.kv_tokens.min(upstream.spec.kv_tokens);
        Self {
            kv_tokens: needed.saturating_sub(view.kv_free),
            needs_slot: view.availability == Availability::Closed,
            keys: Vec::new(),
        }
    }

    fn subtract(&mut self, run: &Run) {
        self.kv_tokens = self.kv_tokens.saturating_sub(run.load.kv_tokens);
        self.needs_slot = false;
    }

    fn is_covered(&self) -> bool {
        self.kv_tokens == 0 && !self.needs_slot
    }
}

/// Shortfall of each upstream for a request; `None` for an upstream that cannot take it.
#[derive(Debug)]
pub(super) struct Shortfalls {
    by_upstream: Vec<Option<Shortfall>>,
}

impl Shortfalls {
    /// Calculates the current shortfalls. If a limit on long prefills applies to the request
    /// (`bounded`), upstreams with a long prefill of its tier or a higher one in flight are left
    /// out.
    pub fn new(fleet: &Fleet, demand: &Demand, bounded: bool) -> Self {
        let by_upstream = fleet.upstreams().iter().map(|upstream| {
            let closed = bounded && upstream.view().has_long_prefill(demand.rank);
            (upstream.is_healthy() && !closed).then(|| Shortfall::of(upstream, demand))
        });
        Self { by_upstream: by_upstream.collect() }
    }

    /// Subtracts a run that is being parked; returns true if its upstream then has enough.
    pub fn count_pending(&mut self, fleet: &Fleet, run: &Run) -> bool {
        self.shortfall_mut(fleet, run).is_some_and(|shortfall| {
            shortfall.subtract(run);
            shortfall.is_covered()
        })
    }

    /// Subtracts a run that could be parked; returns the runs to park if their upstream then has
    /// enough.
    pub fn count_candidate(
        &mut self,
        fleet: &Fleet,
        run: &Run,
        key: ParkKey,
    ) -> Option<Vec<ParkKey>> {
        let shortfall = self.shortfall_mut(fleet, run)?;
        shortfall.subtract(run);
        shortfall.keys.push(key);
        shortfall.is_covered().then(|| std::mem::take(&mut shortfall.keys))
    }

    fn shortfall_mut(&mut self, fleet: &Fleet, run: &Run) -> Option<&mut Shortfall> {
        let index = fleet.index_of(&run.upstream)?;
        self.by_upstream.get_mut(index)?.as_mut()
    }
}
