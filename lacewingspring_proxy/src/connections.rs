//! Open connections of a server, and which of them are closed or refused when there are too many.

use std::{
    collections::{BTreeMap, HashMap},
    net::IpAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use tokio::sync::Notify;

use crate::{
    clock,
    log_interval::LogInterval,
    memory_budget::{Access, CONNECTION_BYTES, Kind, Share, SharedBudget},
};

/// Idle time from which on a connection may be closed in favour of a new one. The response before
/// it has reached its caller by then, unless the caller does not read.
const MIN_IDLE: Duration = Duration::from_millis(500);

/// Why a connection is closed or refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Limit {
    /// Connections of the process.
    Process,
    /// Connections from one address.
    Address,
    /// Memory for connections.
    Memory,
}

impl Limit {
    /// All limits.
    pub const ALL: [Self; 3] = [Self::Process, Self::Address, Self::Memory];

    /// Returns the name in metrics and the log.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Process => "process",
            Self::Address => "address",
            Self::Memory => "memory",
        }
    }
}

/// Largest numbers of open connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MaxConnections {
    /// Of all callers together.
    pub total: usize,
    /// Of one address.
    pub per_address: usize,
}

impl MaxConnections {
    /// No bound.
    pub const UNBOUNDED: Self = Self { total: usize::MAX, per_address: usize::MAX };
}

impl Default for MaxConnections {
    fn default() -> Self {
        Self::UNBOUNDED
    }
}

#[derive(Debug)]
struct Entry {
    address: IpAddr,
    /// Requests in progress.
    requests: usize,
    /// Time at which the last request ended, or the connection was admitted.
    idle_since: Duration,
    close: Arc<Notify>,
}

#[derive(Debug, Default)]
struct State {
    next: u64,
    open: BTreeMap<u64, Entry>,
    by_address: HashMap<IpAddr, usize>,
}

impl State {
    /// Adds a connection; returns its number, and what is notified when it must be closed.
    fn add(&mut self, now: Duration, address: IpAddr) -> (u64, Arc<Notify>) {
        let number = self.next;
        self.next += 1;
        let close = Arc::new(Notify::new());
        let entry = Entry { address, requests: 0, idle_since: now, close: close.clone() };
        self.open.insert(number, entry);
        *self.by_address.entry(address).or_default() += 1;
        (number, close)
    }

    fn remove(&mut self, number: u64) {
        let Some(entry) = self.open.remove(&number) else { return };
        if let Some(count) = self.by_address.get_mut(&entry.address) {
            *count -= 1;
            if *count == 0 {
                self.by_address.remove(&entry.address);
            }
        }
    }

    /// Closes the connection that is idle for longest, of one address if it is given; returns
    /// whether there was one.
    fn close_idle(&mut self, now: Duration, address: Option<IpAddr>) -> bool {
        let idle = self.open.iter().filter(|(_, entry)| {
            entry.requests == 0
                && now.saturating_sub(entry.idle_since) >= MIN_IDLE
                && address.is_none_or(|address| entry.address == address)
        });
        let longest = idle.min_by_key(|(_, entry)| entry.idle_since);
        let Some((number, entry)) = longest else { return false };
        let number = *number;
        entry.close.notify_one();
        self.remove(number);
        true
    }
}

/// Open connections of a server; by default without bounds.
#[derive(Debug, Default)]
pub struct Connections {
    server: &'static str,
    max: MaxConnections,
    /// Budget from which each connection acquires a share; `None` if connections hold none.
    budget: Option<SharedBudget>,
    state: Mutex<State>,
    closed: [AtomicU64; Limit::ALL.len()],
    refused: [AtomicU64; Limit::ALL.len()],
    log: LogInterval,
}

/// An open connection; ends when dropped.
#[derive(Debug)]
pub struct OpenConnection {
    connections: Arc<Connections>,
    number: u64,
    close: Arc<Notify>,
    _share: Option<Share>,
}

/// Marks a connection as used while a request is in progress.
#[derive(Clone, Debug)]
pub struct Requests {
    connections: Arc<Connections>,
    number: u64,
}

/// A request in progress on a connection, which is not closed for others meanwhile.
#[derive(Debug)]
pub struct InProgress {
    connections: Arc<Connections>,
    number: u64,
}

impl Connections {
    /// Creates the connections of a server.
    pub fn new(
        server: &'static str,
        max: MaxConnections,
        budget: Option<SharedBudget>,
    ) -> Arc<Self> {
        Arc::new(Self {
            server,
            max,
            budget,
            state: Mutex::default(),
            closed: Default::default(),
            refused: Default::default(),
            log: LogInterval::default(),
        })
    }

    /// Returns whether their number or their memory is bounded.
    pub fn is_bounded(&self) -> bool {
        self.budget.is_some() || self.max != MaxConnections::UNBOUNDED
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the name of the server.
    pub fn server(&self) -> &'static str {
        self.server
    }

    /// Returns how many connections are open.
    pub fn count(&self) -> usize {
        self.state().open.len()
    }

    /// Returns how many idle connections were closed, and how many new ones refused, by a limit.
    pub fn limited(&self, limit: Limit) -> (u64, u64) {
        let closed = self.closed[limit as usize].load(Ordering::Relaxed);
        (closed, self.refused[limit as usize].load(Ordering::Relaxed))
    }

    /// Admits a new connection; returns it and whether an idle one was closed for it.
    ///
    /// Returns `None` if there are too many and none is idle, or if there is too little memory. In
    /// the latter case an idle connection is closed, and a later attempt of the caller succeeds.
    pub fn admit(
        self: &Arc<Self>,
        now: Duration,
        address: IpAddr,
    ) -> Option<(OpenConnection, bool)> {
        let mut state = self.state();
        let of_address = state.by_address.get(&address).copied().unwrap_or_default();
        let is_address_full = of_address >= self.max.per_address;
        if is_address_full && !self.make_room(&mut state, now, Limit::Address, Some(address)) {
            return None;
        }
        let is_process_full = state.open.len() >= self.max.total;
        if is_process_full && !self.make_room(&mut state, now, Limit::Process, None) {
            return None;
        }
        let share = match &self.budget {
            Some(budget) => Some(self.acquire_share(&mut state, now, budget)?),
            None => None,
        };
        let (number, close) = state.add(now, address);
        let connection = OpenConnection { connections: self.clone(), number, close, _share: share };
        Some((connection, is_address_full || is_process_full))
    }

    /// Acquires the share of a new connection. If there is too little memory, an idle connection is
    /// closed and the new one refused: the share of the closed one is released with its task, so
    /// the caller has to connect again.
    fn acquire_share(
        &self,
        state: &mut State,
        now: Duration,
        budget: &SharedBudget,
    ) -> Option<Share> {
        let share = budget.try_acquire(Kind::Connections, Access::General, CONNECTION_BYTES);
        if share.is_none() && self.make_room(state, now, Limit::Memory, None) {
            self.refused[Limit::Memory as usize].fetch_add(1, Ordering::Relaxed);
        }
        share
    }

    /// Closes an idle connection because of a limit; returns whether there was one. If there was
    /// none, the new connection counts as refused.
    fn make_room(
        &self,
        state: &mut State,
        now: Duration,
        limit: Limit,
        address: Option<IpAddr>,
    ) -> bool {
        self.log.warn_of_connection(self.server, limit.name(), state.open.len());
        if state.close_idle(now, address) {
            self.closed[limit as usize].fetch_add(1, Ordering::Relaxed);
            return true;
        }
        self.refused[limit as usize].fetch_add(1, Ordering::Relaxed);
        false
    }
}

impl OpenConnection {
    /// Returns what marks the connection as used.
    pub fn requests(&self) -> Requests {
        Requests { connections: self.connections.clone(), number: self.number }
    }

    /// Waits until the connection must be closed.
    pub async fn must_close(&self) {
        self.close.notified().await;
    }
}

impl Requests {
    /// Marks the connection as used until the returned value is dropped.
    pub fn begin(&self) -> InProgress {
        if let Some(entry) = self.connections.state().open.get_mut(&self.number) {
            entry.requests += 1;
        }
        InProgress { connections: self.connections.clone(), number: self.number }
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.connections.state().remove(self.number);
    }
}

impl Drop for InProgress {
    fn drop(&mut self) {
        let now = clock::now();
        if let Some(entry) = self.connections.state().open.get_mut(&self.number) {
            entry.requests = entry.requests.saturating_sub(1);
            entry.idle_since = now;
        }
    }
}
