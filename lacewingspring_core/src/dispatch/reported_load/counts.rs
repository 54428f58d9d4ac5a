//! Counts of load reports, for metrics.

use std::{iter::Sum, time::Duration};

use crate::dispatch::upstream_state::Run;

/// Load reports of upstreams, and how they were used.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReports {
    /// Reports received with a pace.
    pub received: u64,
    /// Of these, reports with implausible figures.
    pub ignored: u64,
    /// Grants of slots at upstreams that had reported their load.
    pub used: u64,
    /// Sum of the ages of the reports at these grants.
    pub age_at_use: Duration,
    /// First events whose time was predicted from a report.
    pub predicted: u64,
    /// Sum of the absolute differences between predicted and actual times to the first event.
    pub error: Duration,
}

impl LoadReports {
    /// Counts a grant at an upstream whose newest report has this age; `None` if it has none.
    pub(in crate::dispatch) fn count_use(&mut self, age: Option<Duration>) {
        let Some(age) = age else { return };
        self.used += 1;
        self.age_at_use += age;
    }

    /// Counts the first event of a run, `took` after its send.
    pub(in crate::dispatch) fn count_prediction(&mut self, run: &Run, took: Duration) {
        let Some(expected) = run.forecast.first_output.filter(|_| !run.has_output) else { return };
        self.predicted += 1;
        self.error += expected.abs_diff(took);
    }
}

impl Sum for LoadReports {
    fn sum<I>(counts: I) -> Self
    where
        I: Iterator<Item = Self>,
    {
        counts.fold(Self::default(), |sum, counts| Self {
            received: sum.received + counts.received,
            ignored: sum.ignored + counts.ignored,
            used: sum.used + counts.used,
            age_at_use: sum.age_at_use + counts.age_at_use,
            predicted: sum.predicted + counts.predicted,
            error: sum.error + counts.error,
        })
    }
}
