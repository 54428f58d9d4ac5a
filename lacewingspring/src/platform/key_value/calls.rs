//! Counters of calls by purpose and kind.

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

/// What calls are made for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Purpose {
    /// To follow the declared resources.
    #[default]
    Watch,
    /// To commit a transaction.
    Commit,
    /// To claim requests and to keep their answers.
    Claim,
    /// To keep the leases, slots and halts of pool controllers.
    Lease,
    /// To keep the verdicts on requests that crash upstreams.
    Poison,
}

impl Purpose {
    /// All purposes.
    pub const ALL: [Self; 5] = [Self::Watch, Self::Commit, Self::Claim, Self::Lease, Self::Poison];

    /// Returns the purpose as it is written in metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Watch => "watch",
            Self::Commit => "commit",
            Self::Claim => "claim",
            Self::Lease => "lease",
            Self::Poison => "poison",
        }
    }
}

/// What a call is counted under.
#[derive(Clone, Copy, Debug)]
pub(super) struct CallLabel {
    pub(super) purpose: Purpose,
    pub(super) kind: CallKind,
}

/// Calls made so far, whether they succeeded or not.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CallCounts([[u64; CallKind::ALL.len()]; Purpose::ALL.len()]);

impl CallCounts {
    /// Returns the calls of one kind.
    pub fn of(&self, kind: CallKind) -> u64 {
        self.0.iter().map(|kinds| kinds[kind as usize]).sum()
    }

    /// Returns the calls for one purpose.
    pub fn for_purpose(&self, purpose: Purpose) -> u64 {
        self.0[purpose as usize].iter().sum()
    }

    /// Returns all calls.
    pub fn total(&self) -> u64 {
        self.0.iter().flatten().sum()
    }
}

/// Counters that are updated without a lock.
#[derive(Debug, Default)]
pub(super) struct CallCounters([[AtomicU64; CallKind::ALL.len()]; Purpose::ALL.len()]);

impl CallCounters {
    /// Counts one call.
    pub(super) fn record(&self, label: CallLabel) {
        self.0[label.purpose as usize][label.kind as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the present counts.
    pub(super) fn snapshot(&self) -> CallCounts {
        let read = |kinds: &[AtomicU64; CallKind::ALL.len()]| {
            std::array::from_fn(|i| kinds[i].load(Ordering::Relaxed))
        };
        CallCounts(std::array::from_fn(|i| read(&self.0[i])))
    }
}
