//! Memory that a request body takes from the budget while it arrives.

use std::{
    net::{Ipv4Addr, SocketAddr},
    sync::Arc,
    time::Duration,
};

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use lacewingspring_proxy::{
    memory_budget::{Access, Kind, MemoryBudget, Share, SharedBudget, body::read_request},
    server::{ConnectionLimits, Server},
};
use tokio::{
    io::AsyncWriteExt,
    net::{TcpListener, TcpStream},
    sync::watch,
    time::sleep,
};

/// Bytes that arrive together with the head.
const FIRST_BYTES: usize = 5_000;

/// Bytes that follow one by one.
const LAST_BYTES: usize = 500;

/// Time between two bytes, so that each is read by itself.
const BYTE_INTERVAL: Duration = Duration::from_millis(2);

const KIB: usize = 1_024;

/// Largest share, in KiB, for a body of a few KiB.
const MAX_SHARE: usize = 16;

/// Starts a server that reads request bodies within a budget; returns its address.
async fn start_server(budget: SharedBudget) -> SocketAddr {
    let probe = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("listens");
    let address = probe.local_addr().expect("has an address");
    drop(probe);
    let (tx, closing) = watch::channel(false);
    let server = Server { address, closing, open: Arc::default() };
    let limits = ConnectionLimits { head_bytes: 16 * KIB, idle_timeout: Duration::from_secs(60) };
    let handler = move |req: Request<Incoming>| {
        let budget = budget.clone();
        async move {
            let body = read_request(&budget, req.into_body(), 100 * KIB).await;
            Response::new(Full::new(Bytes::from(format!("{}", body.is_ok()))))
        }
    };
    tokio::spawn(async move {
        server.run(move || limits, handler).await.expect("listens");
        drop(tx);
    });
    while TcpStream::connect(address).await.is_err() {
        sleep(Duration::from_millis(10)).await;
    }
    address
}

/// Returns how many KiB are left for bodies that are not complete.
fn left(budget: &SharedBudget) -> usize {
    let next = || budget.try_acquire(Kind::Responses, Access::General, KIB);
    std::iter::from_fn(next).collect::<Vec<Share>>().len()
}

/// Guards against a body whose stated length is taken for less than it is, so that each of its last
/// bytes takes a share of its own.
#[tokio::test]
async fn shares_a_buffer_among_the_last_bytes_of_a_stated_length() {
    let budget = MemoryBudget::new(Some(64.0), 0);
    let before = left(&budget);
    let address = start_server(budget.clone()).await;
    let mut stream = TcpStream::connect(address).await.expect("connects");
    stream.set_nodelay(true).expect("sets the option");
    let len = FIRST_BYTES + LAST_BYTES;
    let mut bytes =
        format!("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: {len}\r\n\r\n").into_bytes();
    bytes.resize(bytes.len() + FIRST_BYTES, b'x');
    stream.write_all(&bytes).await.expect("sends the head and the first bytes");
    for _ in 1..LAST_BYTES {
        sleep(BYTE_INTERVAL).await;
        stream.write_all(b"x").await.expect("sends a byte");
    }
    let taken = before - left(&budget);
    assert!(taken > 0, "the body holds a share");
    assert!(taken <= MAX_SHARE, "{taken} KiB are taken, {MAX_SHARE} are allowed");
    assert_eq!(budget.held_bytes(Kind::Bodies), (taken * KIB) as u64, "the metric tells it");
}
