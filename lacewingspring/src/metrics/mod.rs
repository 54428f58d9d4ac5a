//! Metrics: counters and timers sent by statsd, and histograms kept for operators.
//!
//! Every name is listed in `docs/METRICS.md`.

use std::{
    io,
    net::{SocketAddr, UdpSocket},
    time::Duration,
};

use cadence::{BufferedUdpMetricSink, Counted, NopMetricSink, StatsdClient, Timed};
use lacewingspring_core::{
    error::ErrorKind,
    names::{TierName, WorkspaceName},
};

use self::{histograms::Histograms, tiers::TierCounts};
pub use self::{
    histograms::{HistogramReport, MetricsReport},
    tiers::TierReport,
};
use crate::platform::key_value::Purpose;

mod histograms;
mod tiers;

/// Prefix of every statsd name.
const PREFIX: &str = "lacewingspring";

/// A timer with a histogram for each workspace and tier.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Timer {
    /// From acceptance to the permit.
    Wait,
    /// From acceptance to the first token.
    FirstToken,
    /// Between two tokens of one answer.
    BetweenTokens,
    /// From acceptance to the end of the answer.
    Total,
}

impl Timer {
    /// Returns the name as it is reported.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Wait => "wait",
            Self::FirstToken => "first_token",
            Self::BetweenTokens => "between_tokens",
            Self::Total => "total",
        }
    }
}

/// Workspace and tier that a value belongs to.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Series {
    /// Workspace of the request.
    pub workspace: WorkspaceName,
    /// Tier of the request.
    pub tier: TierName,
}

/// Metrics of one instance.
#[derive(Debug)]
pub struct Metrics {
    statsd: StatsdClient,
    histograms: Histograms,
    tiers: TierCounts,
}

impl Metrics {
    /// Starts metrics; they are also sent to a statsd address when there is one.
    ///
    /// # Errors
    ///
    /// Fails when no socket can be opened.
    pub fn start(statsd: Option<SocketAddr>) -> io::Result<Self> {
        let statsd = match statsd {
            Some(address) => client(address)?,
            None => StatsdClient::from_sink(PREFIX, NopMetricSink),
        };
        let histograms = Histograms::default();
        Ok(Self { statsd, histograms, tiers: TierCounts::default() })
    }

    /// Counts an accepted request.
    pub fn accepted(&self, series: &Series) {
        self.tiers.update(&series.tier, |counts| counts.accepted += 1);
        self.count("requests.accepted", 1, series);
    }

    /// Counts a request that was answered whole.
    pub fn answered(&self, series: &Series) {
        self.tiers.update(&series.tier, |counts| counts.answered += 1);
        self.count("requests.answered", 1, series);
    }

    /// Counts a request that was given up.
    pub fn refused(&self, series: &Series, kind: ErrorKind) {
        self.tiers.update(&series.tier, |counts| counts.refused += 1);
        let counter = self.statsd.count_with_tags("requests.refused", 1);
        let counter = counter.with_tag("kind", kind.answer().problem);
        counter.with_tag("tier", series.tier.as_str()).send();
    }

    /// Counts prompt tokens that an engine computed.
    pub fn prefilled(&self, series: &Series, tokens: u64) {
        self.tiers.update(&series.tier, |counts| counts.prefill_tokens += tokens);
        self.count("prefill.tokens", tokens, series);
    }

    /// Counts prompt tokens computed for an answer that nobody got whole.
    pub fn wasted(&self, series: &Series, tokens: u64) {
        self.tiers.update(&series.tier, |counts| counts.wasted_prefill_tokens += tokens);
        self.count("prefill.wasted_tokens", tokens, series);
    }

    /// Counts a run that was parked.
    pub fn parked(&self, series: &Series) {
        self.tiers.update(&series.tier, |counts| counts.parked += 1);
        self.count("runs.parked", 1, series);
    }

    /// Counts calls to the key-value service.
    pub fn key_value_calls(&self, purpose: Purpose, calls: u64) {
        let counter = self.statsd.count_with_tags("key_value.calls", calls);
        counter.with_tag("purpose", purpose.as_str()).send();
    }

    /// Counts a broken invariant.
    pub fn violated(&self, name: &str) {
        self.statsd.count_with_tags(name, 1).send();
    }

    /// Records a time.
    pub fn time(&self, timer: Timer, series: &Series, value: Duration) {
        self.histograms.record(timer, series, value);
        let timer = self.statsd.time_with_tags(timer.name(), value);
        timer.with_tag("tier", series.tier.as_str()).send();
    }

    /// Reports all histograms and the counts of each tier.
    pub fn report(&self, instance: &str) -> MetricsReport {
        MetricsReport {
            instance: instance.to_owned(),
            tiers: self.tiers.report(),
            histograms: self.histograms.report(),
        }
    }

    fn count(&self, name: &str, count: u64, series: &Series) {
        let counter = self.statsd.count_with_tags(name, count);
        counter.with_tag("tier", series.tier.as_str()).send();
    }
}

fn client(address: SocketAddr) -> io::Result<StatsdClient> {
    let any: SocketAddr = if address.is_ipv4() {
        SocketAddr::from(([0, 0, 0, 0], 0))
    } else {
        SocketAddr::from(([0_u16; 8], 0))
    };
    let socket = UdpSocket::bind(any)?;
    socket.set_nonblocking(true)?;
    let sink = BufferedUdpMetricSink::from(address, socket).map_err(io::Error::other)?;
    Ok(StatsdClient::from_sink(PREFIX, sink))
}
