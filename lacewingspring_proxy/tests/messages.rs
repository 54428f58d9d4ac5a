//! Messages between the gate and instances, also of other builds.

use std::{sync::Arc, time::Duration};

use bytes::BytesMut;
use lacewingspring_core::dispatch::{End, KnownStreams, Quota, SlotRequest, UpstreamLoad};
use lacewingspring_proxy::gate::message::{
    DeclaredQuota, EncodedRollOuts, EndDetails, FromGate, ReceivedLoad, ToGate, Trailing, decode,
    encode,
};
use serde::{Deserialize, Serialize};
use support::request;

mod support;

/// The first messages as builds know them that do not tell the limit of a workspace.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
enum EarlierToGate {
    Hello,
    Running,
    RequestSlot { number: u64, request: Box<SlotRequest> },
}

fn slot_request(quota: Option<DeclaredQuota>) -> ToGate {
    ToGate::RequestSlot { number: 7, request: request(), quota: Trailing(quota) }
}

fn quota() -> DeclaredQuota {
    DeclaredQuota { version: 300, quota: Quota { rate: Some(12.5), burst: 3.0 } }
}

#[test]
fn a_slot_request_tells_the_limit_of_its_workspace() {
    for message in [slot_request(Some(quota())), slot_request(None)] {
        let bytes = encode(&message).expect("can be encoded");
        let decoded: ToGate = decode(&BytesMut::from(&bytes[..])).expect("can be decoded");
        assert_eq!(decoded, message);
    }
}

/// Guards against a gate that closes the links of instances of an earlier build.
#[test]
fn reads_a_slot_request_of_an_earlier_build() {
    let earlier = EarlierToGate::RequestSlot { number: 7, request: Box::new(request()) };
    let bytes = encode(&earlier).expect("can be encoded");
    let decoded: ToGate = decode(&BytesMut::from(&bytes[..])).expect("can be decoded");
    assert_eq!(decoded, slot_request(None));
}

/// Guards against a gate of an earlier build that closes the links of instances of this one.
#[test]
fn an_earlier_build_reads_a_slot_request() {
    let bytes = encode(&slot_request(Some(quota()))).expect("can be encoded");
    let decoded: EarlierToGate = decode(&BytesMut::from(&bytes[..])).expect("can be decoded");
    assert_eq!(decoded, EarlierToGate::RequestSlot { number: 7, request: Box::new(request()) });
}

/// The first messages as builds know them that do not tell the load of upstreams.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
enum ToGateWithoutLoad {
    Hello,
    Running,
    RequestSlot,
    FirstOutput { number: u64, took: Duration },
    End { number: u64, end: End },
}

const TOOK: Duration = Duration::from_millis(70);

const FINISHED: End = End::Finished {
    took: Duration::from_millis(900),
    output_tokens: 40,
    decode: Duration::from_millis(800),
    is_framed: true,
};

fn received_load() -> ReceivedLoad {
    let load = UpstreamLoad { running: 7, waiting: 2, slots: 8, pace: Some(2.5) };
    ReceivedLoad { load, age: Duration::from_millis(3) }
}

fn end(load: Option<ReceivedLoad>, error_status: Option<u16>) -> ToGate {
    let details = EndDetails { load: Trailing(load), error_status: Trailing(error_status) };
    ToGate::End { number: 9, end: FINISHED, details }
}

fn with_load(load: Option<ReceivedLoad>) -> [ToGate; 2] {
    [ToGate::FirstOutput { number: 9, took: TOOK, load: Trailing(load) }, end(load, None)]
}

fn without_load() -> [ToGateWithoutLoad; 2] {
    [
        ToGateWithoutLoad::FirstOutput { number: 9, took: TOOK },
        ToGateWithoutLoad::End { number: 9, end: FINISHED },
    ]
}

#[test]
fn the_first_output_and_the_end_tell_the_load() {
    for message in with_load(Some(received_load())).into_iter().chain(with_load(None)) {
        let bytes = encode(&message).expect("can be encoded");
        let decoded: ToGate = decode(&BytesMut::from(&bytes[..])).expect("can be decoded");
        assert_eq!(decoded, message);
    }
}

/// Guards against a gate that closes the links of instances of an earlier build.
#[test]
fn reads_a_first_output_and_an_end_of_an_earlier_build() {
    for (earlier, message) in without_load().iter().zip(with_load(None)) {
        let bytes = encode(earlier).expect("can be encoded");
        let decoded: ToGate = decode(&BytesMut::from(&bytes[..])).expect("can be decoded");
        assert_eq!(decoded, message);
    }
}

/// Guards against a gate of an earlier build that closes the links of instances of this one.
#[test]
fn an_earlier_build_reads_a_first_output_and_an_end() {
    for (message, earlier) in with_load(Some(received_load())).iter().zip(without_load()) {
        let bytes = encode(message).expect("can be encoded");
        let decoded: ToGateWithoutLoad =
            decode(&BytesMut::from(&bytes[..])).expect("can be decoded");
        assert_eq!(decoded, earlier);
    }
}

/// Guards against other bytes on links of deployments whose upstreams report no load.
#[test]
fn without_load_the_bytes_are_those_of_an_earlier_build() {
    for (message, earlier) in with_load(None).iter().zip(without_load()) {
        let bytes = encode(message).expect("can be encoded");
        assert_eq!(bytes, encode(&earlier).expect("can be encoded"));
    }
}

/// The first messages as builds know them that do not tell which responses are errors.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
enum ToGateWithoutErrorStatus {
    Hello,
    Running,
    RequestSlot,
    FirstOutput,
    End { number: u64, end: End, load: Trailing<ReceivedLoad> },
}

/// Guards against a load that is taken for a status, or the reverse.
#[test]
fn the_end_tells_the_status_of_an_error() {
    for load in [None, Some(received_load())] {
        let message = end(load, Some(504));
        let bytes = encode(&message).expect("can be encoded");
        let decoded: ToGate = decode(&BytesMut::from(&bytes[..])).expect("can be decoded");
        assert_eq!(decoded, message);
    }
}

/// Guards against a gate of an earlier build that closes the links of instances of this one.
#[test]
fn an_earlier_build_reads_an_end_with_the_status_of_an_error() {
    for load in [None, Some(received_load())] {
        let bytes = encode(&end(load, Some(504))).expect("can be encoded");
        let decoded: ToGateWithoutErrorStatus =
            decode(&BytesMut::from(&bytes[..])).expect("can be decoded");
        let load = Trailing(load);
        assert_eq!(decoded, ToGateWithoutErrorStatus::End { number: 9, end: FINISHED, load });
    }
}

/// The messages to the gate as builds know them that tell no roll-outs.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
enum ToGateWithoutRollOuts {
    Hello,
    Running,
    RequestSlot,
    FirstOutput,
    End,
    Ping,
    RateLimit,
    Brittle,
    HandOver,
    Streams(KnownStreams),
}

/// The messages from the gate as builds know them that tell no roll-outs.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
enum FromGateWithoutRollOuts {
    Granted,
    Refused,
    Queued,
    Usage,
    Update,
    Pong,
    HandOver,
    Streams(KnownStreams),
}

fn known_streams() -> KnownStreams {
    KnownStreams { knows_past: true, ..KnownStreams::default() }
}

fn streams(told: Option<EncodedRollOuts>) -> (ToGate, FromGate) {
    let told = Trailing(told);
    let to_gate = ToGate::Streams(known_streams(), told.clone());
    (to_gate, FromGate::Streams(Arc::new(known_streams()), told))
}

#[test]
fn streams_come_with_the_records_of_roll_outs() {
    for told in [None, Some(vec![b"{}".to_vec(), Vec::new()])] {
        let (to_gate, from_gate) = streams(told);
        let bytes = encode(&to_gate).expect("can be encoded");
        let decoded: ToGate = decode(&BytesMut::from(&bytes[..])).expect("can be decoded");
        assert_eq!(decoded, to_gate);
        let bytes = encode(&from_gate).expect("can be encoded");
        let decoded: FromGate = decode(&BytesMut::from(&bytes[..])).expect("can be decoded");
        assert_eq!(decoded, from_gate);
    }
}

/// Guards against links between this build and an earlier one that close, and against other bytes
/// where there are no roll-outs.
#[test]
fn an_earlier_build_reads_streams_with_the_records_of_roll_outs() {
    let earlier_to_gate = ToGateWithoutRollOuts::Streams(known_streams());
    let earlier_from_gate = FromGateWithoutRollOuts::Streams(known_streams());
    let (to_gate, from_gate) = streams(Some(vec![b"{}".to_vec()]));
    let bytes = encode(&to_gate).expect("can be encoded");
    let decoded: ToGateWithoutRollOuts =
        decode(&BytesMut::from(&bytes[..])).expect("can be decoded");
    assert_eq!(decoded, earlier_to_gate);
    let bytes = encode(&from_gate).expect("can be encoded");
    let decoded: FromGateWithoutRollOuts =
        decode(&BytesMut::from(&bytes[..])).expect("can be decoded");
    assert_eq!(decoded, earlier_from_gate);
    let (to_gate, from_gate) = streams(None);
    let to_gate = encode(&to_gate).expect("can be encoded");
    assert_eq!(to_gate, encode(&earlier_to_gate).expect("can be encoded"));
    let from_gate = encode(&from_gate).expect("can be encoded");
    assert_eq!(from_gate, encode(&earlier_from_gate).expect("can be encoded"));
}
