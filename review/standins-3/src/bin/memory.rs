//! Case: a client that nobody controls opens connections, each with a request whose head is within
//! `maxHeaderBytes` and names many small prompt parts, and sends the body slowly.

use std::{
    io::Write,
    net::{Ipv4Addr, SocketAddr, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

use review_standins_3::{
    client::{self, Request},
    deployment::{Deployment, STREAM_PATH, UNKNOWN_KEY, has_trouble},
    fleet,
    platform::{Ordinary, watch_memory},
};

/// Connections that the client opens to one machine.
const CONNECTIONS: usize = 1_100;

/// Length of the test after its start.
const LENGTH: Duration = Duration::from_secs(50);

/// A request with as many prompt parts as fit in the limit of a head.
fn large_head(id: usize) -> String {
    let mut parts = String::new();
    while parts.len() < 15_900 {
        parts.push_str(&format!("{:x}:0,", parts.len() % 16));
    }
    parts.pop();
    let request = Request::new("POST", STREAM_PATH, &format!("u{id:x}"), UNKNOWN_KEY, 15_000)
        .with("X-Lacewingspring-Model", "m")
        .with("X-Lacewingspring-Token-Usage", "10,10")
        .with("X-Lacewingspring-Prompt-Prefix", &parts)
        .with_body(&[b'x'; 1_000]);
    let head = request.head();
    assert!(head.len() <= 16_384, "the head is within the limit");
    head
}

/// Holds connections to one machine, and opens them again when they were closed.
fn press(to: SocketAddr, is_over: &AtomicBool) {
    let from = Ipv4Addr::new(127, 0, 0, 2);
    let mut open: Vec<TcpStream> = Vec::new();
    let mut id = 0;
    while !is_over.load(Ordering::Relaxed) {
        open.retain_mut(|stream| stream.write_all(b"x").is_ok());
        while open.len() < CONNECTIONS {
            let Ok(mut stream) = client::connect(from, to) else { break };
            let _ = stream.set_write_timeout(Some(Duration::from_millis(200)));
            id += 1;
            if stream.write_all(large_head(id).as_bytes()).is_err() {
                break;
            }
            open.push(stream);
        }
        thread::sleep(Duration::from_millis(1_500));
    }
}

fn main() {
    let deployment = Deployment::start();
    let record = deployment.record.clone();
    let mut machines = deployment.machines(3, deployment.store.address);
    fleet::start_all(&mut machines);
    let is_over = Arc::new(AtomicBool::new(false));
    let ordinary = Ordinary::start(8, &machines, &record, &is_over);
    thread::sleep(Duration::from_secs(3));
    if has_trouble() {
        for machine in &machines {
            let (to, is_over) = (machine.callers, is_over.clone());
            record.line(&format!("the unknown client opens {CONNECTIONS} connections to {to}"));
            thread::spawn(move || press(to, &is_over));
        }
    }
    let is_broken = watch_memory(&mut machines, LENGTH, &record);
    is_over.store(true, Ordering::Relaxed);
    drop(machines);
    ordinary.report(&record);
    record.say(if is_broken { "rule broken" } else { "rule held" });
    std::process::exit(i32::from(is_broken));
}
