//! The key-value client against scripted responses in the published protocol, which has keys and
//! values in base64: `YQ==` is `a`, `Yg==` is `b` and `Yw==` is `c`.

use std::{net::SocketAddr, time::Duration};

use lacewingspring::platform::key_value::{
    CallKind, Compare, Created, KeyValue, KeyValueError, Put, Swap, WatchEvent,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
    task::JoinHandle,
};

/// Time-out of one call to the key-value service.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// Serves one connection: reads a request, writes `response` and closes. The task returns the
/// request.
async fn serve_once(response: String) -> (SocketAddr, JoinHandle<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let task = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut req = Vec::with_capacity(4_096);
        while !req.ends_with(b"}") {
            let read = stream.read_buf(&mut req).await.unwrap();
            assert!(read > 0, "the client closed the connection before the end of its request");
        }
        stream.write_all(response.as_bytes()).await.unwrap();
        String::from_utf8(req).unwrap()
    });
    (address, task)
}

fn ok(body: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n{body}")
}

fn client(address: SocketAddr) -> KeyValue {
    KeyValue::new(vec![address], CALL_TIMEOUT)
}

#[tokio::test]
async fn reads_a_key() {
    let body = r#"{"header":{"revision":"7"},"kvs":[{"key":"YQ==","value":"Yg==",
        "create_revision":"3","mod_revision":"5","version":"2"}],"count":"1"}"#;
    let (address, task) = serve_once(ok(body)).await;
    let kv = client(address);
    let entry = kv.get("a").await.unwrap().unwrap();
    assert_eq!((entry.key.as_str(), &entry.value[..]), ("a", &b"b"[..]));
    assert_eq!((entry.create_revision, entry.mod_revision), (3, 5));
    let req = task.await.unwrap();
    assert!(req.starts_with("POST /v3/kv/range") && req.ends_with(r#"{"key":"YQ=="}"#), "{req}");
    assert_eq!((kv.calls().of(CallKind::Range), kv.calls().total()), (1, 1));
}

#[tokio::test]
async fn create_of_an_existing_key_returns_its_entry() {
    let body = r#"{"header":{"revision":"9"},"responses":[{"response_range":{"kvs":[
        {"key":"YQ==","value":"Yg==","create_revision":"3","mod_revision":"3"}]}}]}"#;
    let (address, task) = serve_once(ok(body)).await;
    let created = client(address).create("a", "c").await.unwrap();
    assert!(matches!(created, Created::Exists(entry) if &entry.value[..] == b"b"));
    let expected = r#"{"compare":[{"result":"EQUAL","target":"CREATE","key":"YQ==","create_revision":"0"}],"success":[{"request_put":{"key":"YQ==","value":"Yw==","lease":"0"}}],"failure":[{"request_range":{"key":"YQ=="}}]}"#;
    assert!(task.await.unwrap().ends_with(expected));
}

#[tokio::test]
async fn swap_returns_its_revision() {
    let (address, _) = serve_once(ok(r#"{"header":{"revision":"9"},"succeeded":true}"#)).await;
    let compares = vec![Compare::ModRevision("a".into(), 8)];
    let swap = client(address).compare_and_swap(compares, vec![Put::new("a", "b")], vec![]).await;
    assert_eq!(swap, Ok(Swap::Done(9)));
}

#[tokio::test]
async fn refused_connection_is_reported_as_unavailable() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    let result = client(address).put(Put::new("a", "b")).await;
    assert!(matches!(result, Err(KeyValueError::Unavailable(_))), "{result:?}");
}

#[tokio::test]
async fn truncated_or_late_response_is_reported_as_unknown() {
    for response in ["", "HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\n{"] {
        let (address, _) = serve_once(response.into()).await;
        let result = client(address).put(Put::new("a", "b")).await;
        assert!(matches!(result, Err(KeyValueError::Unknown(_))), "{result:?}");
    }
    let silent = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let result = client(silent.local_addr().unwrap()).put(Put::new("a", "b")).await;
    assert!(matches!(result, Err(KeyValueError::Unknown(_))), "{result:?}");
}

#[tokio::test]
async fn watch_batches_by_revision_and_ends_with_an_error() {
    let lines = concat!(
        r#"{"result":{"header":{"revision":"4"},"created":true}}"#,
        "\n",
        r#"{"result":{"events":[{"kv":{"key":"YQ==","value":"Yg==","mod_revision":"5"}},"#,
        r#"{"kv":{"key":"Yg==","mod_revision":"5"},"type":"DELETE"},"#,
        r#"{"kv":{"key":"YQ==","value":"Yw==","mod_revision":"6"}}]}}"#,
        "\n",
    );
    let (address, _) = serve_once(ok(lines)).await;
    let mut watch = client(address).watch("", 5).await.unwrap();
    let first = watch.next().await.unwrap();
    assert_eq!((first.revision, first.events.len()), (5, 2));
    assert_eq!(first.events[1], WatchEvent::Delete("b".into()));
    assert_eq!(watch.next().await.unwrap().revision, 6);
    assert!(matches!(watch.next().await, Err(KeyValueError::Unknown(_))));
}

#[tokio::test]
async fn compacted_watch_returns_the_compacted_revision() {
    let line = r#"{"result":{"created":true,"canceled":true,"compact_revision":"8"}}"#;
    let (address, _) = serve_once(ok(line)).await;
    let result = client(address).watch("", 5).await;
    assert!(matches!(result, Err(KeyValueError::Compacted(8))), "{result:?}");
}
