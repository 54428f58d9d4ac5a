//! Monotonic and wall-clock time; no other module reads a clock.

use std::{
    sync::OnceLock,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use rustix::time::{ClockId, clock_gettime};
use tokio::time::Instant;

/// Value of [`now`] at its first call; it is not zero so that earlier times can be represented.
const START_OFFSET: Duration = Duration::from_hours(24);

static START: OnceLock<Duration> = OnceLock::new();

/// Returns the monotonic time since a day before the first call in this process.
///
/// The clock also advances while the machine is suspended, so that a suspension shows as a jump.
pub fn now() -> Duration {
    let since_boot = read_boot_time();
    let start = *START.get_or_init(|| since_boot);
    START_OFFSET + since_boot.saturating_sub(start)
}

/// Returns the wall-clock time since the Unix epoch, for records that people read.
#[allow(clippy::disallowed_methods)]
pub fn wall() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}

fn read_boot_time() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    Duration::new(time.tv_sec.unsigned_abs(), time.tv_nsec as u32)
}

/// Converts a time of [`now`] to an instant for the timers of the runtime; a time that has passed
/// becomes the present.
#[allow(clippy::disallowed_methods)]
pub fn instant(at: Duration) -> Instant {
    Instant::now() + at.saturating_sub(now())
}
