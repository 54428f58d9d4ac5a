//! Metrics as text, and the limit on the number of series.

use std::time::Duration;

use lacewingspring_core::{dispatch::LoadReports, names::WorkspaceName};
use lacewingspring_proxy::{
    declared::RequestKind,
    metrics::{Metrics, Series},
};

#[test]
fn counts_workspaces_beyond_the_series_limit_as_other() {
    let metrics = Metrics::default();
    for number in 0..2_000 {
        let series = Series::new(&format!("w{number}"), 1, RequestKind::Stream);
        metrics.slot_granted(&series, 0, Duration::from_millis(3));
        metrics.first_output(&series, Duration::from_millis(30), true);
        metrics.request_ended(&series, "answered", Duration::from_millis(300));
    }
    let text = metrics.text(Duration::from_secs(1), &[]).expect("encodes the metrics");
    let series =
        text.lines().filter(|line| line.starts_with("lacewingspring_requests_total")).count();
    assert!((256..=257).contains(&series), "{series} series of requests, expected 256 or 257");
    let other = text
        .lines()
        .find(|line| line.starts_with("lacewingspring_requests_total{workspace=\"other\""));
    assert!(other.is_some_and(|line| line.ends_with(" 1744")), "expected 1744 requests: {other:?}");
    assert!(text.len() < 2_000_000, "the metrics take {} bytes", text.len());
}

#[test]
fn exports_how_load_reports_were_used() {
    let metrics = Metrics::default();
    metrics.set_load_reports(&LoadReports {
        received: 40,
        ignored: 3,
        used: 20,
        age_at_use: Duration::from_millis(2_500),
        predicted: 18,
        error: Duration::from_millis(450),
    });
    let text = metrics.text(Duration::from_secs(1), &[]).expect("encodes the metrics");
    for line in [
        "lacewingspring_load_reports_total 40",
        "lacewingspring_ignored_load_reports_total 3",
        "lacewingspring_load_report_uses_total 20",
        "lacewingspring_load_report_age_seconds_total 2.5",
        "lacewingspring_load_predictions_total 18",
        "lacewingspring_load_prediction_error_seconds_total 0.45",
    ] {
        assert!(text.lines().any(|other| other == line), "{line} is missing in {text}");
    }
}

/// Guards against a series for each of many workspaces.
#[test]
fn exports_granted_time_with_a_bounded_number_of_series() {
    let metrics = Metrics::default();
    let names = (0..1_000).map(|number| Some(WorkspaceName::from(format!("w{number:04}"))));
    let granted = names.chain([None]).map(|workspace| (workspace, Duration::from_millis(500)));
    metrics.set_granted_time(&granted.collect());
    let text = metrics.text(Duration::from_secs(1), &[]).expect("encodes the metrics");
    let prefix = "lacewingspring_granted_upstream_seconds_total{";
    assert_eq!(text.lines().filter(|line| line.starts_with(prefix)).count(), 257);
    for line in ["workspace=\"\"} 0.5", "workspace=\"w0000\"} 0.5", "workspace=\"other\"} 372.5"] {
        let line = format!("{prefix}{line}");
        assert!(text.lines().any(|other| other == line), "{line} is missing");
    }
}
