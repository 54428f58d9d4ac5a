//! Metrics: counters and timers sent to a statsd server, and counts and histograms for operators.
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

/// Prefix of all statsd metric names.
const PREFIX: &str = "lacewingspring";

/// Timer, recorded in a histogram for each workspace and tier.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Timer {
    /// Time from acceptance of the request to its permit.
    Wait,
    /// Time from acceptance of the request to the first token.
    FirstToken,
    /// Time between two tokens of one response.
    BetweenTokens,
    /// Time from acceptance of the request to the end of the response.
    Total,
}

impl Timer {
    /// Returns the name of the metric.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Wait => "wait",
            Self::FirstToken => "first_token",
            Self::BetweenTokens => "between_tokens",
            Self::Total => "total",
        }
    }
}

/// Workspace and tier to which a value belongs.
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
    /// Creates metrics, which are also sent to a statsd server if an address is given.
    ///
    /// # Errors
    ///
    /// Fails if no socket can be opened.
    pub fn start(statsd: Option<SocketAddr>) -> io::Result<Self> {
        let statsd = match statsd {
            Some(address) => statsd_client(address)?,
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

    /// Counts a request whose response is complete.
    pub fn answered(&self, series: &Series) {
        self.tiers.update(&series.tier, |counts| counts.answered += 1);
        self.count("requests.answered", 1, series);
    }

    /// Counts a refused request.
    pub fn refused(&self, series: &Series, kind: ErrorKind) {
        self.tiers.update(&series.tier, |counts| counts.refused += 1);
        let counter = self.statsd.count_with_tags("requests.refused", 1);
        let counter = counter.with_tag("kind", kind.answer().problem);
        counter.with_tag("tier", series.tier.as_str()).send();
    }

    /// Counts prompt tokens that engines have prefilled.
    pub fn prefilled(&self, series: &Series, tokens: u64) {
        self.tiers.update(&series.tier, |counts| counts.prefill_tokens += tokens);
        self.count("prefill.tokens", tokens, series);
    }

    /// Counts prompt tokens prefilled for a response that no caller received in full.
    pub fn wasted(&self, series: &Series, tokens: u64) {
        self.tiers.update(&series.tier, |counts| counts.wasted_prefill_tokens += tokens);
        self.count("prefill.wasted_tokens", tokens, series);
    }

    /// Counts a parked run.
    pub fn parked(&self, series: &Series) {
        self.tiers.update(&series.tier, |counts| counts.parked += 1);
        self.count("runs.parked", 1, series);
    }

    /// Counts calls to the key-value service.
    pub fn key_value_calls(&self, purpose: Purpose, calls: u64) {
        let counter = self.statsd.count_with_tags("key_value.calls", calls);
        counter.with_tag("purpose", purpose.as_str()).send();
    }

    /// Counts a violation of the invariant whose counter has this name.
    pub fn violated(&self, name: &str) {
        self.statsd.count_with_tags(name, 1).send();
    }

    /// Records a duration in a timer.
    pub fn time(&self, timer: Timer, series: &Series, value: Duration) {
        self.histograms.record(timer, series, value);
        let timer = self.statsd.time_with_tags(timer.name(), value);
        timer.with_tag("tier", series.tier.as_str()).send();
    }

    /// Returns all histograms and the counts of each tier.
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

fn statsd_client(address: SocketAddr) -> io::Result<StatsdClient> {
    let bind_address: SocketAddr = if address.is_ipv4() {
        SocketAddr::from(([0, 0, 0, 0], 0))
    } else {
        SocketAddr::from(([0_u16; 8], 0))
    };
    let socket = UdpSocket::bind(bind_address)?;
    socket.set_nonblocking(true)?;
    let sink = BufferedUdpMetricSink::from(address, socket).map_err(io::Error::other)?;
    Ok(StatsdClient::from_sink(PREFIX, sink))
}
