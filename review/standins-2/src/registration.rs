//! A machine that starts again while the store loses the answers of some writes and does them late.

use std::{
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use crate::{http::exchange, platform::*, record::Record, store::Store};

/// Time by which the store does the write late; the pages have 1 to 6 s.
const LATE: Duration = Duration::from_millis(2_000);

/// `recoveryTimeS` of the deployment.
const RECOVERY: Duration = Duration::from_secs(12);

/// Time after that in which requests are judged.
const JUDGED: Duration = Duration::from_secs(10);

const CLIENTS: usize = 4;
const INTERVAL: Duration = Duration::from_millis(250);

/// What became of the requests of a span of time.
#[derive(Debug, Default)]
struct Tally {
    sent: usize,
    served: usize,
    /// Answers by status; 0 for none.
    statuses: std::collections::BTreeMap<u16, usize>,
    /// Address queries, and those that named the machine.
    queries: usize,
    named: usize,
}

/// Sends requests for a while, each after an address query. A client keeps the address that it
/// knows if it cannot get a new one.
fn send(instance: &Instance, span: Duration, name: &str) -> Tally {
    let (began, mut tally, mut number) = (Instant::now(), Tally::default(), 0);
    while began.elapsed() < span {
        for client in 0..CLIENTS {
            number += 1;
            tally.queries += 1;
            tally.named += usize::from(instance.resolves());
            tally.sent += 1;
            let id = format!("{name}-{client}-{number}");
            let bytes = request("GET", "/cufi504/record", &id, 3_000, "", b"");
            let answer = exchange(instance.callers(), &bytes, Duration::from_secs(3));
            let status = answer.map_or(0, |answer| answer.status());
            *tally.statuses.entry(status).or_default() += 1;
            tally.served += usize::from(status == 200);
        }
        thread::sleep(INTERVAL);
    }
    tally
}

/// Runs the case; returns whether the rule was kept.
pub fn run(trouble: bool, record: &Record) -> Option<bool> {
    let folder = Folder::new();
    let store = Store::start((free_ip(&[8225]), 8225).into());
    store
        .put("op/config", &config(7, &[route("read", "/cufi504/", "idempotent", "app", 3_000, 2)]));
    let handler: Handler = Arc::new(|call| {
        call.run();
        thread::sleep(Duration::from_millis(20));
        call.answer(200, "", b"the record")
    });
    let servers: Vec<Server> = (0..3)
        .map(|number| {
            Server::start(&store, &format!("i-app{number}"), "app", 6, "v1", handler.clone())
        })
        .collect();
    let mut instance = Instance::start(&folder.0, "frontend-cluj-a-1", "cluj-a", &store);
    if !instance.wait_ready(Duration::from_secs(10)) {
        return None;
    }
    thread::sleep(Duration::from_secs(2));
    let began = Instant::now();
    let at = || format!("{:.2} s", began.elapsed().as_secs_f64());
    let before = send(&instance, Duration::from_secs(4), "before");
    record.line(&format!("{}  before: {before:?}", at()));
    instance.kill();
    record.line(&format!("{}  the process is killed", at()));
    thread::sleep(Duration::from_millis(500));
    if trouble {
        store.lose_answers(1, LATE);
    } else {
        store.lose_answers(0, LATE);
    }
    instance.restart();
    if !instance.wait_ready(Duration::from_secs(10)) {
        return None;
    }
    let back = Instant::now();
    record.line(&format!("{}  it is back and ready", at()));
    let mut entries = Vec::new();
    while back.elapsed() < RECOVERY {
        let now = store.keys("lacewingspring/instances/");
        if now != entries {
            record.line(&format!("{}  entries of instances in the store: {now:?}", at()));
            entries = now;
        }
        thread::sleep(Duration::from_millis(50));
    }
    let (answered, lost) = store.writes();
    record.line(&format!(
        "{}  writes since the restart: {answered} answered, {lost} done late and not answered",
        at()
    ));
    let after = send(&instance, JUDGED, "after");
    let readiness = instance.readiness();
    record.line(&format!("{}  after: {after:?}; readiness: {readiness}", at()));
    for server in &servers {
        let runs = server.runs.lock().unwrap().len();
        record.line(&format!("server {} ran {runs} requests", server.name));
    }
    for line in instance.log_lines("egist").iter().chain(&instance.log_lines("share of the fleet"))
    {
        record.line(&format!("log: {line}"));
    }
    record.say(&format!(
        "{} of {} requests were served before the kill; later than {} s after the machine was back, {} of {} \
         were, and {} of {} address queries named it (at least a quarter is due); readiness: {readiness}",
        before.served,
        before.sent,
        RECOVERY.as_secs(),
        after.served,
        after.sent,
        after.named,
        after.queries
    ));
    if 4 * before.served < before.sent || instance.ended().is_some() {
        return None;
    }
    Some(4 * after.served >= after.sent)
}
