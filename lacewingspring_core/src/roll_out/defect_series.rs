//! Responses in all scopes for one defect.

use std::{collections::BTreeMap, sync::Arc};

use super::{
    rates::Rate,
    sample::Sample,
    series::{Expected, Finding, Series},
    stage::{Defect, Evidence, Scope},
};

/// Load above which responses are also compared by themselves, as a fraction of slots in use.
const HIGH_LOAD: f64 = 0.5;

/// Prior for the rate of bad responses of other versions: 1%, with the weight of 50 responses.
const USUAL: Rate = Rate::new(50.0, 0.5);

/// Weight, in responses, of the rate of the total as the prior for a single scope.
const TOTAL_WEIGHT: f64 = 50.0;

/// Weight, in responses, of the rate of the total as the prior for one half of the load.
const LOAD_WEIGHT: f64 = 20.0;

/// Responses of both versions under one half of the load.
#[derive(Clone, Copy, Debug, Default)]
struct LoadHalf {
    target_responses: f64,
    old: Rate,
}

/// Responses in all scopes for one defect.
#[derive(Debug)]
pub(super) struct DefectSeries {
    defect: Defect,
    total: Series,
    high_load: Series,
    routes: BTreeMap<Arc<str>, Series>,
    halves: [LoadHalf; 2],
}

impl DefectSeries {
    /// Continues from the responses that an earlier holder counted.
    pub fn inherited(defect: Defect, target: Rate, old: Rate) -> Self {
        Self {
            defect,
            total: Series::inherited(target, old),
            high_load: Series::default(),
            routes: BTreeMap::new(),
            halves: [LoadHalf::default(); 2],
        }
    }

    pub const fn total(&self) -> &Series {
        &self.total
    }

    pub const fn high_load(&self) -> &Series {
        &self.high_load
    }

    pub fn route(&self, route: &str) -> Option<&Series> {
        self.routes.get(route)
    }

    /// Adds responses that another holder counted.
    pub fn add(&mut self, target: Rate, old: Rate) {
        self.total.add(target, old);
    }

    pub fn record(&mut self, sample: &Sample, is_bad: bool) {
        let at = sample.sent_at;
        let is_high = sample.load > HIGH_LOAD;
        self.total.record(at, sample.is_target, is_bad);
        if is_high {
            self.high_load.record(at, sample.is_target, is_bad);
        }
        let route = self.routes.entry(Arc::clone(&sample.route)).or_default();
        route.record(at, sample.is_target, is_bad);
        let half = &mut self.halves[usize::from(is_high)];
        if sample.is_target {
            half.target_responses += 1.0;
        } else {
            half.old = half.old.plus(Rate::new(1.0, if is_bad { 1.0 } else { 0.0 }));
        }
    }

    /// Returns how much more often other versions would be bad with as much of their work under
    /// high load as the target has; at least 1.
    fn load_factor(&self) -> f64 {
        let [low, high] = self.halves;
        let total = low.old.plus(high.old).plus(USUAL);
        let portion = |half: LoadHalf| half.old.plus(total.scaled_to(LOAD_WEIGHT)).portion();
        let target_responses = (low.target_responses + high.target_responses).max(1.0);
        let high_part = high.target_responses / target_responses;
        let expected = high_part * portion(high) + (1.0 - high_part) * portion(low);
        (expected / total.portion()).max(1.0)
    }

    /// Returns the strongest evidence against the target in any scope. The `running` requests at it
    /// count as good ones; the portions of bad responses must differ by `min_difference`.
    pub fn worst(&self, running: u32, min_difference: f64) -> Option<Evidence> {
        let expected = |usual, load_factor, series: &Series| {
            let part = series.target().responses / self.total.target().responses.max(1.0);
            let running = f64::from(running) * part;
            Expected { usual, load_factor, running, min_difference }
        };
        let load_factor = self.load_factor();
        let usual = self.total.old().plus(USUAL).scaled_to(TOTAL_WEIGHT);
        let total = self.total.worst(expected(USUAL, load_factor, &self.total));
        let high_load = self.high_load.worst(expected(usual, 1.0, &self.high_load));
        let routes = self.routes.iter().map(|(route, series)| {
            let finding = series.worst(expected(usual, load_factor, series));
            (Scope::Route(Arc::clone(route)), finding)
        });
        let scopes =
            [(Scope::Total, total), (Scope::HighLoad, high_load)].into_iter().chain(routes);
        let found = scopes.filter_map(|(scope, finding)| Some((scope, finding?)));
        let worst = found.max_by(|a, b| a.1.log_ratio.total_cmp(&b.1.log_ratio));
        worst.map(|(scope, finding)| self.evidence(scope, finding))
    }

    fn evidence(&self, scope: Scope, finding: Finding) -> Evidence {
        Evidence {
            defect: self.defect,
            scope,
            target_responses: finding.target.responses as u64,
            target_bad: finding.target.bad as u64,
            old_responses: finding.old.responses as u64,
            old_bad: finding.old.bad as u64,
            log_ratio: finding.log_ratio,
        }
    }
}
