//! Whether the entries of upstreams have been read since the process started.
//!
//! A process that has not read them knows no upstream and must not refuse requests for that reason.
//! It accepts no links from other instances, which use the next candidate for the gate, and defers
//! the requests of its own callers until it is linked to another gate or has read the entries.

use std::time::Duration;

use log::info;
use tokio::time::timeout;

use super::GateHost;

/// Time for which a link from another instance waits until the entries are read. A starting process
/// needs a few milliseconds; instances give up a link without a message after a second.
const MAX_LINK_WAIT: Duration = Duration::from_millis(250);

impl GateHost {
    /// Decides on no request and accepts no link until the entries of upstreams have been read.
    pub fn require_entries(&self) {
        self.has_entries.send_replace(false);
    }

    /// Notes that the upstreams are those of entries that have been read.
    pub fn set_entries_read(&self, now: Duration) {
        if !self.has_entries.send_replace(true) {
            self.decide_deferred(now);
        }
    }

    /// Returns whether the entries of upstreams have been read, or need not be.
    pub fn has_entries(&self) -> bool {
        *self.has_entries.borrow()
    }

    /// Waits until the entries are read, for [`MAX_LINK_WAIT`] at most; returns whether they are.
    pub(super) async fn wait_for_entries(&self) -> bool {
        let mut has_entries = self.has_entries.subscribe();
        let read = timeout(MAX_LINK_WAIT, has_entries.wait_for(|has_entries| *has_entries)).await;
        if read.is_err() {
            self.log_refused_link.call_once(|| {
                info!(
                    "Links of other instances are refused until the entries of upstreams are read."
                );
            });
        }
        read.is_ok()
    }
}
