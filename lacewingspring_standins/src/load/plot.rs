//! Plots percentile curves as SVG.

use std::fmt::Write;

use super::{
    report::Report,
    stats::{CurvePoint, GroupReport},
};

/// Width of a panel, in pixels.
const PANEL_WIDTH: f64 = 300.0;

/// Height of a panel, in pixels.
const PANEL_HEIGHT: f64 = 240.0;

/// Margin to the left of a panel, in pixels.
const MARGIN_LEFT: f64 = 60.0;

/// Margin above a panel, in pixels.
const MARGIN_TOP: f64 = 50.0;

/// Margin below a panel, in pixels.
const MARGIN_BOTTOM: f64 = 70.0;

/// Lower end of the time axis.
const MIN_MS: f64 = 1.0;

/// Upper end of the time axis.
const MAX_MS: f64 = 100_000.0;

/// Percentiles with a tick on the horizontal axis; the last one is its end.
const TICK_PERCENTILES: [f64; 5] = [1.0, 50.0, 90.0, 99.0, 99.9];

/// Curve colours, in the order of the reports; further reports are not drawn.
const COLOURS: [&str; 4] = ["#0b6e4f", "#c8553d", "#2e5eaa", "#8d6a9f"];

/// Draws the time to first token, with one panel per tier and one curve per report.
pub fn first_token(reports: &[Report]) -> String {
    let tiers: Vec<&GroupReport> = reports.first().map_or_else(Vec::new, |r| r.tiers().collect());
    let width = MARGIN_LEFT + (PANEL_WIDTH + MARGIN_LEFT) * tiers.len() as f64;
    let height = MARGIN_TOP + PANEL_HEIGHT + MARGIN_BOTTOM;
    let mut svg = format!(
        "<svg xmlns=\"http://www.w3.org/2000/svg\" viewBox=\"0 0 {width} {height}\" \
         font-family=\"sans-serif\" font-size=\"11\">\n\
         <rect width=\"{width}\" height=\"{height}\" fill=\"white\"/>\n"
    );
    let scenario = reports.first().map_or("", |report| &report.scenario);
    draw_text(
        &mut svg,
        MARGIN_LEFT,
        18.0,
        &format!("{scenario}: time to first token (ms) by percentile"),
    );
    for (index, tier) in tiers.iter().enumerate() {
        let x = MARGIN_LEFT + (PANEL_WIDTH + MARGIN_LEFT) * index as f64;
        draw_panel(&mut svg, x, &tier.name.tier, reports);
    }
    draw_legend(&mut svg, reports);
    svg + "</svg>\n"
}

fn draw_panel(svg: &mut String, x: f64, tier: &str, reports: &[Report]) {
    draw_text(svg, x, MARGIN_TOP - 8.0, tier);
    let _ = writeln!(
        svg,
        "<rect x=\"{x}\" y=\"{MARGIN_TOP}\" width=\"{PANEL_WIDTH}\" height=\"{PANEL_HEIGHT}\" \
         fill=\"none\" stroke=\"#888\"/>"
    );
    let mut ms = MIN_MS;
    while ms <= MAX_MS {
        let y = y_of(ms);
        draw_line(svg, [x, y], [x + PANEL_WIDTH, y]);
        draw_text(svg, x - 44.0, y + 4.0, &ms.to_string());
        ms *= 10.0;
    }
    for percentile in TICK_PERCENTILES {
        let tick_x = x + x_of(percentile);
        draw_line(svg, [tick_x, MARGIN_TOP], [tick_x, MARGIN_TOP + PANEL_HEIGHT]);
        draw_text(svg, tick_x - 10.0, MARGIN_TOP + PANEL_HEIGHT + 16.0, &format!("p{percentile}"));
    }
    for (report, colour) in reports.iter().zip(COLOURS) {
        let group = report.tiers().find(|group| group.name.tier == tier);
        if let Some(group) = group.filter(|group| group.counts.answered > 0) {
            draw_curve(svg, x, &group.first_token_curve, colour);
        }
    }
}

fn draw_curve(svg: &mut String, x: f64, points: &[CurvePoint], colour: &str) {
    let _ = write!(svg, "<polyline fill=\"none\" stroke=\"{colour}\" stroke-width=\"2\" points=\"");
    for point in points {
        let _ = write!(svg, "{:.1},{:.1} ", x + x_of(point.percentile), y_of(point.ms));
    }
    svg.push_str("\"/>\n");
}

fn draw_legend(svg: &mut String, reports: &[Report]) {
    let y = MARGIN_TOP + PANEL_HEIGHT + 45.0;
    for (index, (report, colour)) in reports.iter().zip(COLOURS).enumerate() {
        let x = MARGIN_LEFT + 140.0 * index as f64;
        let _ = writeln!(
            svg,
            "<rect x=\"{x}\" y=\"{}\" width=\"20\" height=\"4\" fill=\"{colour}\"/>",
            y - 6.0
        );
        draw_text(svg, x + 26.0, y, &report.policy);
    }
}

fn draw_text(svg: &mut String, x: f64, y: f64, content: &str) {
    let content = content.replace('&', "&amp;").replace('<', "&lt;");
    let _ = writeln!(svg, "<text x=\"{x:.1}\" y=\"{y:.1}\">{content}</text>");
}

fn draw_line(svg: &mut String, from: [f64; 2], to: [f64; 2]) {
    let ([x1, y1], [x2, y2]) = (from, to);
    let _ = writeln!(
        svg,
        "<line x1=\"{x1:.1}\" y1=\"{y1:.1}\" x2=\"{x2:.1}\" y2=\"{y2:.1}\" stroke=\"#ddd\"/>"
    );
}

/// Horizontal offset of a percentile: each further nine (90, 99, 99.9) takes the same width.
fn x_of(percentile: f64) -> f64 {
    let nines = |percentile: f64| -(1.0 - percentile / 100.0).log10();
    PANEL_WIDTH * nines(percentile) / nines(TICK_PERCENTILES[TICK_PERCENTILES.len() - 1])
}

/// Vertical position of a time on the logarithmic axis.
fn y_of(ms: f64) -> f64 {
    let fraction = (ms.max(MIN_MS) / MIN_MS).log10() / (MAX_MS / MIN_MS).log10();
    MARGIN_TOP + PANEL_HEIGHT * (1.0 - fraction)
}
