//! Metrics as text, and their bound.

use std::time::Duration;

use lacewingspring_proxy::{
    declared::RequestKind,
    metrics::{Metrics, Series},
};

#[test]
fn counts_workspaces_beyond_the_bound_together() {
    let metrics = Metrics::default();
    for number in 0..2_000 {
        let series = Series::new(&format!("w{number}"), 1, RequestKind::Stream);
        metrics.placed(&series, 0, Duration::from_millis(3));
        metrics.first_output(&series, Duration::from_millis(30), true);
        metrics.ended(&series, "answered", Duration::from_millis(300));
    }
    let text = metrics.text(Duration::from_secs(1), &[]).expect("text");
    let series =
        text.lines().filter(|line| line.starts_with("lacewingspring_requests_total")).count();
    assert!((256..=257).contains(&series), "{series} series");
    let other = text
        .lines()
        .find(|line| line.starts_with("lacewingspring_requests_total{workspace=\"other\""));
    assert!(other.is_some_and(|line| line.ends_with(" 1744")), "{other:?}");
    assert!(text.len() < 2_000_000, "{} bytes", text.len());
}
