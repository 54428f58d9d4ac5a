//! Comparison of the responses of the target with those of other versions.

use std::time::Duration;

use super::{
    breaks::Breaks,
    defect_series::DefectSeries,
    order::{Counts, Tally},
    rates::Rate,
    reference::Reference,
    sample::{Sample, SampleOutcome},
    stage::{Defect, Evidence},
    stalls::Stalls,
};

fn failure_rate(tally: Tally) -> Rate {
    Rate::new(tally.responses as f64, tally.failed as f64)
}

fn slow_rate(tally: Tally) -> Rate {
    Rate::new(tally.timed as f64, tally.slow as f64)
}

/// Least difference between the portions of responses that reach their deadline. A sound upstream
/// with all slots in use reaches close deadlines more often than others with few requests; most of
/// its responses are still complete.
const MIN_TIME_OUT_DIFFERENCE: f64 = 0.5;

/// Least difference between the other portions of bad responses. A smaller one is not looked for,
/// as versions differ a little in their work.
const MIN_DIFFERENCE: f64 = 0.04;

/// Responses of the target that are kept until there is a reference for their times.
const MAX_UNTIMED: usize = 32;

/// Responses of both versions.
#[derive(Debug)]
pub(super) struct Comparison {
    reference: Reference,
    breaks: Breaks,
    target_stalls: Stalls,
    old_stalls: Stalls,
    pub failures: DefectSeries,
    pub slowness: DefectSeries,
    /// Responses that reach their deadline, also where there is no reference for their times. They
    /// are reported as slowness. Those of an earlier holder are not known, as the record has no
    /// count of them.
    time_outs: DefectSeries,
    target: Tally,
    old: Tally,
    bad: u64,
    /// Responses of the target that came before there was a reference for their times, with the
    /// times at which they ended.
    untimed: Vec<(Duration, Sample)>,
}

impl Comparison {
    /// Continues from the counts of an earlier holder.
    pub fn new(counts: &Counts) -> Self {
        let Counts { target, old, bad, .. } = *counts;
        let (failed, slow) = (Defect::Failures, Defect::Slowness);
        Self {
            reference: Reference::default(),
            breaks: Breaks::default(),
            target_stalls: Stalls::default(),
            old_stalls: Stalls::default(),
            failures: DefectSeries::inherited(failed, failure_rate(target), failure_rate(old)),
            slowness: DefectSeries::inherited(slow, slow_rate(target), slow_rate(old)),
            time_outs: DefectSeries::inherited(slow, Rate::default(), Rate::default()),
            target,
            old,
            bad,
            untimed: Vec::new(),
        }
    }

    /// Returns the responses of the target, of the other versions, and the bad ones of the target.
    pub const fn counts(&self) -> (Tally, Tally, u64) {
        (self.target, self.old, self.bad)
    }

    /// Adds responses that another holder counted.
    pub fn add(&mut self, target: Tally, old: Tally, bad: u64) {
        self.failures.add(failure_rate(target), failure_rate(old));
        self.slowness.add(slow_rate(target), slow_rate(old));
        self.target.add(target);
        self.old.add(old);
        self.bad += bad;
    }

    pub fn record(&mut self, now: Duration, sample: Sample) {
        let has_failed = self.has_failed(now, &sample);
        if let Some(has_failed) = has_failed {
            let tally = self.tally(&sample);
            tally.responses += 1;
            tally.failed += u64::from(has_failed);
            self.failures.record(&sample, has_failed);
        }
        let is_broken = sample.outcome == SampleOutcome::Broken;
        let has_timed_out = matches!(sample.outcome, SampleOutcome::TimedOut(_));
        if has_timed_out || matches!(sample.outcome, SampleOutcome::Complete(_)) {
            self.record_time_out(&sample, has_timed_out);
        }
        self.bad += u64::from(sample.is_target && (is_broken || has_failed == Some(true)));
        if sample.is_target {
            self.record_time(now, &sample);
            if self.reference.is_missing(&sample) && self.untimed.len() < MAX_UNTIMED {
                self.untimed.push((now, sample));
            }
            return;
        }
        self.record_time(now, &sample);
        self.reference.record(&sample);
        self.record_untimed();
    }

    fn tally(&mut self, sample: &Sample) -> &mut Tally {
        if sample.is_target { &mut self.target } else { &mut self.old }
    }

    fn record_time_out(&mut self, sample: &Sample, has_timed_out: bool) {
        if !sample.is_cold {
            self.time_outs.record(sample, has_timed_out);
            self.bad += u64::from(sample.is_target && has_timed_out);
        }
    }

    fn record_time(&mut self, ended_at: Duration, sample: &Sample) {
        let Some(is_slow) = self.reference.is_slow(sample) else { return };
        // One that reached its deadline is counted already.
        let has_timed_out = matches!(sample.outcome, SampleOutcome::TimedOut(_));
        self.bad += u64::from(sample.is_target && is_slow && !has_timed_out);
        let stalls = if sample.is_target { &mut self.target_stalls } else { &mut self.old_stalls };
        if is_slow && !stalls.record(ended_at, sample.sent_at) {
            return;
        }
        let tally = self.tally(sample);
        tally.timed += 1;
        tally.slow += u64::from(is_slow);
        self.slowness.record(sample, is_slow);
    }

    /// Judges the times of earlier responses for which there is a reference now.
    fn record_untimed(&mut self) {
        let untimed = std::mem::take(&mut self.untimed);
        for (ended_at, sample) in untimed {
            if self.reference.is_missing(&sample) {
                self.untimed.push((ended_at, sample));
            } else {
                self.record_time(ended_at, &sample);
            }
        }
    }

    /// Returns whether a response failed; `None` if that can't be told.
    fn has_failed(&mut self, now: Duration, sample: &Sample) -> Option<bool> {
        match sample.outcome {
            SampleOutcome::Complete(_) | SampleOutcome::TimedOut(_) => Some(false),
            SampleOutcome::Failed => Some(true),
            SampleOutcome::Broken => self.breaks.record(now, &sample.upstream).then_some(true),
            SampleOutcome::NoOutput { .. } => None,
        }
    }

    /// Returns the strongest evidence against the target, at which `running` requests run. They
    /// count as good ones for failures, which often come sooner than complete responses, but not
    /// for slowness, as slow responses come later.
    pub fn worst(&self, running: u32) -> Option<Evidence> {
        let failures = self.failures.worst(running, MIN_DIFFERENCE).into_iter();
        let slowness = self.slowness.worst(0, MIN_DIFFERENCE);
        let time_outs = self.time_outs.worst(0, MIN_TIME_OUT_DIFFERENCE);
        let found = failures.chain(slowness).chain(time_outs);
        found.max_by(|a, b| a.log_ratio.total_cmp(&b.log_ratio))
    }
}
