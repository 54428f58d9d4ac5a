//! A steady load of calls, and the check of the rule about servers that leave.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread::{self, JoinHandle},
    time::Duration,
};

use crate::{
    http::exchange,
    record::Record,
    server::Server,
    setup::{Setup, request},
};

/// Time for which a client waits for an answer.
const DEADLINE: Duration = Duration::from_secs(3);

/// Time between two requests to an instance.
const INTERVAL: Duration = Duration::from_millis(70);

/// Time after which a server that left must get nothing (`drainTimeoutMs`).
pub const DRAIN_TIMEOUT: Duration = Duration::from_millis(2_000);

/// A request that a client sent.
#[derive(Clone, Debug)]
pub struct Sent {
    pub id: String,
    pub instance: u8,
    pub at: Duration,
    /// Status of the answer; 0 if the connection ended without a whole one.
    pub status: u16,
}

/// Clients that send calls until they are stopped.
pub struct Load {
    is_stopped: Arc<AtomicBool>,
    sent: Arc<Mutex<Vec<Sent>>>,
    threads: Vec<JoinHandle<()>>,
}

impl Load {
    /// Starts a client for each of these instances.
    pub fn start(setup: &Setup, service: &str, instances: &[u8]) -> Self {
        let (is_stopped, sent) = (Arc::<AtomicBool>::default(), Arc::<Mutex<Vec<Sent>>>::default());
        let start = |instance: &u8| {
            let (instance, address) = (*instance, setup.address(*instance, 8221));
            let (is_stopped, sent) = (is_stopped.clone(), sent.clone());
            let (record, path) = (setup.record.clone(), format!("/{service}/x"));
            thread::spawn(move || {
                let mut number = 0;
                let mut calls = Vec::new();
                while !is_stopped.load(Ordering::SeqCst) {
                    number += 1;
                    let id = format!("{instance:02x}{number:06x}a35f68");
                    let (record, path, sent) = (record.clone(), path.clone(), sent.clone());
                    calls.push(thread::spawn(move || {
                        let head = request("POST", &path, &id, DEADLINE, "");
                        let call = call(&record, instance, id, address, &head);
                        sent.lock().expect("no panic").push(call);
                    }));
                    thread::sleep(INTERVAL);
                }
                calls.into_iter().for_each(|call| drop(call.join()));
            })
        };
        let threads = instances.iter().map(start).collect();
        Self { is_stopped, sent, threads }
    }

    /// Stops the clients and returns what they sent.
    pub fn stop(self) -> Vec<Sent> {
        self.is_stopped.store(true, Ordering::SeqCst);
        self.threads.into_iter().for_each(|thread| drop(thread.join()));
        self.sent.lock().expect("no panic").clone()
    }
}

fn call(record: &Record, instance: u8, id: String, address: SocketAddr, head: &str) -> Sent {
    let at = record.now();
    let answer = exchange(address, head, b"seat", DEADLINE, |_| {});
    let status = answer.map_or(0, |answer| answer.head.status());
    record.line(format!(
        "client: {id}, sent to frontend-a-{instance} at {:.3}, gets {status}",
        at.as_secs_f64()
    ));
    Sent { id, instance, at, status }
}

/// Checks that the server ran nothing that a client sent later than [`DRAIN_TIMEOUT`] after all
/// instances were told that it leaves; returns whether it did, and records what was lost with it.
pub fn judge(setup: &Setup, sent: &[Sent], server: &Server, told_at: Duration) -> bool {
    let record = &setup.record;
    let limit = told_at + DRAIN_TIMEOUT;
    let runs = server.runs();
    let late: Vec<&Sent> =
        sent.iter().filter(|sent| sent.at > limit && runs.contains(&sent.id)).collect();
    for sent in &late {
        record.line(format!(
            "late: {} of frontend-a-{}, sent at {:.3}, {:.3} s after the notice; answered {}",
            sent.id,
            sent.instance,
            sent.at.as_secs_f64(),
            (sent.at - told_at).as_secs_f64(),
            sent.status
        ));
    }
    let lost = late.iter().filter(|sent| sent.status != 200).count();
    let failed = sent.iter().filter(|sent| sent.status != 200).count();
    record.line(format!(
        "result: of {} requests {} ran at the server later than {} ms after all instances were told \
         that it leaves; {lost} of these were lost with it; {failed} of all were not served",
        sent.len(),
        late.len(),
        DRAIN_TIMEOUT.as_millis()
    ));
    !late.is_empty()
}
