//! A link whose peer is never heard ends, also while messages are sent to it, and one whose peer is
//! alive does not.

use std::{
    net::{Ipv4Addr, SocketAddr},
    sync::Arc,
    time::Duration,
};

use arc_swap::ArcSwap;
use futures_util::{SinkExt, StreamExt};
use lacewingspring_core::names::{DataCentreName, InstanceName};
use lacewingspring_proxy::{
    clock,
    gate::{
        host::GateHost,
        link::GateClient,
        message::{Frames, FromGate, ToGate, encode, frames},
    },
    members::{Member, Members, SharedMembers},
    replica::{ByTopic, Replicas},
    store::Revision,
};
use support::host;
use tokio::{
    net::{TcpListener, TcpStream},
    time::{sleep, timeout},
};

mod support;

/// Interval of the messages that the gate sends without being asked.
const SEND_INTERVAL: Duration = Duration::from_millis(100);

/// Time for which a link is watched.
const WATCHED_TIME: Duration = Duration::from_secs(6);

/// Time after the last message of a peer by which its link is closed.
const MAX_SILENCE: Duration = Duration::from_secs(4);

/// Time without a message from the gate after which instances of all builds ping it.
const PING_AFTER: Duration = Duration::from_millis(400);

/// Longest time between two messages of an instance; shorter than the 1.5 s after which its gate
/// sends it nothing more.
const MAX_PAUSE: Duration = Duration::from_millis(1_300);

async fn send(frames: &mut Frames, message: &ToGate) -> Option<()> {
    frames.send(encode(message).expect("can be encoded")).await.ok()
}

fn ping(number: u64) -> ToGate {
    ToGate::Ping { number, follow: ByTopic::default() }
}

/// Starts a gate that sends messages to its links all the time; returns its address.
async fn start_gate() -> SocketAddr {
    let probe = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("listens");
    let address = probe.local_addr().expect("has an address");
    drop(probe);
    let host = host();
    tokio::spawn(host.clone().serve(address));
    tokio::spawn(publish(host));
    while TcpStream::connect(address).await.is_err() {
        sleep(Duration::from_millis(10)).await;
    }
    address
}

async fn publish(host: Arc<GateHost>) {
    loop {
        host.publish_usage(clock::now());
        sleep(SEND_INTERVAL).await;
    }
}

/// Guards against a link that is kept for ever because messages are sent on it.
#[tokio::test]
async fn closes_a_link_whose_peer_reads_and_never_sends() {
    let mut frames = frames(TcpStream::connect(start_gate().await).await.expect("connects"));
    send(&mut frames, &ping(0)).await.expect("sends");
    let end = timeout(MAX_SILENCE, async { while let Some(Ok(_)) = frames.next().await {} });
    assert!(end.await.is_ok(), "the link is open after {MAX_SILENCE:?}");
}

/// Guards against the end of a link of an instance of an earlier build, which sends nothing of its
/// own while it hears the gate.
#[tokio::test]
async fn keeps_a_link_whose_peer_pings_a_silent_gate() {
    let mut frames = frames(TcpStream::connect(start_gate().await).await.expect("connects"));
    let until = clock::now() + WATCHED_TIME;
    let mut number = 0;
    while clock::now() < until {
        match timeout(PING_AFTER, frames.next()).await {
            Ok(Some(Ok(_))) => {}
            Ok(_) => panic!("the link was closed"),
            Err(_) => {
                number += 1;
                send(&mut frames, &ping(number)).await.expect("the link is open");
            }
        }
    }
    assert!(number > 0, "the gate was not silent");
}

fn members(addresses: &[(&str, SocketAddr)]) -> SharedMembers {
    let member = |(name, address): &(&str, SocketAddr)| Member {
        instance: InstanceName::from(*name),
        incarnation: 1,
        data_centre: DataCentreName::from("a"),
        millicores: 500,
        caller_address: *address,
        peer_address: *address,
        is_leaving: false,
    };
    let members = addresses.iter().map(|each| (Revision::default(), member(each)));
    Arc::new(ArcSwap::from_pointee(Members::from_iter(members)))
}

/// Guards against an instance that seems dead to its gate because the gate speaks so often that it
/// is never pinged.
#[tokio::test]
async fn an_instance_is_heard_while_its_gate_sends_all_the_time() {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("listens");
    let address = listener.local_addr().expect("has an address");
    let other = SocketAddr::from((Ipv4Addr::LOCALHOST, 1));
    let members = members(&[("gate", address), ("i", other)]);
    let replicas = Arc::new(Replicas::default());
    let host = Arc::new(GateHost::new(members.clone(), replicas.clone(), None));
    let client = Arc::new(GateClient::new(InstanceName::from("i"), members, replicas, host));
    tokio::spawn(client.run());
    let (stream, _) = timeout(WATCHED_TIME, listener.accept())
        .await
        .expect("the instance links in time")
        .expect("accepts");
    let mut frames = frames(stream);
    let usage = encode(&FromGate::Usage(Vec::new())).expect("can be encoded");
    let until = clock::now() + WATCHED_TIME;
    let mut heard_at = clock::now();
    while clock::now() < until {
        frames.send(usage.clone()).await.expect("the link is open");
        if let Ok(message) = timeout(SEND_INTERVAL, frames.next()).await {
            message.expect("the link is open").expect("a message");
            heard_at = clock::now();
        }
        let silence = clock::now() - heard_at;
        assert!(silence < MAX_PAUSE, "silent for {silence:?}");
    }
}
