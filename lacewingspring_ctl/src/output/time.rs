//! Formats timestamps.

use std::fmt::{self, Display, Formatter};

/// Length of a day, in milliseconds.
const DAY_MS: u64 = 86_400_000;

/// Number of days from 1 March of the year 0 to the Unix epoch.
const EPOCH_DAYS: u64 = 719_468;

/// Number of days in 400 years, the period of the Gregorian calendar.
const DAYS_PER_ERA: u64 = 146_097;

/// Time in milliseconds since the Unix epoch, displayed in UTC as in RFC 3339.
#[derive(Clone, Copy, Debug)]
pub struct Utc(pub u64);

impl Display for Utc {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let (year, month, day) = civil_date(self.0 / DAY_MS);
        let ms = self.0 % DAY_MS;
        let (hour, minute, second) = (ms / 3_600_000, ms / 60_000 % 60, ms / 1_000 % 60);
        write!(f, "{year:04}-{month:02}-{day:02}T{hour:02}:{minute:02}:{second:02}")?;
        write!(f, ".{:03}Z", ms % 1_000)
    }
}

/// Converts days since the Unix epoch to year, month and day of the Gregorian calendar.
const fn civil_date(days: u64) -> (u64, u64, u64) {
    let days = days + EPOCH_DAYS;
    let (era, day_of_era) = (days / DAYS_PER_ERA, days % DAYS_PER_ERA);
    // Years are counted from 1 March, so that the leap day is the last day of a year. The terms of
    // the dividend cancel the leap days: one per 4 years (1 460 days without it), none at the end
    // of a century (36 524 days), one at the end of 400 years (146 096 days without it).
    let year = (day_of_era - day_of_era / 1_460 + day_of_era / 36_524 - day_of_era / 146_096) / 365;
    let day_of_year = day_of_era - (365 * year + year / 4 - year / 100);
    // From March on, every five months have 153 days.
    let months_since_march = (5 * day_of_year + 2) / 153;
    let day = day_of_year - (153 * months_since_march + 2) / 5 + 1;
    let month =
        if months_since_march < 10 { months_since_march + 3 } else { months_since_march - 9 };
    (era * 400 + year + (month <= 2) as u64, month, day)
}
