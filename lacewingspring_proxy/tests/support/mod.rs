//! A gate in the test process, and links of instances to it.

#![allow(dead_code)]

use std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration};

use arc_swap::ArcSwap;
use lacewingspring_core::{
    dispatch::{Limits, Quota, QuotaBounds, SlotRequest, StoredUsage, UpstreamInfo, Work},
    names::{
        DataCentreName, InstanceName, ServiceName, SoftwareVersion, UpstreamName, WorkspaceName,
    },
};
use lacewingspring_proxy::{
    clock,
    gate::{
        host::GateHost,
        message::{FromGate, ToGate, Trailing},
    },
    members::{Member, Members, SharedMembers},
    replica::Replicas,
    store::Revision,
};
use tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel};

/// Units of each request; the limit of the window is 100 of them.
pub const CHARGE: u64 = 100;
/// Creates a gate that knows itself only.
pub fn host() -> Arc<GateHost> {
    host_among(&["i"])
}

/// Creates a gate in a fleet of these instances.
pub fn host_among(instances: &[&str]) -> Arc<GateHost> {
    let host = host_without_configuration(instances);
    let quota = Quota { rate: Some(1_000.0), burst: 2_000.0 };
    let quotas = HashMap::from([(WorkspaceName::from("w"), quota)]);
    let window = Duration::from_secs(8);
    host.set_limits(1, Limits { quotas: QuotaBounds { quotas, window }, ..Limits::default() });
    host
}

/// Returns a fleet of these instances.
pub fn members(instances: &[&str]) -> Members {
    let address = SocketAddr::from(([127, 0, 0, 1], 8000));
    let member = |name: &&str| Member {
        instance: InstanceName::from(*name),
        incarnation: 1,
        data_centre: DataCentreName::from("a"),
        millicores: 500,
        caller_address: address,
        peer_address: address,
        is_leaving: false,
    };
    Members::from_iter(instances.iter().map(|name| (Revision::default(), member(name))))
}

/// Creates a gate in a fleet of these instances that knows upstreams, but no limits.
pub fn host_without_configuration(instances: &[&str]) -> Arc<GateHost> {
    host_in(Arc::new(ArcSwap::from_pointee(members(instances))))
}

/// Creates a gate in a fleet that knows upstreams, but no limits.
pub fn host_in(members: SharedMembers) -> Arc<GateHost> {
    let address = SocketAddr::from(([127, 0, 0, 1], 8000));
    let host = GateHost::new(members, Arc::new(Replicas::default()), None);
    host.on_members_changed(clock::now());
    let upstream = UpstreamInfo {
        name: UpstreamName::from("u"),
        service: ServiceName::from("models"),
        software: SoftwareVersion::from("v1"),
        address,
        data_centre: DataCentreName::from("a"),
        slots: 1_000,
        memory_tokens: 100_000,
        draining: false,
        started_at_ms: 1,
    };
    host.set_upstreams(clock::now(), [upstream]);
    Arc::new(host)
}

/// Returns a request of the workspace `w` for a slot.
pub fn request() -> SlotRequest {
    SlotRequest {
        service: ServiceName::from("models"),
        class: Arc::from("a"),
        rank: 0,
        data_centre: DataCentreName::from("a"),
        workspace: Some(WorkspaceName::from("w")),
        work: Work::Plain,
        target_left: Duration::from_secs(1),
        time_left: Duration::from_secs(10),
        first_output_left: Duration::from_secs(10),
        charge: CHARGE,
        sends: 0,
        avoid: Vec::new(),
        fingerprint: 1,
        stream: None,
        software: None,
    }
}

/// Returns the message that asks for a slot.
pub fn slot_request(number: u64) -> ToGate {
    ToGate::RequestSlot { number, request: request(), quota: Trailing(None) }
}
/// Opens a link of the only instance, which was told the usage `usage_age` ago.
pub fn open_link(
    host: &GateHost,
    usage: Vec<StoredUsage>,
    usage_age: Duration,
) -> (u64, UnboundedReceiver<FromGate>) {
    open_link_of("i", host, usage, usage_age)
}

/// Opens a link of an instance, which was told the usage `usage_age` ago.
pub fn open_link_of(
    instance: &str,
    host: &GateHost,
    usage: Vec<StoredUsage>,
    usage_age: Duration,
) -> (u64, UnboundedReceiver<FromGate>) {
    let (tx, rx) = unbounded_channel();
    let link = host.connect(tx);
    let hello = ToGate::Hello { instance: InstanceName::from(instance), usage, usage_age };
    host.handle(clock::now(), link, hello);
    (link, rx)
}
/// Returns what became of a slot request.
pub fn fate(rx: &mut UnboundedReceiver<FromGate>, wanted: u64) -> Option<&'static str> {
    let mut fate = None;
    while let Ok(message) = rx.try_recv() {
        match message {
            FromGate::Granted { number, .. } if number == wanted => fate = Some("granted"),
            FromGate::Refused { number, .. } if number == wanted => fate = Some("refused"),
            _ => {}
        }
    }
    fate
}

/// Number of slot requests that were granted and refused.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Decided {
    /// Requests that were granted a slot.
    pub granted: usize,
    /// Requests that were refused.
    pub refused: usize,
}

/// Returns the decisions that were made since the last call.
pub fn decided(rx: &mut UnboundedReceiver<FromGate>) -> Decided {
    let mut decided = Decided::default();
    while let Ok(message) = rx.try_recv() {
        match message {
            FromGate::Granted { .. } => decided.granted += 1,
            FromGate::Refused { .. } => decided.refused += 1,
            _ => {}
        }
    }
    decided
}
