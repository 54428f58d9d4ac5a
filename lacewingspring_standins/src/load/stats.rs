//! Counts and latency histograms of outcomes, by tier and workspace.

use std::{collections::BTreeMap, time::Duration};

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

use super::{
    arrivals::Arrival,
    outcome::{Outcome, Verdict},
    scenario::{Deployment, Tier},
};

/// Significant decimal digits that the histograms keep.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Microseconds in a millisecond.
const US_PER_MS: f64 = 1_000.0;

/// Percentiles at which a curve has its points.
const CURVE_PERCENTILES: [f64; 17] = [
    1.0, 5.0, 10.0, 20.0, 30.0, 40.0, 50.0, 60.0, 70.0, 80.0, 85.0, 90.0, 95.0, 97.0, 98.0, 99.0,
    99.9,
];

/// Tier, or tier and workspace, whose requests are counted together.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct GroupName {
    /// Rank of the tier.
    pub rank: u8,
    /// Name of the tier.
    pub tier: String,
    /// Name of the workspace; `None` for all workspaces of the tier.
    pub workspace: Option<String>,
}

/// Counts of a group, and histograms of its times in microseconds.
struct GroupStats {
    counts: Counts,
    first_token: Histogram<u64>,
    token_gaps: Histogram<u64>,
}

/// Number of requests of a group, by outcome.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Requests that arrived.
    pub offered: u64,
    /// Requests with a complete, expected response.
    pub answered: u64,
    /// Answered requests whose first token met the target of the tier.
    pub in_time: u64,
    /// Requests that were refused and did not run.
    pub refused: u64,
    /// Requests whose response was lost.
    pub may_have_run: u64,
    /// Requests whose response did not match them.
    pub wrong: u64,
    /// Requests that the caller gave up at their deadline.
    pub abandoned: u64,
}

impl Counts {
    /// Responses in time, in percent of the offered requests.
    pub fn goodput_percent(&self) -> f64 {
        100.0 * self.in_time as f64 / self.offered.max(1) as f64
    }
}

/// Percentiles of a duration, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Percentiles {
    /// Median.
    pub p50: f64,
    /// 95th percentile.
    pub p95: f64,
    /// 99th percentile.
    pub p99: f64,
}

/// Point of a percentile curve.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct CurvePoint {
    /// Percentile, 0 to 100.
    pub percentile: f64,
    /// Duration at that percentile, in milliseconds.
    pub ms: f64,
}

/// Measurements of a group.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct GroupReport {
    /// Tier and workspace of the group.
    pub name: GroupName,
    /// Number of requests, by outcome.
    pub counts: Counts,
    /// Responses in time, in percent of the offered requests.
    pub goodput_percent: f64,
    /// Time to first token of answered requests.
    pub first_token: Percentiles,
    /// Time between consecutive tokens of answered requests.
    pub between_tokens: Percentiles,
    /// Percentile curve of the time to first token.
    pub first_token_curve: Vec<CurvePoint>,
}

/// Collects outcomes by tier, and by tier and workspace.
pub struct Stats<'a> {
    deployment: &'a Deployment,
    groups: BTreeMap<GroupName, GroupStats>,
}

impl<'a> Stats<'a> {
    /// Creates an empty collection.
    pub fn new(deployment: &'a Deployment) -> Self {
        Self { deployment, groups: BTreeMap::new() }
    }

    /// Adds an outcome to the group of its tier and to that of its tier and workspace.
    pub fn add(&mut self, arrival: &Arrival, outcome: &Outcome) {
        let class = &self.deployment.classes[arrival.class];
        let Ok(tier) = self.deployment.tier(&class.tier) else { return };
        let workspace = self.deployment.workspaces[arrival.workspace].name.clone();
        for workspace in [None, Some(workspace)] {
            let name = GroupName { rank: tier.rank, tier: tier.name.clone(), workspace };
            self.groups.entry(name).or_insert_with(GroupStats::new).add(outcome, tier);
        }
    }

    /// Returns the measurements of all groups, ordered by the rank of the tier.
    pub fn report(&self) -> Vec<GroupReport> {
        self.groups.iter().map(|(name, group)| group.report(name)).collect()
    }
}

impl GroupStats {
    fn new() -> Self {
        let histogram =
            || Histogram::new(SIGNIFICANT_DIGITS).expect("valid number of significant digits");
        Self { counts: Counts::default(), first_token: histogram(), token_gaps: histogram() }
    }

    fn add(&mut self, outcome: &Outcome, tier: &Tier) {
        let counts = &mut self.counts;
        counts.offered += 1;
        match outcome.verdict {
            Verdict::Answered => counts.answered += 1,
            Verdict::Wrong => counts.wrong += 1,
            Verdict::Refused => counts.refused += 1,
            Verdict::MayHaveRun => counts.may_have_run += 1,
            Verdict::Abandoned => counts.abandoned += 1,
        }
        if outcome.verdict != Verdict::Answered {
            return;
        }
        if let Some(first) = outcome.first_token {
            counts.in_time += u64::from(first <= Duration::from_millis(tier.first_token_ms));
            record(&mut self.first_token, first);
        }
        outcome.gaps.iter().for_each(|gap| record(&mut self.token_gaps, *gap));
    }

    fn report(&self, name: &GroupName) -> GroupReport {
        let point =
            |percentile| CurvePoint { percentile, ms: ms_at(&self.first_token, percentile) };
        GroupReport {
            name: name.clone(),
            counts: self.counts,
            goodput_percent: self.counts.goodput_percent(),
            first_token: percentiles(&self.first_token),
            between_tokens: percentiles(&self.token_gaps),
            first_token_curve: CURVE_PERCENTILES.map(point).to_vec(),
        }
    }
}

/// Computes percentiles in milliseconds from a histogram of microseconds.
pub fn percentiles(histogram: &Histogram<u64>) -> Percentiles {
    let at = |percentile| ms_at(histogram, percentile);
    Percentiles { p50: at(50.0), p95: at(95.0), p99: at(99.0) }
}

/// Records a duration in a histogram of microseconds.
pub fn record(histogram: &mut Histogram<u64>, time: Duration) {
    let recorded = histogram.record(time.as_micros() as u64);
    recorded.expect("histogram resizes to fit any value");
}

fn ms_at(histogram: &Histogram<u64>, percentile: f64) -> f64 {
    histogram.value_at_percentile(percentile) as f64 / US_PER_MS
}
