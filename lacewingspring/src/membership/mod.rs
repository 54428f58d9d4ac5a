//! The fleet as this instance sees it: live members, role holders, caller addresses.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use arc_swap::ArcSwap;
use lacewingspring_core::{
    membership::{
        CallerAddress, Digest, FreezeDetector, ListedInstance, Member, MemberState, Membership,
        MembershipConfig, Outgoing, View, ViewMember,
    },
    names::{DataCentreName, InstanceName},
};
use tokio::sync::watch;

use crate::peers::{GateId, PeerAddress};

pub use self::{
    follow::follow_list,
    gossip::{gossip, watchers},
};

mod follow;
mod gossip;

/// How far the views of all members can be held to agree.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Agreement {
    /// All known members are up, and none has come or gone of late.
    Settled,
    /// The same, but for members that have been silent for long.
    SettledExceptGone,
    /// A member is suspected, or has come or gone of late.
    Unsettled,
}

/// The fleet as this instance sees it.
#[derive(Debug)]
pub struct Fleet {
    own: Member,
    membership: Mutex<Membership>,
    freeze: Mutex<FreezeDetector>,
    view: ArcSwap<View>,
    listed: AtomicBool,
    changes: watch::Sender<u64>,
}

impl Fleet {
    /// Starts with the own instance alone.
    pub fn new(own: Member, period: Duration, now: Duration) -> Self {
        let cfg = MembershipConfig { period, ..MembershipConfig::default() };
        let freeze = FreezeDetector::new(cfg.freeze_threshold);
        let membership = Membership::new(cfg, own.clone(), own.incarnation);
        Self {
            own,
            view: ArcSwap::from_pointee(membership.view(now)),
            membership: Mutex::new(membership),
            freeze: Mutex::new(freeze),
            listed: AtomicBool::new(false),
            changes: watch::Sender::new(0),
        }
    }

    /// Returns the own instance.
    pub fn own(&self) -> &Member {
        &self.own
    }

    /// Returns the present view.
    pub fn view(&self) -> Arc<View> {
        self.view.load_full()
    }

    /// Returns a receiver that sees each change of a member's state.
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// Returns the addresses that callers of a data centre may use.
    pub fn addresses(&self, data_centre: &DataCentreName) -> Vec<CallerAddress> {
        self.view.load().addresses(Some(data_centre))
    }

    /// Returns the instance that holds a gate: one of its data centre, or of any when none lives.
    pub fn gate_holder(&self, gate: &GateId) -> Option<PeerAddress> {
        self.view.load().holder(gate, Some(&gate.data_centre)).map(peer)
    }

    /// Returns the address of a run of an instance, while that run lives.
    pub fn live_run(&self, instance: &InstanceName, incarnation: u64) -> Option<PeerAddress> {
        let view = self.view.load();
        let member = view.member(instance.as_str())?;
        (member.incarnation == incarnation && is_up(member)).then(|| peer(member))
    }

    /// Returns the instance that answers at a peer address.
    pub fn at(&self, address: SocketAddr) -> Option<PeerAddress> {
        let view = self.view.load();
        view.members.iter().find(|member| member.peer_address == address).map(peer)
    }

    /// Returns the members that are not up.
    pub fn down(&self) -> Vec<InstanceName> {
        let view = self.view.load();
        let down = view.members.iter().filter(|member| !is_up(member));
        down.map(|member| member.name.clone()).collect()
    }

    /// Returns whether a dispatch may go out: this process wasn't just frozen, or has heard from a
    /// peer since.
    pub fn may_dispatch(&self, now: Duration) -> bool {
        let frozen = self.freeze.lock().unwrap_or_else(PoisonError::into_inner).is_frozen(now);
        !frozen && self.view.load().revalidated
    }

    /// Returns how far the views of all members can be held to agree.
    pub fn agreement(&self) -> Agreement {
        let view = self.view.load();
        let suspects = view.members.iter().any(|member| member.state == MemberState::Suspect);
        if suspects || view.recently_changed() {
            return Agreement::Unsettled;
        }
        if view.members.iter().all(is_up) {
            Agreement::Settled
        } else {
            Agreement::SettledExceptGone
        }
    }

    /// Takes the platform's list.
    pub fn observe_list(&self, now: Duration, listed: Vec<ListedInstance>) {
        let mut membership = self.lock();
        membership.observe_list(now, listed);
        self.refresh(&membership, now);
        self.listed.store(true, Ordering::Release);
    }

    /// Returns whether the platform's list was read since the start.
    pub fn is_listed(&self) -> bool {
        self.listed.load(Ordering::Acquire)
    }

    /// Makes one round of heartbeats and returns the digests to send.
    pub fn round(&self, now: Duration, generation: u64) -> Vec<Outgoing> {
        let mut membership = self.lock();
        membership.set_applied_generation(generation);
        let outgoing = membership.round(now);
        let frozen = self.freeze.lock().unwrap_or_else(PoisonError::into_inner).tick(now);
        if let Some(freeze) = frozen {
            log::warn!(gap_ms = freeze.gap.as_millis() as u64; "This process was frozen.");
        }
        self.refresh(&membership, now);
        if frozen.is_some() {
            // The roles of this instance may have been held by others meanwhile.
            self.changes.send_modify(|count| *count += 1);
        }
        outgoing
    }

    /// Takes a digest and returns the reply.
    pub fn receive(&self, now: Duration, digest: Digest) -> Option<Digest> {
        let mut membership = self.lock();
        let reply = membership.receive(now, digest);
        self.refresh(&membership, now);
        reply
    }

    /// Says that this instance leaves.
    pub fn leave(&self, now: Duration) {
        let mut membership = self.lock();
        membership.leave(now);
        self.refresh(&membership, now);
    }

    fn refresh(&self, membership: &Membership, now: Duration) {
        let view = Arc::new(membership.view(now));
        let before = self.view.swap(view.clone());
        if !same_states(&before, &view) {
            self.changes.send_modify(|count| *count += 1);
        }
    }

    fn lock(&self) -> MutexGuard<'_, Membership> {
        self.membership.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the address that exchanges with a member are opened to.
pub fn peer(member: &ViewMember) -> PeerAddress {
    PeerAddress { instance: member.name.clone(), address: member.peer_address }
}

/// Returns whether a member serves what it has.
pub fn is_up(member: &ViewMember) -> bool {
    matches!(member.state, MemberState::Live | MemberState::Leaving)
}

fn same_states(a: &View, b: &View) -> bool {
    let state = |member: &ViewMember| (member.name.clone(), member.incarnation, member.state);
    a.members.len() == b.members.len()
        && a.members.iter().zip(&b.members).all(|(a, b)| state(a) == state(b))
}
