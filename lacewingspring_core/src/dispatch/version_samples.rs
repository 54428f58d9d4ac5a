//! Samples of responses for the decision on a roll-out, from grants to the ends of runs.

use std::{
    collections::{HashMap, VecDeque},
    sync::Arc,
    time::Duration,
};

use super::{
    queue::WaitingRequest,
    upstream::UpstreamInfo,
    work::{End, Ticket, Work},
};
use crate::{
    names::UpstreamName,
    roll_out::{PartialTimes, ResponseTimes, Sample, SampleOutcome},
};

/// Number of runs from whose times the time to drain upstreams is estimated.
const MAX_DRAIN_SAMPLES: usize = 512;

/// Fraction of the runs that end within the estimated time.
const DRAIN_QUANTILE: f64 = 0.98;

/// HTTP status with which an upstream answers at the request's deadline.
const GATEWAY_TIMEOUT: u16 = 504;

/// Time before a request's deadline from which on its end counts as the deadline's. The gate knows
/// the deadline and the end by messages, whose delays differ.
const DEADLINE_MARGIN: Duration = Duration::from_millis(100);

/// A run that will yield a sample.
#[derive(Debug)]
struct SampledRun {
    is_target: bool,
    upstream: UpstreamName,
    route: Arc<str>,
    /// Fraction of the upstream's slots in use when it was sent.
    slot_use: f64,
    is_cold: bool,
    sent_at: Duration,
    deadline: Duration,
    /// Prompt tokens to compute; `None` for a call to a plain service.
    prompt_tokens: Option<u32>,
    /// Output tokens that are expected; 0 for a call to a plain service.
    expected_tokens: u32,
    first_event: Option<Duration>,
    /// Status of a response that is an error of the upstream.
    error_status: Option<u16>,
}

/// Runs of a service during a roll-out.
#[derive(Debug, Default)]
pub(super) struct VersionSamples {
    runs: HashMap<Ticket, SampledRun>,
    /// Times of the latest complete responses.
    times: VecDeque<Duration>,
    /// Time until which each new upstream stays slow.
    pub cold_until: HashMap<UpstreamName, Duration>,
}

impl VersionSamples {
    /// Begins to follow a run.
    pub fn begin(
        &mut self,
        now: Duration,
        waiting: &WaitingRequest,
        info: &UpstreamInfo,
        is_target: bool,
        prefill_tokens: u32,
        slot_use: f64,
    ) {
        let WaitingRequest { ticket, ref request, deadline, .. } = *waiting;
        let (prompt_tokens, expected_tokens) = match request.work {
            Work::Plain => (None, 0),
            Work::Generation { output_tokens, .. } => (Some(prefill_tokens), output_tokens),
        };
        let run = SampledRun {
            is_target,
            upstream: info.name.clone(),
            route: request.class.clone(),
            slot_use,
            is_cold: self.is_cold(now, &info.name),
            sent_at: now,
            deadline,
            prompt_tokens,
            expected_tokens,
            first_event: None,
            error_status: None,
        };
        self.runs.insert(ticket, run);
    }

    /// Returns whether an upstream is new and still slow.
    pub fn is_cold(&self, now: Duration, upstream: &UpstreamName) -> bool {
        self.cold_until.get(upstream).is_some_and(|until| now < *until)
    }

    pub fn record_first_output(&mut self, ticket: Ticket, took: Duration) {
        if let Some(run) = self.runs.get_mut(&ticket) {
            run.first_event.get_or_insert(took);
        }
    }

    pub fn record_error_status(&mut self, ticket: Ticket, status: u16) {
        if let Some(run) = self.runs.get_mut(&ticket) {
            run.error_status = Some(status);
        }
    }

    pub fn forget(&mut self, ticket: Ticket) {
        self.runs.remove(&ticket);
    }

    /// Ends a run; returns its sample unless the end says nothing of the upstream.
    pub fn end(&mut self, now: Duration, ticket: Ticket, end: End) -> Option<Sample> {
        let run = self.runs.remove(&ticket)?;
        if let End::Finished { took, .. } = end {
            if self.times.len() == MAX_DRAIN_SAMPLES {
                self.times.pop_front();
            }
            self.times.push_back(took);
        }
        let outcome = run.outcome(now, end)?;
        let SampledRun { is_target, upstream, route, slot_use, is_cold, sent_at, .. } = run;
        Some(Sample { is_target, upstream, route, sent_at, outcome, load: slot_use, is_cold })
    }

    /// Returns the time within which most running requests end; `None` without a sample.
    pub fn drain_time(&self) -> Option<Duration> {
        let mut times: Vec<Duration> = self.times.iter().copied().collect();
        times.sort_unstable();
        let index = (times.len() as f64 * DRAIN_QUANTILE) as usize;
        times.get(index).or(times.last()).copied()
    }
}

impl SampledRun {
    fn outcome(&self, now: Duration, end: End) -> Option<SampleOutcome> {
        let is_at_deadline = now.saturating_add(DEADLINE_MARGIN) >= self.deadline;
        match end {
            End::Finished { took, output_tokens, decode, .. } => Some(match self.error_status {
                Some(GATEWAY_TIMEOUT) if is_at_deadline => {
                    SampleOutcome::TimedOut(self.partial_times(now))
                }
                Some(_) => SampleOutcome::Failed,
                None => SampleOutcome::Complete(self.times(took, output_tokens, decode)),
            }),
            End::Failed => Some(SampleOutcome::Failed),
            End::Broken => Some(SampleOutcome::Broken),
            End::Cancelled if is_at_deadline => {
                Some(SampleOutcome::TimedOut(self.partial_times(now)))
            }
            End::Cancelled if self.first_event.is_none() => {
                let waited = now.saturating_sub(self.sent_at);
                Some(SampleOutcome::NoOutput { prompt_tokens: self.prompt_tokens, waited })
            }
            End::Cancelled
            | End::Declined
            | End::Unreachable
            | End::Misdirected
            | End::Leaving
            | End::Unused => None,
        }
    }

    fn partial_times(&self, now: Duration) -> PartialTimes {
        let waited = now.saturating_sub(self.sent_at);
        match (self.prompt_tokens, self.first_event) {
            (None, _) => PartialTimes::Plain { waited },
            (Some(prompt_tokens), None) => PartialTimes::NoEvent { prompt_tokens, waited },
            (Some(_), Some(first_event)) => PartialTimes::Begun {
                expected_tokens: self.expected_tokens,
                decode: waited.saturating_sub(first_event),
            },
        }
    }

    fn times(&self, took: Duration, output_tokens: u32, decode: Duration) -> ResponseTimes {
        let Some(prompt_tokens) = self.prompt_tokens else { return ResponseTimes::Plain { took } };
        let first_event = self.first_event.unwrap_or_else(|| took.saturating_sub(decode));
        ResponseTimes::Generation { prompt_tokens, first_event, output_tokens, decode }
    }
}
