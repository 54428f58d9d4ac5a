//! Fuzzes the parsers of input from callers, operators, upstreams and the key-value service.

use std::{collections::VecDeque, fs, net::SocketAddr, time::Duration};

use bytes::Bytes;
use lacewingspring::upstreams::sse::EventParser;
use lacewingspring_core::{claim::ClaimRecord, config::Transaction};
use quickcheck::{Arbitrary, Gen, QuickCheck};
use serde_json::json;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::timeout,
};

use crate::support::{Fleet, FleetConfig, caller::complete, history::CallerOutcome};

mod support;

/// Seed of all random cases.
const SEED: u64 = 13;

/// Number of senders of raw requests; each uses one connection until the daemon closes it.
const SENDERS: u64 = 8;

/// Number of raw requests of one sender.
const REQUESTS_PER_SENDER: usize = 300;

/// Longest wait for the first bytes of a response.
const READ_TIMEOUT: Duration = Duration::from_millis(20);

/// Bound on the growth of the daemon's resident memory, in KiB.
const MAX_GROWTH_KIB: u64 = 128 * 1024;

/// Checks a property on `tests` random cases, whose strings and lists have up to `size` elements.
fn check<A>(size: usize, tests: u64, property: A)
where
    A: quickcheck::Testable,
{
    QuickCheck::new().rng(Gen::from_size_and_seed(size, SEED)).tests(tests).quickcheck(property);
}

/// Returns the text with up to three mutations: a byte replaced or inserted, the end cut off or
/// repeated.
fn mutate(g: &mut Gen, text: &str) -> Vec<u8> {
    let mut bytes = text.as_bytes().to_vec();
    for _ in 0..usize::arbitrary(g) % 4 {
        let at = usize::arbitrary(g) % bytes.len().max(1);
        match u8::arbitrary(g) % 4 {
            0 if at < bytes.len() => bytes[at] = u8::arbitrary(g),
            1 => bytes.truncate(at),
            2 => bytes.extend_from_within(at..),
            _ => bytes.insert(at, u8::arbitrary(g)),
        }
    }
    bytes
}

/// A mutated copy of a valid text.
#[derive(Clone, Debug)]
struct Mutated<T>(Vec<u8>, std::marker::PhantomData<T>);

/// A valid text to mutate.
trait ValidText: Clone + 'static {
    fn text() -> String;
}

impl<T> Arbitrary for Mutated<T>
where
    T: ValidText,
{
    fn arbitrary(g: &mut Gen) -> Self {
        Self(mutate(g, &T::text()), std::marker::PhantomData)
    }
}

#[derive(Clone, Debug)]
struct Claim;

impl ValidText for Claim {
    fn text() -> String {
        let done = json!({ "state": "done", "status": 200, "content_type": "a", "body": "b" });
        json!({
            "nonce": 1, "instance": "a", "incarnation": 2, "fingerprint": "f", "state": done
        })
        .to_string()
    }
}

#[derive(Clone, Debug)]
struct Resources;

impl ValidText for Resources {
    fn text() -> String {
        let spec = json!({
            "type": "engine", "model": "judge", "upstreams": [{
                "name": "e", "address": "127.0.0.1:1", "data_centre": "dc", "slots": 1
            }]
        });
        json!({ "changes": [
            { "put": { "kind": "engine_pool", "name": "engines", "spec": spec } },
            { "put": { "kind": "tier", "name": "counter", "spec": { "rank": 0 } } },
        ]})
        .to_string()
    }
}

#[test]
fn parsed_claim_records_survive_a_round_trip() {
    assert!(serde_json::from_str::<ClaimRecord>(&Claim::text()).is_ok());
    fn property(text: Mutated<Claim>) -> bool {
        let Ok(record) = serde_json::from_slice::<ClaimRecord>(&text.0) else { return true };
        let written = serde_json::to_vec(&record).expect("serialises the record");
        serde_json::from_slice::<ClaimRecord>(&written).is_ok_and(|read| read == record)
    }
    check(64, 20_000, property as fn(Mutated<Claim>) -> bool);
}

#[test]
fn resources_parse_or_give_an_error_text() {
    assert!(serde_json::from_str::<Transaction>(&Resources::text()).is_ok());
    fn property(text: Mutated<Resources>) -> bool {
        let read = serde_json::from_slice::<Transaction>(&text.0);
        read.is_ok() || read.is_err_and(|e| !e.to_string().is_empty())
    }
    check(64, 20_000, property as fn(Mutated<Resources>) -> bool);
}

#[test]
fn events_do_not_depend_on_chunk_boundaries() {
    fn property(bytes: Vec<u8>, chunk_lens: Vec<u8>) -> bool {
        // Maps many byte values to line ends and fields, which random bytes rarely form.
        let bytes: Vec<u8> = bytes.iter().flat_map(|byte| token_for_byte(*byte)).collect();
        let mut unsplit = EventParser::default();
        unsplit.push(&Bytes::from(bytes.clone()));
        let mut split = EventParser::default();
        let mut events = Vec::new();
        let mut rest = bytes.as_slice();
        let mut chunk_lens = chunk_lens.into_iter().cycle();
        while !rest.is_empty() {
            let len = usize::from(chunk_lens.next().unwrap_or(3)).clamp(1, rest.len());
            let (chunk, after) = rest.split_at(len);
            split.push(&Bytes::copy_from_slice(chunk));
            rest = after;
            while let Ok(Some(event)) = split.next_event() {
                events.push(event);
            }
        }
        let mut expected = Vec::new();
        while let Ok(Some(event)) = unsplit.next_event() {
            expected.push(event);
        }
        events == expected
    }
    check(128, 5_000, property as fn(Vec<u8>, Vec<u8>) -> bool);
}

fn token_for_byte(byte: u8) -> Vec<u8> {
    match byte % 8 {
        0 => b"data: ".to_vec(),
        1 => b"id: 7".to_vec(),
        2 | 3 => b"\n".to_vec(),
        4 => b"\n\n".to_vec(),
        _ => vec![byte & 0x7f],
    }
}

/// Returns a mutated copy of a valid request.
fn raw_request(g: &mut Gen) -> Vec<u8> {
    let body = json!({ "model": "lookup", "prompt": "plot seven", "max_tokens": 1 }).to_string();
    let head = "host: x\r\nauthorization: Bearer desk-token\r\n";
    let valid = match u8::arbitrary(g) % 5 {
        0 => format!("GET /v1/addresses HTTP/1.1\r\n{head}\r\n"),
        1 => format!("GET /v1/requests/%6b%zz HTTP/1.1\r\n{head}\r\n"),
        2 => format!("GET /operator/v1/resources HTTP/1.1\r\n{head}\r\n"),
        3 => format!(
            "POST /v1/completions HTTP/1.1\r\n{head}transfer-encoding: chunked\r\n\r\n\
             {:x}\r\n{body}\r\n0\r\n\r\n",
            body.len()
        ),
        _ => format!(
            "POST /v1/completions HTTP/1.1\r\n{head}content-length: {}\r\n\r\n{body}",
            body.len()
        ),
    };
    mutate(g, &valid)
}

/// Sends raw requests; reconnects whenever the daemon closes the connection.
async fn send_raw(at: SocketAddr, seed: u64) {
    let mut g = Gen::from_size_and_seed(64, seed);
    let mut requests: VecDeque<_> = (0..REQUESTS_PER_SENDER).map(|_| raw_request(&mut g)).collect();
    while !requests.is_empty() {
        let mut stream = TcpStream::connect(at).await.expect("connects to the daemon");
        let mut buf = [0; 4_096];
        while let Some(request) = requests.pop_front() {
            if stream.write_all(&request).await.is_err() {
                break;
            }
            if let Ok(Ok(0) | Err(_)) = timeout(READ_TIMEOUT, stream.read(&mut buf)).await {
                break;
            }
        }
    }
}

/// Returns the resident memory of a process, in KiB.
fn resident_kib(pid: u32) -> u64 {
    let status =
        fs::read_to_string(format!("/proc/{pid}/status")).expect("reads the status of the process");
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).expect("a VmRSS line");
    line.trim().trim_end_matches(" kB").parse().expect("VmRSS in kB")
}

#[tokio::test(flavor = "multi_thread")]
async fn daemon_survives_malformed_requests_with_bounded_memory() {
    let mut fleet = Fleet::start(FleetConfig { instances: 1, ..FleetConfig::default() }).await;
    let at = fleet.instances[0].caller_address;
    let pid = fleet.instances[0].process.0.id();
    let before = resident_kib(pid);
    let senders: Vec<_> = (0..SENDERS).map(|n| tokio::spawn(send_raw(at, SEED + n))).collect();
    for sender in senders {
        sender.await.expect("the sender completes");
    }
    let grown = resident_kib(pid).saturating_sub(before);
    println!("{} raw requests, memory grew by {grown} KiB", SENDERS * REQUESTS_PER_SENDER as u64);
    assert!(
        fleet.instances[0].process.0.try_wait().expect("gets the state of the process").is_none()
    );
    assert!(grown < MAX_GROWTH_KIB, "memory grew by {grown} KiB");
    let outcome = complete(at, "lookup", "after", "plot seven", 3).await;
    assert!(matches!(outcome, CallerOutcome::Answer(_)), "{outcome:?}");
}
