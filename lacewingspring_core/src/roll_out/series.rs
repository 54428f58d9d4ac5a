//! Responses of both versions in one scope, for one defect.

use std::{collections::VecDeque, time::Duration};

use super::rates::{Rate, log_ratio};

/// Smallest number of latest responses of the target that is judged; it doubles from there. A fault
/// that begins later is found among them.
const MIN_WINDOW: f64 = 8.0;

/// Time within which requests are sent whose responses are counted together.
const PERIOD: Duration = Duration::from_millis(250);

/// Periods that are kept, 30 s in all.
const MAX_PERIODS: usize = 120;

/// Weight, in responses, of the rate of the whole scope as the prior for one period.
const PERIOD_WEIGHT: f64 = 2.0;

/// Responses of the whole scope that count besides those of the target's periods, which are few
/// where the target gets its requests in bursts. Fewer miss versions that fail rarely in small
/// services; without a limit, failures of both versions at once roll back sound ones.
const PRIOR: f64 = 250.0;

/// Those that count if the other versions were worse in these periods than usual, as in an outage.
const OUTAGE_PRIOR: f64 = 10.0;

/// Evidence in one scope that the target is worse.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Finding {
    pub target: Rate,
    pub old: Rate,
    pub log_ratio: f64,
}

impl Finding {
    /// Lowers the evidence by the logarithm of the number of windows of its size, as one of them is
    /// bad by chance the more often the more there are.
    fn of_several(self, all: Rate) -> Self {
        let windows = (all.responses / self.target.responses).max(1.0);
        Self { log_ratio: self.log_ratio - windows.ln(), ..self }
    }
}

/// Bad responses that evidence needs at least, as single ones say nothing.
pub(super) const MIN_BAD: f64 = 3.0;

/// What is expected besides the responses of a series.
#[derive(Clone, Copy, Debug)]
pub(super) struct Expected {
    /// Rate that is expected of the other versions, which counts as responses of theirs.
    pub usual: Rate,
    /// How much more often the other versions would be bad under the target's load.
    pub load_factor: f64,
    /// Requests that run at the target.
    pub running: f64,
    /// Least difference between the portions of bad responses that is looked for.
    pub min_difference: f64,
}

/// Responses to requests sent in one period.
#[derive(Debug)]
struct Period {
    number: u128,
    target: Rate,
    old: Rate,
}

fn period_of(sent_at: Duration) -> u128 {
    sent_at.as_nanos() / PERIOD.as_nanos()
}

/// Responses of both versions to requests sent in the same periods.
#[derive(Clone, Copy, Debug, Default)]
struct Window {
    target: Rate,
    /// Sum of the rates of the other versions, each times the target's responses.
    weighted_portion: f64,
    /// Sum of the variances, apart from a common factor.
    variance: f64,
}

impl Window {
    fn add(&mut self, period: &Period, overall: Rate, load_factor: f64) {
        let old = period.old.with_more_bad(load_factor).plus(overall.scaled_to(PERIOD_WEIGHT));
        let responses = period.target.responses;
        self.target = self.target.plus(period.target);
        self.weighted_portion += responses * old.portion();
        self.variance += responses * responses / old.responses;
    }

    /// Returns the rate of the other versions in the periods of the target's responses, with the
    /// number of responses that would give a rate of the same variance, and the prior added.
    fn old(self, overall: Rate) -> Rate {
        let responses = self.target.responses * self.target.responses / self.variance;
        let portion = self.weighted_portion / self.target.responses;
        let usual = overall.portion();
        let deviation = (usual * (1.0 - usual) / responses).sqrt();
        let is_outage = portion > usual + deviation;
        let prior = if is_outage { OUTAGE_PRIOR } else { PRIOR };
        let prior = prior.min(overall.responses);
        Rate::new(responses, responses * portion).plus(overall.scaled_to(prior))
    }
}

/// Responses of both versions.
#[derive(Debug, Default)]
pub(super) struct Series {
    target: Rate,
    old: Rate,
    /// Latest periods, the newest first.
    periods: VecDeque<Period>,
}

impl Series {
    /// Continues from the responses that an earlier holder counted.
    pub fn inherited(target: Rate, old: Rate) -> Self {
        Self { target, old, ..Self::default() }
    }

    pub const fn target(&self) -> Rate {
        self.target
    }

    pub const fn old(&self) -> Rate {
        self.old
    }

    /// Adds responses that another holder counted.
    pub fn add(&mut self, target: Rate, old: Rate) {
        self.target = self.target.plus(target);
        self.old = self.old.plus(old);
    }

    pub fn record(&mut self, sent_at: Duration, is_target: bool, is_bad: bool) {
        let one = Rate::new(1.0, if is_bad { 1.0 } else { 0.0 });
        let period = self.period_mut(period_of(sent_at));
        if is_target {
            period.target = period.target.plus(one);
            self.target = self.target.plus(one);
        } else {
            period.old = period.old.plus(one);
            self.old = self.old.plus(one);
        }
        self.periods.truncate(MAX_PERIODS);
    }

    fn period_mut(&mut self, number: u128) -> &mut Period {
        let later = self.periods.iter().take_while(|period| period.number > number).count();
        let is_known = self.periods.get(later).is_some_and(|period| period.number == number);
        if !is_known {
            let (target, old) = (Rate::default(), Rate::default());
            self.periods.insert(later, Period { number, target, old });
        }
        &mut self.periods[later]
    }

    /// Returns the strongest evidence that the target is worse, among the responses to all its
    /// requests and to the latest ones. They are compared by the time of sending: slow responses
    /// follow one another whenever fewer requests are sent, and failures may come all at one time.
    pub fn worst(&self, expected: Expected) -> Option<Finding> {
        if self.target.bad < MIN_BAD {
            return None;
        }
        let Expected { usual, load_factor, running, min_difference } = expected;
        let running = Rate::new(running, 0.0);
        let overall = self.old.with_more_bad(load_factor).plus(usual);
        let mut worst = None;
        let mut window = Window::default();
        let mut size = MIN_WINDOW;
        for period in self.periods.iter().filter(|period| period.target.responses > 0.0) {
            window.add(period, overall, load_factor);
            if window.target.responses >= size {
                size = 2.0 * window.target.responses;
                let target = window.target.plus(running);
                let found = finding(target, overall, window.old(overall), min_difference);
                worst = stronger(worst, found.map(|found| found.of_several(self.target)));
            }
        }
        if window.target.responses == 0.0 {
            return None;
        }
        let all = self.target.plus(running);
        stronger(worst, finding(all, overall, window.old(overall), min_difference))
    }
}

/// Compares responses of the target with both all and simultaneous ones of the other versions.
fn finding(target: Rate, overall: Rate, meanwhile: Rate, min_difference: f64) -> Option<Finding> {
    let highest = overall.portion().max(meanwhile.portion());
    if target.bad < MIN_BAD || target.portion() < highest + min_difference {
        return None;
    }
    let of_old = |old| Finding { target, old, log_ratio: log_ratio(target, old) };
    let (all, latest) = (of_old(overall), of_old(meanwhile));
    Some(if all.log_ratio < latest.log_ratio { all } else { latest })
}

fn stronger(a: Option<Finding>, b: Option<Finding>) -> Option<Finding> {
    match (a, b) {
        (Some(a), Some(b)) => Some(if a.log_ratio < b.log_ratio { b } else { a }),
        (a, b) => a.or(b),
    }
}
