//! Plot of percentile curves as SVG.

use std::fmt::Write;

use super::{
    report::Report,
    stats::{GroupReport, Point},
};

/// Width of a panel, in pixels.
const PANEL_WIDTH: f64 = 300.0;

/// Height of a panel, in pixels.
const PANEL_HEIGHT: f64 = 240.0;

/// Space left of a panel, in pixels.
const LEFT: f64 = 60.0;

/// Space above a panel, in pixels.
const TOP: f64 = 50.0;

/// Space below a panel, in pixels.
const BOTTOM: f64 = 70.0;

/// Least time of the axis, in milliseconds.
const LEAST_MS: f64 = 1.0;

/// Greatest time of the axis, in milliseconds.
const GREATEST_MS: f64 = 100_000.0;

/// Percentiles with a mark on the axis.
const MARKS: [f64; 5] = [1.0, 50.0, 90.0, 99.0, 99.9];

/// Colours of the policies, in the order of the reports.
const COLOURS: [&str; 4] = ["#0b6e4f", "#c8553d", "#2e5eaa", "#8d6a9f"];

/// Draws the time to the first token: a panel a tier, a curve a policy.
pub fn first_token(reports: &[Report]) -> String {
    let tiers: Vec<&GroupReport> = reports.first().map_or_else(Vec::new, |r| r.tiers().collect());
    let width = LEFT + (PANEL_WIDTH + LEFT) * tiers.len() as f64;
    let height = TOP + PANEL_HEIGHT + BOTTOM;
    let mut svg = format!(
        "<svg xmlns=\"http://www.w3.org/2000/svg\" viewBox=\"0 0 {width} {height}\" \
         font-family=\"sans-serif\" font-size=\"11\">\n\
         <rect width=\"{width}\" height=\"{height}\" fill=\"white\"/>\n"
    );
    let scenario = reports.first().map_or("", |report| &report.scenario);
    text(&mut svg, LEFT, 18.0, &format!("{scenario}: time to first token (ms) by percentile"));
    for (index, tier) in tiers.iter().enumerate() {
        let x = LEFT + (PANEL_WIDTH + LEFT) * index as f64;
        panel(&mut svg, x, &tier.name.tier, reports);
    }
    legend(&mut svg, reports);
    svg + "</svg>\n"
}

fn panel(svg: &mut String, x: f64, tier: &str, reports: &[Report]) {
    text(svg, x, TOP - 8.0, tier);
    let _ = writeln!(
        svg,
        "<rect x=\"{x}\" y=\"{TOP}\" width=\"{PANEL_WIDTH}\" height=\"{PANEL_HEIGHT}\" \
         fill=\"none\" stroke=\"#888\"/>"
    );
    let mut ms = LEAST_MS;
    while ms <= GREATEST_MS {
        let y = y_of(ms);
        line(svg, [x, y], [x + PANEL_WIDTH, y]);
        text(svg, x - 44.0, y + 4.0, &ms.to_string());
        ms *= 10.0;
    }
    for percentile in MARKS {
        let at = x + x_of(percentile);
        line(svg, [at, TOP], [at, TOP + PANEL_HEIGHT]);
        text(svg, at - 10.0, TOP + PANEL_HEIGHT + 16.0, &format!("p{percentile}"));
    }
    for (report, colour) in reports.iter().zip(COLOURS) {
        let group = report.tiers().find(|group| group.name.tier == tier);
        if let Some(group) = group.filter(|group| group.counts.answered > 0) {
            curve(svg, x, &group.first_token_curve, colour);
        }
    }
}

fn curve(svg: &mut String, x: f64, points: &[Point], colour: &str) {
    let _ = write!(svg, "<polyline fill=\"none\" stroke=\"{colour}\" stroke-width=\"2\" points=\"");
    for point in points {
        let _ = write!(svg, "{:.1},{:.1} ", x + x_of(point.percentile), y_of(point.ms));
    }
    svg.push_str("\"/>\n");
}

fn legend(svg: &mut String, reports: &[Report]) {
    let y = TOP + PANEL_HEIGHT + 45.0;
    for (index, (report, colour)) in reports.iter().zip(COLOURS).enumerate() {
        let x = LEFT + 140.0 * index as f64;
        let _ = writeln!(
            svg,
            "<rect x=\"{x}\" y=\"{}\" width=\"20\" height=\"4\" fill=\"{colour}\"/>",
            y - 6.0
        );
        text(svg, x + 26.0, y, &report.policy);
    }
}

fn text(svg: &mut String, x: f64, y: f64, content: &str) {
    let content = content.replace('&', "&amp;").replace('<', "&lt;");
    let _ = writeln!(svg, "<text x=\"{x:.1}\" y=\"{y:.1}\">{content}</text>");
}

fn line(svg: &mut String, from: [f64; 2], to: [f64; 2]) {
    let ([x1, y1], [x2, y2]) = (from, to);
    let _ = writeln!(
        svg,
        "<line x1=\"{x1:.1}\" y1=\"{y1:.1}\" x2=\"{x2:.1}\" y2=\"{y2:.1}\" stroke=\"#ddd\"/>"
    );
}

/// Place of a percentile: each further nine takes the same width.
fn x_of(percentile: f64) -> f64 {
    let nines = |percentile: f64| -(1.0 - percentile / 100.0).log10();
    PANEL_WIDTH * nines(percentile) / nines(MARKS[MARKS.len() - 1])
}

/// Place of a time on a logarithmic axis.
fn y_of(ms: f64) -> f64 {
    let share = (ms.max(LEAST_MS) / LEAST_MS).log10() / (GREATEST_MS / LEAST_MS).log10();
    TOP + PANEL_HEIGHT * (1.0 - share)
}
