//! The fleet as this instance sees it: live members, role holders and caller addresses.

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

/// How far the views of all members are assumed to agree.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Agreement {
    /// All known members are up, and the set of members that may hold roles has not changed
    /// recently.
    Settled,
    /// As `Settled`, except that some members are gone.
    SettledExceptGone,
    /// A member is suspected, or the set of members that may hold roles has changed recently.
    Unsettled,
}

/// The fleet as this instance sees it.
#[derive(Debug)]
pub struct Fleet {
    own: Member,
    membership: Mutex<Membership>,
    freeze: Mutex<FreezeDetector>,
    view: ArcSwap<View>,
    has_instance_list: AtomicBool,
    changes: watch::Sender<u64>,
}

impl Fleet {
    /// Creates a fleet that holds only this instance.
    pub fn new(own: Member, period: Duration, now: Duration) -> Self {
        let cfg = MembershipConfig { period, ..MembershipConfig::default() };
        let freeze = FreezeDetector::new(cfg.freeze_threshold);
        let membership = Membership::new(cfg, own.clone(), own.incarnation);
        Self {
            own,
            view: ArcSwap::from_pointee(membership.view(now)),
            membership: Mutex::new(membership),
            freeze: Mutex::new(freeze),
            has_instance_list: AtomicBool::new(false),
            changes: watch::Sender::new(0),
        }
    }

    /// Returns this instance as a member.
    pub fn own(&self) -> &Member {
        &self.own
    }

    /// Returns the current view.
    pub fn view(&self) -> Arc<View> {
        self.view.load_full()
    }

    /// Returns a receiver that is notified of each change of a member's state and after each freeze
    /// of this process.
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// Returns the addresses that callers of a data centre may use.
    pub fn addresses(&self, data_centre: &DataCentreName) -> Vec<CallerAddress> {
        self.view.load().addresses(Some(data_centre))
    }

    /// Returns the instance that holds a gate: one of the gate's data centre, or of any other if
    /// none is live there.
    pub fn gate_holder(&self, gate: &GateId) -> Option<PeerAddress> {
        self.view.load().holder(gate, Some(&gate.data_centre)).map(peer)
    }

    /// Returns the address of an instance if it is up in this incarnation.
    pub fn live_run(&self, instance: &InstanceName, incarnation: u64) -> Option<PeerAddress> {
        let view = self.view.load();
        let member = view.member(instance.as_str())?;
        (member.incarnation == incarnation && is_up(member)).then(|| peer(member))
    }

    /// Returns the instance that has a peer address.
    pub fn peer_at(&self, address: SocketAddr) -> Option<PeerAddress> {
        let view = self.view.load();
        view.members.iter().find(|member| member.peer_address == address).map(peer)
    }

    /// Returns the members that are not up.
    pub fn down_members(&self) -> Vec<InstanceName> {
        let view = self.view.load();
        let down = view.members.iter().filter(|member| !is_up(member));
        down.map(|member| member.name.clone()).collect()
    }

    /// Returns whether this instance may dispatch: its process was not frozen since the last round
    /// of heartbeats, and its view was revalidated after the last freeze.
    pub fn may_dispatch(&self, now: Duration) -> bool {
        let frozen = self.freeze.lock().unwrap_or_else(PoisonError::into_inner).is_frozen(now);
        !frozen && self.view.load().revalidated
    }

    /// Returns how far the views of all members are assumed to agree.
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

    /// Merges the platform's instance list into the membership.
    pub fn observe_list(&self, now: Duration, listed: Vec<ListedInstance>) {
        let mut membership = self.lock();
        membership.observe_list(now, listed);
        self.refresh(&membership, now);
        self.has_instance_list.store(true, Ordering::Release);
    }

    /// Returns whether the platform's instance list was read since the start.
    pub fn has_instance_list(&self) -> bool {
        self.has_instance_list.load(Ordering::Acquire)
    }

    /// Runs one round of heartbeats and returns the digests to send.
    pub fn heartbeat_round(&self, now: Duration, generation: u64) -> Vec<Outgoing> {
        let mut membership = self.lock();
        membership.set_applied_generation(generation);
        let outgoing = membership.round(now);
        let frozen = self.freeze.lock().unwrap_or_else(PoisonError::into_inner).tick(now);
        if let Some(freeze) = frozen {
            log::warn!(
                gap_ms = freeze.gap.as_millis() as u64;
                "This process was frozen; it revalidates its view before it dispatches."
            );
        }
        self.refresh(&membership, now);
        if frozen.is_some() {
            // Other instances may have taken over roles of this one during the freeze.
            self.changes.send_modify(|count| *count += 1);
        }
        outgoing
    }

    /// Merges a received digest and returns the reply to send, if any.
    pub fn receive(&self, now: Duration, digest: Digest) -> Option<Digest> {
        let mut membership = self.lock();
        let reply = membership.receive(now, digest);
        self.refresh(&membership, now);
        reply
    }

    /// Marks this instance as leaving.
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

/// Returns the address at which exchanges with a member are opened.
pub fn peer(member: &ViewMember) -> PeerAddress {
    PeerAddress { instance: member.name.clone(), address: member.peer_address }
}

/// Returns whether a member is up: live, or leaving and finishing its work.
pub fn is_up(member: &ViewMember) -> bool {
    matches!(member.state, MemberState::Live | MemberState::Leaving)
}

fn same_states(a: &View, b: &View) -> bool {
    let state = |member: &ViewMember| (member.name.clone(), member.incarnation, member.state);
    a.members.len() == b.members.len()
        && a.members.iter().zip(&b.members).all(|(a, b)| state(a) == state(b))
}
