//! Messages between the gate and instances, also of other builds.

use bytes::BytesMut;
use lacewingspring_core::dispatch::{Quota, SlotRequest};
use lacewingspring_proxy::gate::message::{DeclaredQuota, ToGate, Trailing, decode, encode};
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
