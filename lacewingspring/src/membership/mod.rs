//! The fleet as this instance sees it: live members, role holders, caller addresses.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use arc_swap::ArcSwap;
use lacewingspring_core::{
    names::{DataCentreName, InstanceName},
    rendezvous,
};
use tokio::time::interval;

use crate::{
    daemon::Node,
    peers::{GateId, PeerAddress},
    platform::instance_list::InstanceList,
};

/// One live member of the fleet.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Member {
    /// Name of the instance.
    pub name: InstanceName,
    /// Data centre of the instance.
    pub data_centre: DataCentreName,
    /// TCP address for callers.
    pub callers: SocketAddr,
    /// UDP address for other instances.
    pub peers: SocketAddr,
    /// Whether the instance is leaving.
    pub leaving: bool,
}

impl Member {
    /// Returns the address that exchanges are opened to.
    pub fn peer(&self) -> PeerAddress {
        PeerAddress { instance: self.name.clone(), address: self.peers }
    }
}

/// The fleet as this instance sees it.
#[derive(Debug)]
pub struct Fleet {
    own: Member,
    members: ArcSwap<Vec<Member>>,
}

impl Fleet {
    /// Starts with the own instance alone.
    pub fn new(own: Member) -> Self {
        Self { members: ArcSwap::from_pointee(vec![own.clone()]), own }
    }

    /// Replaces the other members by those that are listed.
    pub fn set_listed(&self, listed: Vec<Member>) {
        let mut members: Vec<_> =
            listed.into_iter().filter(|member| member.name != self.own.name).collect();
        members.push(self.own.clone());
        members.sort();
        self.members.store(Arc::new(members));
    }

    /// Returns the own instance.
    pub fn own(&self) -> &Member {
        &self.own
    }

    /// Returns the members.
    pub fn members(&self) -> Arc<Vec<Member>> {
        self.members.load_full()
    }

    /// Returns the instance that holds a gate: one of its data centre, or of any when none lives.
    pub fn gate_holder(&self, gate: &GateId) -> Option<PeerAddress> {
        let members = self.members.load();
        let staying = || members.iter().filter(|member| !member.leaving);
        let near = staying().filter(|member| member.data_centre == gate.data_centre);
        let holder = rendezvous::holder(gate, near.map(|member| &member.name));
        let holder =
            holder.or_else(|| rendezvous::holder(gate, staying().map(|member| &member.name)))?;
        members.iter().find(|member| member.name == *holder).map(Member::peer)
    }

    /// Returns the address of a live instance.
    pub fn live(&self, instance: &InstanceName) -> Option<PeerAddress> {
        let members = self.members.load();
        members.iter().find(|member| member.name == *instance).map(Member::peer)
    }
}

/// Follows the platform's instance list.
pub async fn follow_list(node: Arc<Node>) {
    let settings = &node.settings;
    let list = InstanceList::new(settings.instance_list.endpoint, &settings.instance_list.service);
    let Ok(list) = list else {
        log::error!("The instance list can't be named.");
        return;
    };
    let mut ticks = interval(Duration::from_millis(settings.timing.instance_list_ms));
    loop {
        ticks.tick().await;
        match list.read().await {
            Ok(members) => node.fleet.set_listed(members),
            Err(e) => log::warn!(reason:% = e; "Could not read the instance list."),
        }
    }
}
