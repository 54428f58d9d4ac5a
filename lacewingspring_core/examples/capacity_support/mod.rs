//! Measurement of memory and time, and linear fits, for the capacity examples.

#![allow(dead_code, reason = "each example uses only some of the items")]

use std::{
    env, fs,
    process::Command,
    time::{Duration, Instant},
};

/// Size of a memory page, in bytes.
const PAGE_BYTES: f64 = 4_096.0;

/// Measured values of one quantity at several sizes.
#[derive(Debug)]
pub struct Series {
    name: &'static str,
    points: Vec<(f64, f64)>,
}

impl Series {
    /// Creates an empty series. The name ends with the unit of the values.
    pub fn new(name: &'static str) -> Self {
        Self { name, points: Vec::new() }
    }

    /// Adds the value measured at a size.
    pub fn add(&mut self, size: usize, value: f64) {
        self.points.push((size as f64, value));
    }

    /// Prints a table row with the points, the least-squares line and the largest residual.
    pub fn print(&self) {
        let points: Vec<_> = self.points.iter().map(|(x, y)| format!("{x:.0}: {y:.1}")).collect();
        let (intercept, slope) = self.fit();
        let residual = |(x, y): &(f64, f64)| (y - intercept - slope * x).abs();
        let max_residual = self.points.iter().map(residual).fold(0.0, f64::max);
        println!(
            "| {} | {} | {intercept:.2} + {slope:.4} n | {max_residual:.1} |",
            self.name,
            points.join(", ")
        );
    }

    fn fit(&self) -> (f64, f64) {
        let n = self.points.len() as f64;
        let mean_x = self.points.iter().map(|(x, _)| x).sum::<f64>() / n;
        let mean_y = self.points.iter().map(|(_, y)| y).sum::<f64>() / n;
        let covariance: f64 = self.points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum();
        let variance: f64 = self.points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
        let slope = covariance / variance.max(f64::MIN_POSITIVE);
        (mean_y - slope * mean_x, slope)
    }
}

/// Prints the header of the table of series.
pub fn print_header() {
    println!("| quantity | size: value | line | largest residual |");
    println!("| --- | --- | --- | ---: |");
}

/// Returns the resident memory of this process, in bytes.
pub fn resident_bytes() -> f64 {
    let statm = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split(' ').nth(1).and_then(|pages| pages.parse::<f64>().ok());
    pages.unwrap_or_default() * PAGE_BYTES
}

/// Argument with which an example measures the memory of one kind of state, prints it and exits.
pub const MEMORY_ARGUMENT: &str = "memory";

/// Measures the memory of a kind of state at a size in a new process, in bytes.
///
/// In this process the allocator would reuse memory that earlier measurements freed, so that the
/// resident set would grow too little.
pub fn memory_in_new_process(kind: &str, size: usize) -> f64 {
    let program = env::current_exe().expect("the path of this example");
    let run = Command::new(program).args([MEMORY_ARGUMENT, kind, &size.to_string()]).output();
    let printed = String::from_utf8(run.expect("the example runs itself").stdout)
        .expect("the example prints UTF-8");
    printed.trim().parse().expect("the example prints a number")
}

/// Returns the kind of state and the size to measure, if this process was started by
/// `memory_in_new_process`.
pub fn requested_measurement() -> Option<(String, usize)> {
    let mut args = env::args().skip(1);
    (args.next()? == MEMORY_ARGUMENT).then_some(())?;
    Some((args.next()?, args.next()?.parse().ok()?))
}

/// Builds `copies` values and returns the growth of the resident memory per value, in bytes. The
/// values are never freed.
pub fn resident_bytes_each<T, F>(copies: usize, mut build: F) -> f64
where
    F: FnMut() -> T,
{
    let before = resident_bytes();
    let built: Vec<T> = (0..copies).map(|_| build()).collect();
    let after = resident_bytes();
    std::mem::forget(std::hint::black_box(built));
    (after - before) / copies as f64
}

/// Number of batches of calls, of which the fastest counts.
pub const BATCHES: u32 = 5;

/// Returns the mean time of a call in the fastest of `BATCHES` batches of `calls` calls each.
#[expect(clippy::disallowed_methods, reason = "a benchmark reads the clock")]
pub fn mean_call_time<F>(calls: u32, mut call: F) -> Duration
where
    F: FnMut(u32),
{
    let batch = |batch: u32| {
        let started = Instant::now();
        for i in 0..calls {
            call(batch * calls + i);
        }
        started.elapsed() / calls
    };
    (0..BATCHES).map(batch).min().unwrap_or_default()
}
