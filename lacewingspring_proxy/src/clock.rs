//! The one place that reads a clock.

use std::{
    sync::OnceLock,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use rustix::time::{ClockId, clock_gettime};
use tokio::time::Instant;

/// Time of the clock at the start of the process, so that times before it can be told.
const ORIGIN: Duration = Duration::from_hours(24);

static START: OnceLock<Duration> = OnceLock::new();

/// Returns the time since a day before the process first asked.
///
/// The clock counts the time that the machine was suspended, so that a pause shows as a jump.
pub fn now() -> Duration {
    let boot = read();
    let start = *START.get_or_init(|| boot);
    ORIGIN + boot.saturating_sub(start)
}

/// Returns the time since the Unix epoch, for records that people read.
#[allow(clippy::disallowed_methods)]
pub fn wall() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}

fn read() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    Duration::new(time.tv_sec.unsigned_abs(), time.tv_nsec as u32)
}

/// Returns the instant of a time of [`now`] for the timers of the runtime.
#[allow(clippy::disallowed_methods)]
pub fn instant(at: Duration) -> Instant {
    Instant::now() + at.saturating_sub(now())
}
