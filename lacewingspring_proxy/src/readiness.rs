//! Whether an instance can serve callers, as it tells the platform.

use std::sync::{Arc, Mutex, PoisonError};

use log::info;
use tokio::sync::watch;

use crate::{gate::link::GateClient, members::Member};

/// Whether an instance can serve callers, and if not, why.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Readiness {
    /// It can.
    Ready,
    /// It has not read the configuration or the entries of upstreams yet.
    NotRead,
    /// It would decide itself where requests run, but knows no instance of the fleet: it is not
    /// registered. Until it is, it hands out nothing of the workspaces' limits.
    NotRegistered,
    /// It is about to stop.
    Leaving,
}

impl Readiness {
    /// Returns the name in logs.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Ready => "ready",
            Self::NotRead => "not_read",
            Self::NotRegistered => "not_registered",
            Self::Leaving => "leaving",
        }
    }
}

/// What the readiness of an instance depends on.
pub struct ReadinessCheck {
    /// Becomes `true` when the configuration and the entries of upstreams have been read.
    is_read: watch::Receiver<bool>,
    /// Current entry of this instance.
    member: watch::Receiver<Member>,
    /// Client of the gate, which grants slots.
    gate: Arc<GateClient>,
    /// Readiness that was logged last.
    logged: Mutex<Option<Readiness>>,
}

impl ReadinessCheck {
    /// Creates a check; `is_read` becomes `true` when the configuration and the entries of
    /// upstreams have been read.
    pub fn new(
        is_read: watch::Receiver<bool>,
        member: watch::Receiver<Member>,
        gate: Arc<GateClient>,
    ) -> Self {
        Self { is_read, member, gate, logged: Mutex::default() }
    }

    /// Returns the present readiness, and logs each change of it.
    pub fn check(&self) -> Readiness {
        let readiness = self.current();
        let mut logged = self.logged.lock().unwrap_or_else(PoisonError::into_inner);
        if logged.replace(readiness) != Some(readiness) {
            info!(readiness = readiness.name(); "The readiness of this instance has changed.");
        }
        readiness
    }

    fn current(&self) -> Readiness {
        if self.member.borrow().is_leaving {
            Readiness::Leaving
        } else if !*self.is_read.borrow() {
            Readiness::NotRead
        } else if !self.gate.can_get_slots() {
            Readiness::NotRegistered
        } else {
            Readiness::Ready
        }
    }
}
