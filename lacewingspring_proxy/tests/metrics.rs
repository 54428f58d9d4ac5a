//! Metrics as text, and the limit on the number of series.

use std::time::Duration;

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
