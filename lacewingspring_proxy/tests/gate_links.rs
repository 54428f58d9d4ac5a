//! What a link costs its gate does not grow with the streams that the gate knows.

use std::{sync::Arc, time::Duration};

use lacewingspring_core::{
    dispatch::{KnownStream, KnownStreams, StreamGroup, UpstreamProcess},
    names::{InstanceName, ServiceName, SoftwareVersion, UpstreamName},
};
use lacewingspring_proxy::{
    clock,
    gate::{
        host::GateHost,
        message::{FromGate, ToGate},
    },
    members::SharedMembers,
    replica::Replicas,
};
use rustix::time::{ClockId, clock_gettime};
use tokio::sync::mpsc::unbounded_channel;

/// Longest processor time of a link: a gate with an eighth of a core must have answered 300 new
/// links before they give it up, after a second.
const MAX_LINK_COST: Duration = Duration::from_micros(400);

/// Streams of 14 seconds at 1,400 a second.
const STREAMS: u64 = 20_000;

/// Upstreams that began the streams.
const UPSTREAMS: u64 = 240;

const LINKS: u32 = 300;

/// Returns the processor time of this thread.
fn processor_time() -> Duration {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
}

fn streams() -> KnownStreams {
    let group = |upstream: u64| StreamGroup {
        process: UpstreamProcess {
            service: ServiceName::from("models"),
            upstream: UpstreamName::from(format!("upstream-{upstream}")),
            started_at_ms: 1,
            software: SoftwareVersion::from("v1"),
        },
        left_ms: 14_000,
        streams: (0..STREAMS)
            .filter(|id| id % UPSTREAMS == upstream)
            .map(|id| KnownStream { id, attempt: 1 })
            .collect(),
    };
    KnownStreams { groups: (0..UPSTREAMS).map(group).collect(), ..KnownStreams::default() }
}

#[test]
fn a_gate_that_knows_many_streams_answers_all_instances_that_link_at_once() {
    let replicas = Arc::new(Replicas::default());
    let host = GateHost::new(SharedMembers::default(), replicas, None);
    host.learn_streams(clock::now(), &streams());
    let mut receivers = Vec::new();
    let before = processor_time();
    for index in 0..LINKS {
        let (tx, rx) = unbounded_channel();
        let link = host.connect(tx);
        let instance = InstanceName::from(format!("instance-{index}").as_str());
        let usage_age = Duration::from_secs(60);
        let hello = ToGate::Hello { instance, usage: Vec::new(), usage_age };
        host.handle(clock::now(), link, hello);
        receivers.push(rx);
    }
    let cost = (processor_time() - before) / LINKS;
    let told = receivers.iter_mut().map(|rx| rx.try_recv().expect("each link is answered"));
    let with_streams = told.filter(|message| match message {
        FromGate::Streams(known, _) => !known.groups.is_empty(),
        _ => false,
    });
    assert_eq!(with_streams.count(), 0, "with one version nobody needs to know which one it was");
    assert!(cost <= MAX_LINK_COST, "a link takes {cost:?}, {MAX_LINK_COST:?} are allowed");
}
