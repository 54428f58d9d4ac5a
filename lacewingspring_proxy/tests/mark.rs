//! What instances tell one another about requests that they pass on, also between builds.

use std::time::Duration;

use http::{HeaderMap, HeaderValue};
use lacewingspring_core::{
    dispatch::Quota,
    names::{ServiceName, WorkspaceName},
};
use lacewingspring_proxy::{
    admission::Admitted,
    declared::{RequestKind, Route, RouteTarget, Service, Workspace},
    mark::{self, Mark},
};

const INCARNATION: u64 = 42;

const PASSED_ON: &str = "lacewingspring-passed-on";

const ADMISSION: &str = "lacewingspring-admission";

fn admitted() -> Admitted {
    let service = ServiceName::from("app");
    let route = Route {
        name: "livrări".into(),
        host: "host.example".into(),
        prefix: "/book/".into(),
        kind: RequestKind::ResumableStream,
        timeout: Duration::from_millis(1_500),
        target_latency: Duration::from_millis(400),
        max_event_gap: Some(Duration::from_millis(300)),
        rank: 1,
        targets: Vec::new(),
        max_attempts: 2,
        is_public: false,
    };
    let workspace = Workspace {
        name: WorkspaceName::from("desk"),
        rank: Some(0),
        quota: Quota { rate: Some(12.5), burst: 3.0 },
        counts_tokens: true,
        default_tokens: 200,
    };
    Admitted {
        route: route.into(),
        service: Service { name: service, memory_tokens: Some(9), tokens_per_event: 4 },
        workspace: Some(workspace.into()),
        version: 14,
        timeout: Duration::from_millis(1_200),
        charge: 700,
        rank: 0,
        max_body_bytes: 1_000,
    }
}

fn marked() -> HeaderMap {
    let mut headers = HeaderMap::new();
    mark::set(&mut headers, INCARNATION, 7, &admitted());
    headers
}

fn take(headers: &mut HeaderMap) -> Mark {
    Mark::take(headers, |incarnation| incarnation == INCARNATION).expect("a mark")
}

#[test]
fn tells_how_a_request_was_admitted() {
    let mut headers = marked();
    assert_eq!(take(&mut headers), Mark { last_attempt: Some(7), admitted: Some(admitted()) });
    assert!(!headers.contains_key(PASSED_ON) && !headers.contains_key(ADMISSION));
}

#[test]
fn does_not_tell_the_targets_that_were_not_chosen() {
    let mut admitted = admitted();
    let mut route = Route::clone(&admitted.route);
    route.targets.push(RouteTarget { service: ServiceName::from("elsewhere"), weight: 1 });
    admitted.route = route.into();
    let mut headers = HeaderMap::new();
    mark::set(&mut headers, INCARNATION, 7, &admitted);
    assert!(!String::from_utf8_lossy(headers[ADMISSION].as_bytes()).contains("elsewhere"));
    assert!(headers[ADMISSION].len() + headers[PASSED_ON].len() < mark::MAX_HEADER_BYTES);
}

/// Guards against builds that can't read what an earlier one sends, which tells no admission.
#[test]
fn reads_the_mark_of_an_earlier_build() {
    let mut headers = HeaderMap::new();
    headers.insert(PASSED_ON, HeaderValue::from_static("42 7"));
    assert_eq!(take(&mut headers), Mark { last_attempt: Some(7), admitted: None });
}

/// Guards against builds that can't read what a later one adds.
#[test]
fn ignores_what_a_later_build_adds() {
    let mut headers = marked();
    let text = String::from_utf8_lossy(headers[ADMISSION].as_bytes()).into_owned();
    let text = text.replacen('{', r#"{"later":[1],"#, 1);
    headers.insert(ADMISSION, HeaderValue::from_bytes(text.as_bytes()).expect("a header value"));
    assert_eq!(take(&mut headers).admitted, Some(admitted()));
}

/// Guards against earlier builds that forward the admission to upstreams: they drop what
/// `Connection` names.
#[test]
fn names_the_admission_as_a_header_of_the_connection() {
    let headers = marked();
    let connection = headers["connection"].to_str().expect("text");
    let named: Vec<&str> = connection.split(',').map(str::trim).collect();
    assert_eq!(named, ["close", ADMISSION]);
}

#[test]
fn does_not_trust_a_sender_that_no_instance_is() {
    for value in ["41 7", "x", "42"] {
        let mut headers = marked();
        headers.insert(PASSED_ON, HeaderValue::from_static(value));
        assert!(!take(&mut headers).is_from_fleet());
    }
}
