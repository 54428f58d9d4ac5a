//! Detection of a frozen process by the jump of its clock.

use std::time::Duration;

/// Tells when this process did not run for longer than a bound.
///
/// The clock must count time for which the machine was suspended.
#[derive(Clone, Debug)]
pub struct FreezeDetector {
    bound: Duration,
    last: Option<Duration>,
}

/// A time for which the process did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Freeze {
    /// Time between the two ticks.
    pub gap: Duration,
}

impl FreezeDetector {
    /// Creates a guard; ticks must come much more often than `bound`.
    pub fn new(bound: Duration) -> Self {
        Self { bound, last: None }
    }

    /// Takes the time of a tick and returns the freeze that ended with it, if one did.
    pub fn tick(&mut self, now: Duration) -> Option<Freeze> {
        let last = self.last.replace(now)?;
        let gap = now.saturating_sub(last);
        (gap > self.bound).then_some(Freeze { gap })
    }

    /// Returns whether the process has been frozen since the last tick, without a tick.
    ///
    /// A dispatch asks this right before its first byte, since ticks may lag behind a thaw.
    pub fn is_frozen(&self, now: Duration) -> bool {
        self.last.is_some_and(|last| now.saturating_sub(last) > self.bound)
    }
}
