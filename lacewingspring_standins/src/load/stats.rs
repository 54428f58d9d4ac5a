//! Outcomes counted by tier and workspace.

use std::{collections::BTreeMap, time::Duration};

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

use super::{
    arrivals::Arrival,
    outcome::{Outcome, Verdict},
    scenario::{Deployment, Tier},
};

/// Significant digits of the histograms.
const DIGITS: u8 = 3;

/// Microseconds in a millisecond.
const US_PER_MS: f64 = 1_000.0;

/// Percentiles of a curve.
const CURVE: [f64; 17] = [
    1.0, 5.0, 10.0, 20.0, 30.0, 40.0, 50.0, 60.0, 70.0, 80.0, 85.0, 90.0, 95.0, 97.0, 98.0, 99.0,
    99.9,
];

/// Requests that are counted together.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct GroupName {
    /// Rank of the tier.
    pub rank: u8,
    /// Tier.
    pub tier: String,
    /// Workspace; none for all of the tier.
    pub workspace: Option<String>,
}

/// Counts and times of a group.
struct Group {
    counts: Counts,
    first_token: Histogram<u64>,
    between: Histogram<u64>,
}

/// Counts of a group.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Requests that arrived.
    pub offered: u64,
    /// Requests answered whole.
    pub answered: u64,
    /// Those whose first token was within the target of the tier.
    pub in_time: u64,
    /// Requests refused and not run.
    pub refused: u64,
    /// Requests whose answer was lost.
    pub may_have_run: u64,
    /// Requests whose answer was not the one to them.
    pub wrong: u64,
    /// Requests whose caller gave up at its deadline.
    pub abandoned: u64,
}

impl Counts {
    /// Answers in time, in percent of the requests.
    pub fn goodput_percent(&self) -> f64 {
        100.0 * self.in_time as f64 / self.offered.max(1) as f64
    }
}

/// Percentiles of a time, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Percentiles {
    /// Median.
    pub p50: f64,
    /// 95th percentile.
    pub p95: f64,
    /// 99th percentile.
    pub p99: f64,
}

/// Point of a curve.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Point {
    /// Percentile.
    pub percentile: f64,
    /// Time, in milliseconds.
    pub ms: f64,
}

/// What was measured of a group.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct GroupReport {
    /// Group.
    pub name: GroupName,
    /// Counts.
    pub counts: Counts,
    /// Answers in time, in percent of the requests.
    pub goodput_percent: f64,
    /// Time to the first token of whole answers.
    pub first_token: Percentiles,
    /// Time between tokens of whole answers.
    pub between_tokens: Percentiles,
    /// Percentiles of the time to the first token.
    pub first_token_curve: Vec<Point>,
}

/// Outcomes counted by tier, and by tier and workspace.
pub struct Stats<'a> {
    deployment: &'a Deployment,
    groups: BTreeMap<GroupName, Group>,
}

impl<'a> Stats<'a> {
    /// Starts with nothing.
    pub fn new(deployment: &'a Deployment) -> Self {
        Self { deployment, groups: BTreeMap::new() }
    }

    /// Counts an outcome.
    pub fn add(&mut self, arrival: &Arrival, outcome: &Outcome) {
        let class = &self.deployment.classes[arrival.class];
        let Ok(tier) = self.deployment.tier(&class.tier) else { return };
        let workspace = self.deployment.workspaces[arrival.workspace].name.clone();
        for workspace in [None, Some(workspace)] {
            let name = GroupName { rank: tier.rank, tier: tier.name.clone(), workspace };
            self.groups.entry(name).or_insert_with(Group::new).add(outcome, tier);
        }
    }

    /// Returns what was measured, the highest tier first.
    pub fn report(&self) -> Vec<GroupReport> {
        self.groups.iter().map(|(name, group)| group.report(name)).collect()
    }
}

impl Group {
    fn new() -> Self {
        let histogram = || Histogram::new(DIGITS).expect("the digits are in range");
        Self { counts: Counts::default(), first_token: histogram(), between: histogram() }
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
        outcome.gaps.iter().for_each(|gap| record(&mut self.between, *gap));
    }

    fn report(&self, name: &GroupName) -> GroupReport {
        let point = |percentile| Point { percentile, ms: ms_at(&self.first_token, percentile) };
        GroupReport {
            name: name.clone(),
            counts: self.counts,
            goodput_percent: self.counts.goodput_percent(),
            first_token: percentiles(&self.first_token),
            between_tokens: percentiles(&self.between),
            first_token_curve: CURVE.map(point).to_vec(),
        }
    }
}

/// Percentiles of a histogram of microseconds.
pub fn percentiles(histogram: &Histogram<u64>) -> Percentiles {
    let at = |percentile| ms_at(histogram, percentile);
    Percentiles { p50: at(50.0), p95: at(95.0), p99: at(99.0) }
}

/// Records a time in microseconds.
pub fn record(histogram: &mut Histogram<u64>, time: Duration) {
    let fits = histogram.record(time.as_micros() as u64);
    fits.expect("the histogram grows");
}

fn ms_at(histogram: &Histogram<u64>, percentile: f64) -> f64 {
    histogram.value_at_percentile(percentile) as f64 / US_PER_MS
}
