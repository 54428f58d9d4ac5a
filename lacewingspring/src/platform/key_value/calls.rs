//! Counters of calls by kind.

use std::sync::atomic::{AtomicU64, Ordering};

/// Kinds of calls to the key-value service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// A read of a key or prefix.
    Range,
    /// A transaction: compare-and-swap or create.
    Txn,
    /// A plain write.
    Put,
    /// A plain removal.
    Delete,
    /// A new lease.
    LeaseGrant,
    /// A renewal of a lease.
    KeepAlive,
    /// The end of a lease.
    Revoke,
    /// A watch that was opened.
    Watch,
}

impl CallKind {
    /// All kinds.
    pub const ALL: [Self; 8] = [
        Self::Range,
        Self::Txn,
        Self::Put,
        Self::Delete,
        Self::LeaseGrant,
        Self::KeepAlive,
        Self::Revoke,
        Self::Watch,
    ];

    /// Returns the kind as it is written in metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Range => "range",
            Self::Txn => "txn",
            Self::Put => "put",
            Self::Delete => "delete",
            Self::LeaseGrant => "lease_grant",
            Self::KeepAlive => "keep_alive",
            Self::Revoke => "revoke",
            Self::Watch => "watch",
        }
    }
}

/// Calls made so far, by kind, whether they succeeded or not.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CallCounts([u64; CallKind::ALL.len()]);

impl CallCounts {
    /// Returns the calls of one kind.
    pub fn of(&self, kind: CallKind) -> u64 {
        self.0[kind as usize]
    }

    /// Returns the calls of all kinds.
    pub fn total(&self) -> u64 {
        self.0.iter().sum()
    }
}

/// Counters that are updated without a lock.
#[derive(Debug, Default)]
pub(super) struct CallCounters([AtomicU64; CallKind::ALL.len()]);

impl CallCounters {
    /// Counts one call.
    pub(super) fn record(&self, kind: CallKind) {
        self.0[kind as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the present counts.
    pub(super) fn snapshot(&self) -> CallCounts {
        CallCounts(std::array::from_fn(|i| self.0[i].load(Ordering::Relaxed)))
    }
}
