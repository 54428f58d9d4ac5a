//! Peers accept only instances with a certificate of their authority, and decoding arbitrary bytes
//! does not panic.

use std::{net::SocketAddr, time::Duration};

use lacewingspring::peers::{Authority, Message, PeerAddress, Peers, codec};
use lacewingspring_core::names::{InstanceName, RequestKey, WorkspaceName};
use quickcheck::{Gen, QuickCheck};

fn message() -> Message {
    Message::Follow {
        workspace: WorkspaceName::from("desk"),
        key: RequestKey::from("key"),
        incarnation: 7,
    }
}

fn peer(name: &str, port: u16) -> PeerAddress {
    let address = SocketAddr::from(([127, 200, 0, (std::process::id() % 250) as u8 + 1], port));
    PeerAddress { instance: InstanceName::from(name), address }
}

fn bind(peer: &PeerAddress, authority: &Authority) -> std::sync::Arc<Peers> {
    Peers::bind(peer.instance.clone(), peer.address, authority).expect("binds")
}

async fn echo(peers: std::sync::Arc<Peers>) {
    let mut exchanges = peers.accept();
    while let Some(mut exchange) = exchanges.recv().await {
        tokio::spawn(async move {
            while let Some(message) = exchange.rx.recv().await {
                let _ = exchange.tx.send(message).await;
            }
        });
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn accepts_only_peers_of_its_authority() {
    let authority = Authority::create().unwrap();
    let other = Authority::create().unwrap();
    let (a, b, c) = (peer("a", 41_001), peer("b", 41_002), peer("c", 41_003));
    tokio::spawn(echo(bind(&b, &authority)));
    let limit = Duration::from_secs(3);
    let known = bind(&a, &authority);
    let answer = known.call(&b, message(), limit).await;
    assert_eq!(answer.unwrap(), message());
    let stranger = bind(&c, &other);
    assert!(stranger.call(&b, message(), limit).await.is_err());
    let wrong_name = PeerAddress { instance: InstanceName::from("d"), address: b.address };
    assert!(known.call(&wrong_name, message(), limit).await.is_err());
}

#[test]
fn decodes_arbitrary_bytes_without_panic() {
    fn decodes_or_fails(bytes: Vec<u8>) -> bool {
        let _ = codec::decode(&bytes);
        true
    }
    let check: fn(Vec<u8>) -> bool = decodes_or_fails;
    QuickCheck::new().rng(Gen::from_size_and_seed(256, 11)).tests(20_000).quickcheck(check);
}

#[test]
fn decodes_what_it_encodes() {
    let buf = codec::encode(&message()).unwrap();
    assert_eq!(codec::decode(&buf[4..]).unwrap(), message());
}
