//! Watches: a stream of JSON lines with the events of a key range.

use std::sync::Arc;

use serde_json::{Value, json};

use super::{
    KeyValueService,
    messages::{Int64, WatchCreateRequest, WatchRequest},
    store::Event,
};
use crate::http::{Call, Reply, StreamSender, abort_connection, error, lock, send, stream};

/// Handles `/v3/watch`: starts a watch and streams its events.
pub fn handle(service: Arc<KeyValueService>, call: &Call) -> Reply {
    let req: WatchRequest = match call.json() {
        Ok(req) => req,
        Err(e) => return error(400, &e.to_string()),
    };
    lock(&service.call_counts).watches += 1;
    let (tx, reply) = stream("application/json");
    tokio::spawn(stream_events(service, req.create_request, tx));
    reply
}

async fn stream_events(service: Arc<KeyValueService>, req: WatchCreateRequest, tx: StreamSender) {
    let mut revisions = service.revision.subscribe();
    let mut faults = service.faults.subscribe();
    let (header, mut next, history_start) = {
        let store = lock(&service.store);
        let next =
            if req.start_revision.is_zero() { store.revision() + 1 } else { req.start_revision.0 };
        (store.header(), next, store.history_start())
    };
    if !send_line(&tx, &json!({ "header": header, "created": true })).await {
        return;
    }
    if next < history_start {
        let compacted = Int64(history_start);
        let line = json!({ "header": header, "canceled": true, "compact_revision": compacted });
        send_line(&tx, &line).await;
        return;
    }
    loop {
        if faults.borrow_and_update().down {
            return abort_connection(&tx).await;
        }
        revisions.borrow_and_update();
        let (header, now, events) = {
            let store = lock(&service.store);
            let events = store.events_since(&req.key, &req.range_end, next);
            (store.header(), store.revision(), events)
        };
        next = next.max(now + 1);
        let reported: Vec<Value> = events
            .iter()
            .filter(|_| !service.faults.consume(|f| &mut f.drop_watch_events))
            .map(event_json)
            .collect();
        // The events of several revisions may share a line, as with etcd.
        if !reported.is_empty()
            && !send_line(&tx, &json!({ "header": header, "events": reported })).await
        {
            return;
        }
        tokio::select! {
            changed = revisions.changed() => if changed.is_err() { return },
            changed = faults.changed() => if changed.is_err() { return },
            () = tx.closed() => return,
        }
    }
}

async fn send_line(tx: &StreamSender, result: &Value) -> bool {
    send(tx, format!("{}\n", json!({ "result": result }))).await
}

fn event_json(event: &Event) -> Value {
    json!({ "type": if event.deleted { "DELETE" } else { "PUT" }, "kv": event.pair })
}
