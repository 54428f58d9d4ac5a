//! Quantiles of times, in constant memory and unmoved by single outliers.

/// Bins for each doubling, so that a quantile is exact to 5%.
const BINS_PER_OCTAVE: f64 = 8.0;

/// Lower end of the first bin in microseconds.
const MIN_MICROS: f64 = 0.1;

/// Number of bins; the last one begins at 394 s and holds all longer times.
const BINS: usize = 256;

/// Number of times in each bin.
#[derive(Clone, Debug)]
pub(super) struct Histogram {
    bins: Vec<u32>,
    len: u32,
}

impl Default for Histogram {
    fn default() -> Self {
        Self { bins: vec![0; BINS], len: 0 }
    }
}

impl Histogram {
    pub const fn len(&self) -> u32 {
        self.len
    }

    pub fn record(&mut self, micros: f64) {
        let octaves = (micros.max(MIN_MICROS) / MIN_MICROS).log2();
        let bin = ((octaves * BINS_PER_OCTAVE) as usize).min(BINS - 1);
        self.bins[bin] = self.bins[bin].saturating_add(1);
        self.len = self.len.saturating_add(1);
    }

    /// Returns the median in microseconds; the middle of its bin.
    pub fn median(&self) -> f64 {
        let mut seen = 0;
        let bin = self.bins.iter().position(|count| {
            seen += count;
            2 * seen >= self.len
        });
        let octaves = (bin.unwrap_or(0) as f64 + 0.5) / BINS_PER_OCTAVE;
        MIN_MICROS * octaves.exp2()
    }
}
