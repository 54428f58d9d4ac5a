//! Times that the other versions need for similar work under similar load.

use std::{collections::HashMap, sync::Arc, time::Duration};

use super::{
    histogram::Histogram,
    sample::{PartialTimes, ResponseTimes, Sample, SampleOutcome},
};

/// Multiple of the usual time from which on a response counts as slow. It lies between 1 and 3, the
/// least slowness that must be found, with room for noise on both sides.
const SLOW_FACTOR: f64 = 2.0;

/// Further factor where there is no reference for the load or the length of the prompt. A sound
/// upstream with all slots in use takes up to about twice as long as one with few.
const UNLIKE_FACTOR: f64 = 1.5;

/// Time beyond the multiple that still is not slow; delays of networks differ by as much.
const SLACK: Duration = Duration::from_millis(10);

/// Responses of the other versions from which on their median is a reference.
const MIN_REFERENCE: u32 = 5;

/// Prompt tokens that take as long as what a first event needs with an empty prompt.
const BASE_TOKENS: f64 = 256.0;

/// Output tokens from which on the time for each is judged.
const MIN_OUTPUT_TOKENS: u32 = 4;

/// Lower ends of the classes of prompts, in tokens.
const PROMPT_CLASSES: [u32; 3] = [256, 1_024, 4_096];

/// Lower ends of the bands of load, as fractions of slots in use.
const LOAD_BANDS: [f64; 2] = [0.5, 0.75];

/// What a time measures.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Measure {
    /// Whole call to a plain service.
    Call,
    /// First event, divided by the length of the prompt, for a class of lengths.
    FirstEvent(u8),
    /// Output token.
    OutputToken,
}

/// A time to be compared, divided by its work.
#[derive(Clone, Copy, Debug)]
struct Timing {
    measure: Measure,
    micros: f64,
    /// [`SLACK`], divided by the same work.
    slack_micros: f64,
}

impl Timing {
    fn new(measure: Measure, time: Duration, work: f64) -> Self {
        let per_work = |time: Duration| time.as_secs_f64() * 1e6 / work;
        Self { measure, micros: per_work(time), slack_micros: per_work(SLACK) }
    }

    fn first_event(prompt_tokens: u32, time: Duration) -> Self {
        let class = PROMPT_CLASSES.partition_point(|low| *low <= prompt_tokens) as u8;
        Self::new(Measure::FirstEvent(class), time, f64::from(prompt_tokens) + BASE_TOKENS)
    }
}

/// Returns the times of a response, and whether they have only a lower limit.
fn timings(outcome: &SampleOutcome) -> (Vec<Timing>, bool) {
    match *outcome {
        SampleOutcome::Complete(ResponseTimes::Plain { took }) => {
            (vec![Timing::new(Measure::Call, took, 1.0)], false)
        }
        SampleOutcome::Complete(ResponseTimes::Generation {
            prompt_tokens,
            first_event,
            output_tokens,
            decode,
        }) => {
            let mut timings = vec![Timing::first_event(prompt_tokens, first_event)];
            if output_tokens >= MIN_OUTPUT_TOKENS {
                let tokens = f64::from(output_tokens);
                timings.push(Timing::new(Measure::OutputToken, decode, tokens));
            }
            (timings, false)
        }
        SampleOutcome::NoOutput { prompt_tokens, waited } => {
            let timing = match prompt_tokens {
                Some(tokens) => Timing::first_event(tokens, waited),
                None => Timing::new(Measure::Call, waited, 1.0),
            };
            (vec![timing], true)
        }
        SampleOutcome::TimedOut(times) => (partial_timing(times).into_iter().collect(), true),
        SampleOutcome::Failed | SampleOutcome::Broken => (Vec::new(), false),
    }
}

/// Returns the lower limit of a time of an incomplete response.
fn partial_timing(times: PartialTimes) -> Option<Timing> {
    match times {
        PartialTimes::Plain { waited } => Some(Timing::new(Measure::Call, waited, 1.0)),
        PartialTimes::NoEvent { prompt_tokens, waited } => {
            Some(Timing::first_event(prompt_tokens, waited))
        }
        PartialTimes::Begun { expected_tokens, decode } => (expected_tokens >= MIN_OUTPUT_TOKENS)
            .then(|| Timing::new(Measure::OutputToken, decode, f64::from(expected_tokens))),
    }
}

fn load_band(load: f64) -> usize {
    LOAD_BANDS.partition_point(|low| *low < load)
}

/// Times of one route.
#[derive(Debug, Default)]
struct RouteTimes {
    times: HashMap<(Measure, usize), Histogram>,
}

impl RouteTimes {
    /// Returns the median, raised by its uncertainty.
    fn median(&self, measure: Measure, band: usize) -> Option<f64> {
        let histogram = self.times.get(&(measure, band))?;
        let uncertainty = f64::from(histogram.len()).sqrt().recip();
        (histogram.len() >= MIN_REFERENCE).then(|| histogram.median() * (1.0 + uncertainty))
    }

    /// Returns the usual time and the factor for a reference of other load or work. A reference
    /// under higher load comes before one under lower load, as it can only excuse too much.
    fn usual(&self, measure: Measure, band: usize) -> Option<(f64, f64)> {
        if let Some(median) = self.median(measure, band) {
            return Some((median, 1.0));
        }
        let higher = (band + 1..=LOAD_BANDS.len()).find_map(|band| self.median(measure, band));
        if let Some(median) = higher {
            return Some((median, 1.0));
        }
        let lower = (0..band).rev().find_map(|band| self.median(measure, band));
        if let Some(median) = lower {
            return Some((median, UNLIKE_FACTOR));
        }
        self.other_class(measure, band).map(|median| (median, UNLIKE_FACTOR))
    }

    /// Returns the largest usual time for a first event among the other classes of prompts.
    fn other_class(&self, measure: Measure, band: usize) -> Option<f64> {
        let Measure::FirstEvent(_) = measure else { return None };
        let classes = 0..=PROMPT_CLASSES.len() as u8;
        let medians = classes.filter_map(|class| self.median(Measure::FirstEvent(class), band));
        medians.reduce(f64::max)
    }

    fn is_slow(&self, timing: Timing, band: usize) -> Option<bool> {
        let (median, factor) = self.usual(timing.measure, band)?;
        Some(timing.micros > SLOW_FACTOR * factor * median + timing.slack_micros)
    }
}

/// Times of the other versions, by route.
#[derive(Debug, Default)]
pub(super) struct Reference {
    routes: HashMap<Arc<str>, RouteTimes>,
}

impl Reference {
    /// Returns whether a response is slow; `None` if that can't be told.
    pub fn is_slow(&self, sample: &Sample) -> Option<bool> {
        if sample.is_cold {
            return None;
        }
        let route = self.routes.get(&sample.route)?;
        let band = load_band(sample.load);
        let (timings, is_lower_limit) = timings(&sample.outcome);
        let slow = timings.into_iter().filter_map(|timing| route.is_slow(timing, band));
        slow.reduce(|a, b| a || b).filter(|is_slow| *is_slow || !is_lower_limit)
    }

    /// Returns whether a response has times that can't be judged yet.
    pub fn is_missing(&self, sample: &Sample) -> bool {
        let is_complete = matches!(sample.outcome, SampleOutcome::Complete(_));
        is_complete && !sample.is_cold && self.is_slow(sample).is_none()
    }

    /// Adds a response of another version.
    pub fn record(&mut self, sample: &Sample) {
        let SampleOutcome::Complete(_) = sample.outcome else { return };
        if sample.is_cold {
            return;
        }
        let route = self.routes.entry(Arc::clone(&sample.route)).or_default();
        let band = load_band(sample.load);
        for timing in timings(&sample.outcome).0 {
            route.times.entry((timing.measure, band)).or_default().record(timing.micros);
        }
    }
}
