//! Detection of a process freeze by a jump of the clock between two ticks.

use std::time::Duration;

/// Detects that this process did not run for longer than a threshold.
///
/// The clock must include the time for which the machine was suspended.
#[derive(Clone, Debug)]
pub struct FreezeDetector {
    threshold: Duration,
    last_tick: Option<Duration>,
}

/// A detected freeze of this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Freeze {
    /// Time between the last tick before the freeze and the first one after it.
    pub gap: Duration,
}

impl FreezeDetector {
    /// Creates a detector; the interval between ticks must be much shorter than `threshold`.
    pub fn new(threshold: Duration) -> Self {
        Self { threshold, last_tick: None }
    }

    /// Records a tick; returns the freeze that ended with it, if any.
    pub fn tick(&mut self, now: Duration) -> Option<Freeze> {
        let last_tick = self.last_tick.replace(now)?;
        let gap = now.saturating_sub(last_tick);
        (gap > self.threshold).then_some(Freeze { gap })
    }

    /// Returns whether the process was frozen since the last tick, without recording a tick.
    ///
    /// To be checked right before the first byte of a dispatch is sent, since the next tick may
    /// come only some time after the process resumes.
    pub fn is_frozen(&self, now: Duration) -> bool {
        self.last_tick.is_some_and(|last_tick| now.saturating_sub(last_tick) > self.threshold)
    }
}
