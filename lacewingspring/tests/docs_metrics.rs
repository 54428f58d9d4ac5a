//! Compares the documented metrics with those that the daemon sends and reports.

use std::{collections::BTreeSet, net::UdpSocket, time::Duration};

use lacewingspring::{
    metrics::{Metrics, Series, Timer},
    platform::key_value::Purpose,
};
use lacewingspring_core::{
    error::ErrorKind,
    names::{TierName, WorkspaceName},
};
use serde_json::Value;

use self::docs_common::{quoted, read, rows, section};

mod docs_common;

/// Time without a datagram after which the test takes all datagrams as received.
const RECEIVE_TIMEOUT: Duration = Duration::from_millis(200);

/// Size of the receive buffer, in bytes.
const MAX_DATAGRAM: usize = 64 * 1024;

/// Largest number of separate histograms, as documented; the others share one more.
const MAX_SEPARATE_HISTOGRAMS: usize = 2_048;

/// Text in the source that precedes the name of a counter sent by statsd.
const COUNTER_CALLS: [&str; 2] = ["self.count(\"", "count_with_tags(\""];

/// A metric as documented or as sent.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Metric {
    name: String,
    kind: &'static str,
    tags: BTreeSet<String>,
}

fn series() -> Series {
    Series { workspace: WorkspaceName::from("desk"), tier: TierName::from("lookup") }
}

/// Returns the names of the counters of violated invariants, from the source.
fn invariants() -> Vec<String> {
    let source = read("lacewingspring/src/entry/invariant.rs");
    let texts = source.split('"').skip(1).step_by(2).map(str::to_owned);
    texts.filter(|text| text.starts_with("invariants.")).collect()
}

/// Records each metric once.
fn record_each_metric(metrics: &Metrics) {
    let series = series();
    metrics.accepted(&series);
    metrics.answered(&series);
    metrics.refused(&series, ErrorKind::Overloaded);
    metrics.prefilled(&series, 7);
    metrics.wasted(&series, 7);
    metrics.parked(&series);
    metrics.key_value_calls(Purpose::Claim, 7);
    for timer in [Timer::Wait, Timer::FirstToken, Timer::BetweenTokens, Timer::Total] {
        metrics.time(timer, &series, Duration::from_millis(7));
    }
    for name in invariants() {
        metrics.violated(&name);
    }
}

fn parse_line(line: &str) -> Metric {
    let (name, rest) = line.strip_prefix("lacewingspring.").unwrap().split_once(':').unwrap();
    let mut parts = rest.split('|').skip(1);
    let kind = match parts.next() {
        Some("c") => "counter",
        Some("ms") => "timer",
        other => panic!("{line}: {other:?}"),
    };
    let tags = parts.next().map_or("", |tags| tags.trim_start_matches('#'));
    let tags = tags.split(',').filter_map(|tag| tag.split_once(':'));
    Metric { name: name.to_owned(), kind, tags: tags.map(|(name, _)| name.to_owned()).collect() }
}

/// Records each metric once; returns the metrics that a statsd server receives.
fn sent_metrics() -> BTreeSet<Metric> {
    let server = UdpSocket::bind("127.0.0.1:0").unwrap();
    server.set_read_timeout(Some(RECEIVE_TIMEOUT)).unwrap();
    let metrics = Metrics::start(Some(server.local_addr().unwrap())).unwrap();
    record_each_metric(&metrics);
    // Dropping `metrics` drops its statsd sink, which sends the buffered metrics.
    drop(metrics);
    let mut buf = vec![0; MAX_DATAGRAM];
    let mut all = BTreeSet::new();
    while let Ok(len) = server.recv(&mut buf) {
        all.extend(std::str::from_utf8(&buf[..len]).unwrap().lines().map(parse_line));
    }
    all
}

fn documented() -> BTreeSet<Metric> {
    let page = read("docs/METRICS.md");
    let rows = rows(section(&page, "## Sent by statsd"));
    let metric = |row: &Vec<&str>| Metric {
        name: quoted(row[0]).concat(),
        kind: if row[1] == "timer" { "timer" } else { "counter" },
        tags: quoted(row[3]).into_iter().collect(),
    };
    rows.iter().map(metric).collect()
}

#[test]
fn sent_metrics_are_documented() {
    assert_eq!(documented(), sent_metrics());
}

#[test]
fn counters_in_the_source_are_documented() {
    let source = read("lacewingspring/src/metrics/mod.rs");
    let after = COUNTER_CALLS.iter().flat_map(|call| source.split(call).skip(1));
    let names = after.map(|text| text.split('"').next().unwrap().to_owned());
    let counters: BTreeSet<_> = names.chain(invariants()).collect();
    let documented = documented().into_iter().filter(|metric| metric.kind == "counter");
    assert_eq!(documented.map(|metric| metric.name).collect::<BTreeSet<_>>(), counters);
}

fn keys(value: &Value) -> BTreeSet<String> {
    value.as_object().unwrap().keys().cloned().collect()
}

#[test]
fn report_fields_are_documented() {
    let metrics = Metrics::start(None).unwrap();
    record_each_metric(&metrics);
    let report = serde_json::to_value(metrics.report("a")).unwrap();
    let page = read("docs/METRICS.md");
    let documented = |heading| -> BTreeSet<String> {
        let rows = rows(section(&page, heading));
        rows.iter().flat_map(|row| quoted(row[0])).collect()
    };
    assert_eq!(documented("### Counts of a tier"), keys(&report["tiers"]["lookup"]));
    assert_eq!(documented("### Fields of a histogram"), keys(&report["histograms"][0]));
}

#[test]
fn histogram_count_is_bounded_as_documented() {
    let page = read("docs/METRICS.md");
    assert!(
        page.contains(&format!(
            "| histograms | {MAX_SEPARATE_HISTOGRAMS} kept apart, then one more"
        ))
    );
    let metrics = Metrics::start(None).unwrap();
    for n in 0..MAX_SEPARATE_HISTOGRAMS + 100 {
        let workspace = WorkspaceName::from(format!("w{n}"));
        let series = Series { workspace, ..series() };
        metrics.time(Timer::Wait, &series, Duration::from_millis(7));
    }
    let histograms = metrics.report("a").histograms;
    assert_eq!(histograms.len(), MAX_SEPARATE_HISTOGRAMS + 1);
    let others = histograms.iter().find(|it| it.workspace.as_str() == "(other)").unwrap();
    assert_eq!(others.count, 100);
}
