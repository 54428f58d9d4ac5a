//! Times as people read them.

use std::fmt::{self, Display, Formatter};

/// Milliseconds of a day.
const DAY_MS: u64 = 86_400_000;

/// Days from 1 March of the year 0 to the Unix epoch.
const EPOCH_DAYS: u64 = 719_468;

/// Days of 400 years.
const ERA_DAYS: u64 = 146_097;

/// Time in milliseconds since the Unix epoch, shown in UTC as RFC 3339 writes it.
#[derive(Clone, Copy, Debug)]
pub struct Utc(pub u64);

impl Display for Utc {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let (year, month, day) = date(self.0 / DAY_MS);
        let ms = self.0 % DAY_MS;
        let (hour, minute, second) = (ms / 3_600_000, ms / 60_000 % 60, ms / 1_000 % 60);
        write!(f, "{year:04}-{month:02}-{day:02}T{hour:02}:{minute:02}:{second:02}")?;
        write!(f, ".{:03}Z", ms % 1_000)
    }
}

/// Returns year, month and day of a day since the Unix epoch, in the Gregorian calendar.
const fn date(days: u64) -> (u64, u64, u64) {
    let days = days + EPOCH_DAYS;
    let (era, of_era) = (days / ERA_DAYS, days % ERA_DAYS);
    // Leap days fall on the last day of a year that begins with March.
    let year = (of_era - of_era / 1_460 + of_era / 36_524 - of_era / 146_096) / 365;
    let of_year = of_era - (365 * year + year / 4 - year / 100);
    let since_march = (5 * of_year + 2) / 153;
    let day = of_year - (153 * since_march + 2) / 5 + 1;
    let month = if since_march < 10 { since_march + 3 } else { since_march - 9 };
    (era * 400 + year + (month <= 2) as u64, month, day)
}
