//! The number of log lines about callers outside the limits is bounded.

use std::time::Duration;

use lacewingspring_proxy::log_interval::LogInterval;

/// Guards against an event whose time was read before that of the last line, as events of several
/// threads are counted in any order.
#[test]
fn counts_an_event_that_is_older_than_the_last_line() {
    let log = LogInterval::default();
    let now = Duration::from_secs(100);
    assert_eq!(log.count(now), Some(1));
    assert_eq!(log.count(now - Duration::from_millis(1)), None);
    assert_eq!(log.count(now + Duration::from_secs(10)), Some(2));
}
