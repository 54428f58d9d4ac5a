//! Choice of the upstream for a request.

use std::time::Duration;

use super::{Pool, SlotRequest, TargetRoom, UpstreamInfo, UpstreamName, UpstreamState, VersionSet};

/// Fraction of a request's remaining time that its answer may be expected to take. The margin is
/// wide because output lengths are known only roughly.
const MAX_ANSWER_TIME_FRACTION: f64 = 0.5;

/// Upstreams whose completion time exceeds that of the fastest by no more than this factor count as
/// fast.
const FASTEST_MARGIN_FACTOR: f64 = 1.2;

impl Pool {
    /// Chooses the upstream for a request, among the versions that may run it.
    pub(super) fn choose_upstream(
        &self,
        now: Duration,
        request: &SlotRequest,
    ) -> Option<UpstreamName> {
        let sets = self.versions.search_order(now, request, || self.target_room(now));
        sets.into_iter().flatten().find_map(|set| self.choose_among(now, request, set))
    }

    fn target_room(&self, now: Duration) -> TargetRoom {
        let slots_of = |set| {
            let is_in_set = |info: &&UpstreamInfo| self.versions.contains(set, &info.software);
            let upstreams = self.usable_upstreams(now).filter(is_in_set);
            upstreams.map(|info| info.slots).fold(0, u32::saturating_add)
        };
        let running = u32::try_from(self.runs.len()).unwrap_or(u32::MAX);
        TargetRoom::of(slots_of(VersionSet::Target), slots_of(VersionSet::Old), running)
    }

    /// Chooses an upstream among those of a set of versions.
    fn choose_among(
        &self,
        now: Duration,
        request: &SlotRequest,
        set: VersionSet,
    ) -> Option<UpstreamName> {
        let needed_tokens = request.work.memory_tokens();
        // The conditions are ordered by their cost, as under load most upstreams have no room.
        let limit = self.in_progress_limit(now);
        let open = self.upstreams.values().filter(|state| {
            state.has_room(now, limit.of(now, state), needed_tokens)
                && is_eligible(state, request)
                && self.versions.contains(set, &state.info.software)
                && self.takes_requests(now, &state.info.name)
        });
        let mut max_answer_ms = None;
        let candidates = open.filter(|state| {
            let completion_ms = state.completion_ms(now, &request.work);
            completion_ms <= longest_answer_ms(request)
                || completion_ms
                    <= *max_answer_ms.get_or_insert_with(|| self.max_answer_ms(now, request, set))
        });
        let costs = candidates.map(|state| (cost(state, now, request, set), &state.info.name));
        let best = costs.min_by(|a, b| a.0.total_cmp(&b.0).then_with(|| a.1.cmp(b.1)))?;
        Some(best.1.clone())
    }

    /// Returns the longest expected answer time, in milliseconds, with which an answer is likely to
    /// be complete before its request times out.
    ///
    /// An answer that is cut off before its end has used a slot for nothing. If all upstreams are
    /// too slow, those about as fast as the fastest are still allowed.
    fn max_answer_ms(&self, now: Duration, request: &SlotRequest, set: VersionSet) -> f64 {
        let usable = self.upstreams.values().filter(|state| {
            state.is_usable(now)
                && runs(state, request)
                && self.versions.contains(set, &state.info.software)
        });
        let fastest =
            usable.map(|state| state.completion_ms(now, &request.work)).min_by(f64::total_cmp);
        longest_answer_ms(request).max(fastest.unwrap_or_default() * FASTEST_MARGIN_FACTOR)
    }

    /// Keeps a request from some upstreams if another one has a free slot for it.
    pub(in crate::dispatch) fn avoid_if_others(
        &self,
        now: Duration,
        request: &mut SlotRequest,
        avoided: Vec<UpstreamName>,
    ) {
        let avoided_too = SlotRequest {
            avoid: request.avoid.iter().cloned().chain(avoided).collect(),
            ..request.clone()
        };
        if self.choose_upstream(now, &avoided_too).is_some() {
            *request = avoided_too;
        }
    }

    /// Returns whether any upstream may run a request, now or when it has waited.
    pub(super) fn has_upstream_for(&self, now: Duration, request: &SlotRequest) -> bool {
        self.upstreams.values().any(|state| {
            is_eligible(state, request) && self.versions.may_run(now, &state.info.software, request)
        })
    }

    /// Returns whether any upstream has a free slot.
    pub(super) fn has_free_slot(&self, now: Duration) -> bool {
        let limit = self.in_progress_limit(now);
        self.upstreams.values().any(|state| {
            state.has_slot(now, limit.of(now, state))
                && self.versions.contains(VersionSet::Any, &state.info.software)
                && self.takes_requests(now, &state.info.name)
        })
    }

    /// Returns whether an upstream takes another request now, by the limit that it named and as it
    /// may crash if it declines one.
    fn takes_requests(&self, now: Duration, upstream: &UpstreamName) -> bool {
        self.rate_limits.allows(now, self.fleet_share.slots, upstream)
            && !self.brittle.is_paused(now, upstream)
    }
}

/// Returns whether a request may be sent to an upstream, apart from its room and limits.
fn is_eligible(state: &UpstreamState, request: &SlotRequest) -> bool {
    !state.info.draining && !request.avoid.contains(&state.info.name) && runs(state, request)
}

/// Returns the cost by which an upstream is chosen, the lowest first.
fn cost(state: &UpstreamState, now: Duration, request: &SlotRequest, set: VersionSet) -> f64 {
    match set {
        VersionSet::PackedTarget => -f64::from(state.running),
        VersionSet::Any | VersionSet::Target | VersionSet::Old => state.cost_ms(now, request),
    }
}

/// Returns whether an upstream has the software version that must run a request.
fn runs(state: &UpstreamState, request: &SlotRequest) -> bool {
    request.software.as_ref().is_none_or(|software| *software == state.info.software)
}

/// Returns the longest expected answer time of a request, in milliseconds, at an upstream that is
/// not too slow for it.
fn longest_answer_ms(request: &SlotRequest) -> f64 {
    request.time_left.as_secs_f64() * 1_000.0 * MAX_ANSWER_TIME_FRACTION
}
