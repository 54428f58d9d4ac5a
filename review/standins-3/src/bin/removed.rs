//! Case: the store cuts the watches that wait, and a server that never reports that it drains
//! leaves shortly after.

use std::{
    net::Ipv4Addr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

use review_standins_3::{
    client::{self, Request},
    deployment::{DRAIN, Deployment, ORDINARY_KEY, WRITE_PATH, has_trouble},
    fleet,
    server::{Kind, Server},
};

/// Servers that leave one after the other.
const ROUNDS: usize = 4;

/// Time from the cut of the watches to the removal of the entry.
const AFTER_CUT: Duration = Duration::from_millis(50);

/// Time for which a server serves after the removal of its entry.
const SERVES_ON: Duration = Duration::from_secs(4);

fn main() {
    let deployment = Deployment::start();
    let (record, store) = (deployment.record.clone(), deployment.store.clone());
    let mut machines = deployment.machines(3, store.address);
    fleet::start_all(&mut machines);
    thread::sleep(Duration::from_secs(2));
    let is_over = Arc::new(AtomicBool::new(false));
    let mut threads = Vec::new();
    for number in 0..12 {
        let to = machines[number % machines.len()].callers;
        let (record, is_over) = (record.clone(), is_over.clone());
        threads.push(thread::spawn(move || {
            let mut sent = 0;
            while !is_over.load(Ordering::Relaxed) {
                sent += 1;
                let id = format!("o{number:x}-{sent:x}");
                let request = Request::new("POST", WRITE_PATH, &id, ORDINARY_KEY, 3_000)
                    .with_body(id.as_bytes());
                let from = Ipv4Addr::new(127, 0, 0, 3);
                let answer = client::send(from, to, &request, Duration::from_secs(4));
                let text = match &answer {
                    Ok(answer) => answer.status().to_string(),
                    Err(e) => e.to_string(),
                };
                record.line(&format!("request {id}: {text}"));
                thread::sleep(Duration::from_millis(20));
            }
        }));
    }
    let mut late = 0;
    let mut leaving = deployment.registries[0].clone();
    for round in 0..ROUNDS {
        // The next server starts first.
        let kind = Kind { id: format!("i-new-{round}"), ..leaving.kind.clone() };
        let next = Server::start(kind, &store, &record, &deployment.runs);
        thread::sleep(Duration::from_millis(2_500));
        if has_trouble() {
            record.line("the store cuts the watches that wait");
            store.cut_watches();
        }
        thread::sleep(AFTER_CUT);
        leaving.leave_unreported(&store);
        let removed_at = record.now();
        thread::sleep(SERVES_ON);
        let runs = deployment.runs.lock().expect("runs");
        let of_server = runs.iter().filter(|run| run.server == leaving.kind.id);
        let since: Vec<Duration> = of_server.map(|run| run.at.saturating_sub(removed_at)).collect();
        let late_here = since.iter().filter(|since| **since > DRAIN).count();
        let last = since.iter().max().copied().unwrap_or_default();
        record.say(&format!(
            "server {}: last request {:.3} s after the removal, {late_here} later than {} s",
            leaving.kind.id,
            last.as_secs_f64(),
            DRAIN.as_secs()
        ));
        late += late_here;
        drop(runs);
        leaving.crash();
        leaving = next;
    }
    is_over.store(true, Ordering::Relaxed);
    threads.into_iter().for_each(|thread| drop(thread.join()));
    drop(machines);
    let is_broken = late > 0;
    record.say(if is_broken { "rule broken" } else { "rule held" });
    std::process::exit(i32::from(is_broken));
}
