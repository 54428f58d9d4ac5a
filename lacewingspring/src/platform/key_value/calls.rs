//! Call counters by purpose and kind.

use std::sync::atomic::{AtomicU64, Ordering};

/// Kind of a call to the key-value service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// A read of a key or prefix.
    Range,
    /// A transaction: compare-and-swap or create.
    Txn,
    /// An unconditional write.
    Put,
    /// An unconditional removal.
    Delete,
    /// A grant of a lease.
    LeaseGrant,
    /// A renewal of a lease.
    KeepAlive,
    /// A revocation of a lease.
    Revoke,
    /// An opened watch.
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

    /// Returns the label value of the kind in metrics.
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

/// Purpose of a call to the key-value service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Purpose {
    /// Following the declared resources.
    #[default]
    Watch,
    /// Committing a transaction.
    Commit,
    /// Claiming requests and storing their answers.
    Claim,
    /// Storing the leases, slots and halts of pool controllers.
    Lease,
    /// Storing verdicts on requests that crash upstreams.
    Poison,
}

impl Purpose {
    /// All purposes.
    pub const ALL: [Self; 5] = [Self::Watch, Self::Commit, Self::Claim, Self::Lease, Self::Poison];

    /// Returns the label value of the purpose in metrics.
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

/// Labels under which a call is counted.
#[derive(Clone, Copy, Debug)]
pub(super) struct CallLabel {
    pub(super) purpose: Purpose,
    pub(super) kind: CallKind,
}

/// Counts of calls made so far, successful or not.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CallCounts([[u64; CallKind::ALL.len()]; Purpose::ALL.len()]);

impl CallCounts {
    /// Returns the number of calls of one kind.
    pub fn of(&self, kind: CallKind) -> u64 {
        self.0.iter().map(|kinds| kinds[kind as usize]).sum()
    }

    /// Returns the number of calls for one purpose.
    pub fn for_purpose(&self, purpose: Purpose) -> u64 {
        self.0[purpose as usize].iter().sum()
    }

    /// Returns the number of all calls.
    pub fn total(&self) -> u64 {
        self.0.iter().flatten().sum()
    }
}

/// Lock-free counters of calls.
#[derive(Debug, Default)]
pub(super) struct CallCounters([[AtomicU64; CallKind::ALL.len()]; Purpose::ALL.len()]);

impl CallCounters {
    /// Counts one call.
    pub(super) fn record(&self, label: CallLabel) {
        self.0[label.purpose as usize][label.kind as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the current counts.
    pub(super) fn snapshot(&self) -> CallCounts {
        let read = |kinds: &[AtomicU64; CallKind::ALL.len()]| {
            std::array::from_fn(|i| kinds[i].load(Ordering::Relaxed))
        };
        CallCounts(std::array::from_fn(|i| read(&self.0[i])))
    }
}
