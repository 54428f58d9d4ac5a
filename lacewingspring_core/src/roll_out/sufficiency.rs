//! Whether the responses of the target suffice to call it sound.

use super::{
    comparison::Comparison,
    defect_series::DefectSeries,
    route_grants::RouteGrants,
    series::Series,
    stage::{Defect, MissingEvidence, Scope},
};

/// Rule for the number of responses of the target that a scope needs.
#[derive(Clone, Copy, Debug)]
struct Need {
    /// Enough for any scope.
    most: f64,
    /// Part of the scope's requests that is enough if there are few.
    part: f64,
}

impl Need {
    fn of(self, requests: u64) -> f64 {
        (self.part * requests as f64).floor().min(self.most)
    }
}

/// With 40 responses, 10% of failures leave less than three with a probability of 0.22.
const TOTAL_NEED: Need = Need { most: 40.0, part: 0.2 };

/// With 12 responses, 30% of failures leave less than three with a probability of 0.25.
const ROUTE_NEED: Need = Need { most: 12.0, part: 0.15 };

/// Part of what the bound allows for each route that is enough if there are many routes.
const FAIR_PART: f64 = 0.5;

/// Responses under high load that are needed if the target will have more than half of its slots in
/// use.
const HIGH_LOAD_NEED: Need = Need { most: 8.0, part: 0.05 };

/// Part of the needed responses whose times must have been compared.
const TIMED_PART: f64 = 0.5;

/// Compared times of other versions in a scope from which on those of the target are needed. With
/// fewer there is no reference.
const MIN_TIMED_OLD: f64 = 10.0;

/// Responses that each side needs in total and on each route with traffic, however few requests
/// there are. Otherwise nothing can be compared: with fewer than 5 requests a part of 0.2 is none.
const MIN_RESPONSES: f64 = 3.0;

/// Scopes and responses that must suffice.
#[derive(Debug)]
pub(super) struct Sufficiency<'a> {
    pub comparison: &'a Comparison,
    pub routes: &'a RouteGrants,
    /// Requests of the service since the order.
    pub requests: u64,
    /// Requests that the target may have had by now.
    pub max_target_requests: u64,
    /// Responses of the target that an earlier holder counted. They were spread evenly over routes.
    pub inherited: u64,
    /// Whether the target will have more than half of its slots in use.
    pub expects_high_load: bool,
}

impl Sufficiency<'_> {
    /// Returns evidence that is missing.
    pub fn missing(&self) -> Option<MissingEvidence> {
        let total = self.missing_in(Scope::Total, TOTAL_NEED.of(self.requests), 0.0);
        let total = total.or_else(|| self.missing_floor(Scope::Total, self.requests, 0.0));
        total.or_else(|| self.missing_of_route()).or_else(|| self.missing_of_load())
    }

    fn missing_of_route(&self) -> Option<MissingEvidence> {
        let routes = self.routes.requests().count().max(1) as f64;
        let inherited = self.inherited as f64 / routes;
        let fair = (FAIR_PART * self.max_target_requests as f64 / routes).floor();
        let mut routes = self.routes.requests();
        routes.find_map(|(route, requests)| {
            let scope = Scope::Route(route.clone());
            let missing =
                self.missing_in(scope.clone(), ROUTE_NEED.of(requests).min(fair), inherited);
            missing.or_else(|| self.missing_floor(scope, requests, inherited))
        })
    }

    fn missing_of_load(&self) -> Option<MissingEvidence> {
        if !self.expects_high_load {
            return None;
        }
        let inherited = self.inherited as f64 * HIGH_LOAD_NEED.most / TOTAL_NEED.most;
        self.missing_in(Scope::HighLoad, HIGH_LOAD_NEED.of(self.requests), inherited)
    }

    /// Returns the responses of the target or of other versions that a comparison lacks in a scope
    /// with traffic.
    fn missing_floor(
        &self,
        scope: Scope,
        requests: u64,
        inherited: f64,
    ) -> Option<MissingEvidence> {
        if requests == 0 {
            return None;
        }
        let failures = series(&self.comparison.failures, &scope);
        let target = failures.map_or(0.0, |series| series.target().responses) + inherited;
        let old = failures.map_or(0.0, |series| series.old().responses) + inherited;
        let least = target.min(old);
        (least < MIN_RESPONSES).then_some(MissingEvidence {
            defect: Defect::Failures,
            scope,
            responses: least as u64,
            needed: MIN_RESPONSES as u64,
        })
    }

    fn missing_in(&self, scope: Scope, needed: f64, inherited: f64) -> Option<MissingEvidence> {
        let failures = series(&self.comparison.failures, &scope);
        let responses = failures.map_or(0.0, |series| series.target().responses);
        let slowness = series(&self.comparison.slowness, &scope);
        let timed = slowness.map_or(0.0, |series| series.target().responses);
        let timed_old = slowness.map_or(0.0, |series| series.old().responses);
        let needed_timed = (TIMED_PART * needed).floor();
        let (defect, responses, needed) = if responses + inherited < needed {
            (Defect::Failures, responses, needed)
        } else if timed_old >= MIN_TIMED_OLD && timed + inherited < needed_timed {
            (Defect::Slowness, timed, needed_timed)
        } else {
            return None;
        };
        let (responses, needed) = (responses as u64, needed as u64);
        Some(MissingEvidence { defect, scope, responses, needed })
    }
}

fn series<'a>(defect: &'a DefectSeries, scope: &Scope) -> Option<&'a Series> {
    match scope {
        Scope::Total => Some(defect.total()),
        Scope::HighLoad => Some(defect.high_load()),
        Scope::Route(route) => defect.route(route),
    }
}
