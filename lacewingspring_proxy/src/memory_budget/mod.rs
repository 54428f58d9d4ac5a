//! Budget of the memory that callers can make this process hold.
//!
//! Whoever holds memory for a caller acquires a [`Share`] of the budget before, which is released
//! when it is dropped. If the budget is short, bodies that are slow or stopped short of their end
//! are given up, the newest first, then those furthest from their end ([`arrivals`]). A part of the
//! budget is reserved for bodies that are complete, which a crowd of unfinished ones cannot take.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use tokio::{
    sync::{OwnedSemaphorePermit, Semaphore},
    time::timeout,
};

use self::arrivals::Arrivals;
use crate::{log_interval::LogInterval, settings::BYTES_PER_MEGABYTE};

pub mod arrivals;
pub mod body;
pub mod flow;

/// Bytes of a unit in which shares are counted.
const UNIT_BYTES: usize = 1_024;

/// Memory, in bytes, that the process needs without callers. At rest it uses about 18 MB in a large
/// fleet; the rest is for the queue of the log, links and the copies of the store.
const FLOOR_BYTES: f64 = 24e6;

/// Part of the memory beyond the floor that is handed out. The rest is for what the allocator
/// loses to fragmentation.
const SHARED_PART: f64 = 0.8;

/// Smallest budget, in bytes, so that a machine smaller than [`FLOOR_BYTES`] still serves requests.
const MIN_BUDGET_BYTES: f64 = 8e6;

/// One part in so many of the budget is reserved for complete bodies and for sending them.
const RESERVED_DIVISOR: usize = 5;

/// Time between attempts to acquire a share. After it, bodies without progress are known as such.
const RETRY_INTERVAL: Duration = Duration::from_millis(300);

/// Number of attempts to acquire a share.
const MAX_ATTEMPTS: u32 = 5;

/// Longest time for which a share is waited for.
const MAX_WAIT: Duration = RETRY_INTERVAL.saturating_mul(MAX_ATTEMPTS);

/// Memory, in bytes, of a connection of a caller: its buffers and its task. docs/CAPACITY.md has
/// the measured sizes.
pub const CONNECTION_BYTES: usize = 32 * 1_024;

/// Connections use at most one part in so many of the budget.
const CONNECTIONS_DIVISOR: usize = 2;

/// What memory is held for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Kind {
    /// Connections of callers, with their buffers.
    Connections,
    /// Request bodies.
    Bodies,
    /// Exchanges with upstreams and responses on their way to callers.
    Responses,
}

impl Kind {
    /// All kinds.
    pub const ALL: [Self; 3] = [Self::Connections, Self::Bodies, Self::Responses];

    /// Returns the name in metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Connections => "connections",
            Self::Bodies => "bodies",
            Self::Responses => "responses",
        }
    }
}

/// From which part of the budget a share may be taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Access {
    /// From what is not reserved, for whoever may be slow or stop.
    General,
    /// Also from the reserve, for a request whose body is complete.
    Reserve,
}

/// Semaphores from which shares are acquired.
#[derive(Debug)]
struct Pools {
    connections: Arc<Semaphore>,
    general: Arc<Semaphore>,
    reserve: Arc<Semaphore>,
}

/// Budget of the memory that callers can make this process hold.
#[derive(Debug)]
pub struct MemoryBudget {
    /// `None` if memory is not bounded.
    pools: Option<Pools>,
    arrivals: Arrivals,
    held: [AtomicU64; Kind::ALL.len()],
    refused: [AtomicU64; Kind::ALL.len()],
    log: LogInterval,
}

/// Budget that is shared by the tasks of an instance.
pub type SharedBudget = Arc<MemoryBudget>;

/// A part of the budget; released on drop.
#[derive(Debug)]
pub struct Share {
    budget: SharedBudget,
    kind: Kind,
    bytes: u64,
    /// `None` if memory is not bounded.
    _permit: Option<OwnedSemaphorePermit>,
}

impl Drop for Share {
    fn drop(&mut self) {
        self.budget.held[self.kind as usize].fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

impl MemoryBudget {
    /// Creates the budget of a process that may use so many megabytes, `None` for no bound, and
    /// that accepts at most so many connections of callers.
    pub fn new(memory_mb: Option<f64>, max_connections: usize) -> SharedBudget {
        let pools = memory_mb.map(|memory_mb| {
            let shared = (memory_mb * BYTES_PER_MEGABYTE - FLOOR_BYTES) * SHARED_PART;
            let units = shared.max(MIN_BUDGET_BYTES) as usize / UNIT_BYTES;
            let connections = max_connections.saturating_mul(CONNECTION_BYTES) / UNIT_BYTES;
            let connections = connections.min(units / CONNECTIONS_DIVISOR);
            let reserved = (units - connections) / RESERVED_DIVISOR;
            Pools {
                connections: Arc::new(Semaphore::new(connections)),
                general: Arc::new(Semaphore::new(units - connections - reserved)),
                reserve: Arc::new(Semaphore::new(reserved)),
            }
        });
        Arc::new(Self {
            pools,
            arrivals: Arrivals::default(),
            held: Default::default(),
            refused: Default::default(),
            log: LogInterval::default(),
        })
    }

    /// Returns whether memory is bounded.
    pub fn is_bounded(&self) -> bool {
        self.pools.is_some()
    }

    /// Returns the bodies that are arriving.
    pub fn arrivals(&self) -> &Arrivals {
        &self.arrivals
    }

    /// Returns how many bytes are held for a kind.
    pub fn held_bytes(&self, kind: Kind) -> u64 {
        self.held[kind as usize].load(Ordering::Relaxed)
    }

    /// Returns how often a share of a kind was refused.
    pub fn refused(&self, kind: Kind) -> u64 {
        self.refused[kind as usize].load(Ordering::Relaxed)
    }

    /// Acquires a share without waiting; `None` if there is too little memory.
    pub fn try_acquire(
        self: &Arc<Self>,
        kind: Kind,
        access: Access,
        bytes: usize,
    ) -> Option<Share> {
        let Some(pools) = &self.pools else { return Some(self.share(kind, None)) };
        let units = units(bytes);
        if kind == Kind::Connections {
            let permit = pools.connections.clone().try_acquire_many_owned(units).ok()?;
            return Some(self.share(kind, Some(permit)));
        }
        let mut permit = pools.general.clone().try_acquire_many_owned(units);
        if permit.is_err() && access == Access::Reserve {
            permit = pools.reserve.clone().try_acquire_many_owned(units);
        }
        permit.ok().map(|permit| self.share(kind, Some(permit)))
    }

    /// Acquires a share.
    ///
    /// While there is too little memory, bodies are given up for it ([`Arrivals::shed`]).
    /// Returns `None` if there is still too little after [`MAX_ATTEMPTS`].
    pub async fn acquire(
        self: &Arc<Self>,
        kind: Kind,
        access: Access,
        bytes: usize,
    ) -> Option<Share> {
        for _ in 0..MAX_ATTEMPTS {
            if let Some(share) = self.try_acquire(kind, access, bytes) {
                return Some(share);
            }
            self.arrivals.shed(bytes as u64);
            if let Some(share) = self.wait(kind, bytes).await {
                return Some(share);
            }
        }
        self.refused[kind as usize].fetch_add(1, Ordering::Relaxed);
        self.log.warn_of_refusal(kind.name(), self.held_bytes(kind));
        None
    }

    /// Waits for a share, for a limited time.
    async fn wait(self: &Arc<Self>, kind: Kind, bytes: usize) -> Option<Share> {
        let pools = self.pools.as_ref()?;
        let permit = pools.general.clone().acquire_many_owned(units(bytes));
        let permit = timeout(RETRY_INTERVAL, permit).await.ok()?.ok()?;
        Some(self.share(kind, Some(permit)))
    }

    fn share(self: &Arc<Self>, kind: Kind, permit: Option<OwnedSemaphorePermit>) -> Share {
        let units = permit.as_ref().map_or(0, OwnedSemaphorePermit::num_permits);
        let bytes = (units * UNIT_BYTES) as u64;
        self.held[kind as usize].fetch_add(bytes, Ordering::Relaxed);
        Share { budget: self.clone(), kind, bytes, _permit: permit }
    }
}

fn units(bytes: usize) -> u32 {
    u32::try_from(bytes.div_ceil(UNIT_BYTES)).unwrap_or(u32::MAX)
}
