//! The platform's care for the processes: it kills one whose memory is above its limit, and starts
//! each that has ended again. Ordinary clients send requests meanwhile.

use std::{
    net::{Ipv4Addr, SocketAddr},
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    client::{self, Request},
    deployment::{MEMORY_MB, ORDINARY_KEY, STREAM_PATH},
    fleet::Instance,
    record::Record,
};

/// Time between the end of a process and its next start.
const RESTART_DELAY: Duration = Duration::from_millis(1_000);

/// Ends of a process from which on a machine counts, and how many such machines break the rule.
const MAX_ENDS: usize = 3;
const MAX_MACHINES: usize = 2;

/// Requests of the ordinary clients.
#[derive(Default)]
pub struct Ordinary {
    answered: AtomicU64,
    refused: AtomicU64,
    lost: AtomicU64,
}

impl Ordinary {
    /// Starts clients, each of which sends a request every half second to one machine.
    pub fn start(
        count: usize,
        machines: &[Instance],
        record: &Record,
        is_over: &Arc<AtomicBool>,
    ) -> Arc<Self> {
        let all = Arc::new(Self::default());
        for number in 0..count {
            let to = machines[number % machines.len()].callers;
            let (all, record, is_over) = (all.clone(), record.clone(), is_over.clone());
            thread::spawn(move || all.send(number, to, &record, &is_over));
        }
        all
    }

    fn send(&self, number: usize, to: SocketAddr, record: &Record, is_over: &AtomicBool) {
        let mut sent = 0;
        while !is_over.load(Ordering::Relaxed) {
            sent += 1;
            let id = format!("o{number:x}-{sent:x}");
            let request = Request::new("POST", STREAM_PATH, &id, ORDINARY_KEY, 5_000)
                .with("X-Lacewingspring-Model", "m")
                .with("X-Lacewingspring-Token-Usage", "20,10")
                .with("X-Lacewingspring-Prompt-Prefix", "aa:5,bb:15")
                .with_body(id.as_bytes());
            let from = Ipv4Addr::new(127, 0, 0, 3);
            let answer = client::send(from, to, &request, Duration::from_secs(6));
            let (count, text) = match &answer {
                Ok(answer) if answer.status() == 200 => (&self.answered, "200".to_owned()),
                Ok(answer) => (&self.refused, answer.status().to_string()),
                Err(e) => (&self.lost, e.to_string()),
            };
            if is_over.load(Ordering::Relaxed) {
                // The test ends the processes.
                return;
            }
            count.fetch_add(1, Ordering::Relaxed);
            record.line(&format!("request {id} to {to}: {text}"));
            thread::sleep(Duration::from_millis(500));
        }
    }

    /// Says how the requests ended.
    pub fn report(&self, record: &Record) {
        record.say(&format!(
            "requests of ordinary clients: {} answered, {} refused, {} without an answer",
            self.answered.load(Ordering::Relaxed),
            self.refused.load(Ordering::Relaxed),
            self.lost.load(Ordering::Relaxed)
        ));
    }
}

/// Watches the memory of the processes for a time; returns whether the rule is broken: on two
/// machines processes ended three times.
pub fn watch_memory(machines: &mut [Instance], length: Duration, record: &Record) -> bool {
    let limit = u64::from(MEMORY_MB) * 1_024 * 1_024;
    let mut ends = vec![0; machines.len()];
    let mut most = vec![0; machines.len()];
    let mut starts_at: Vec<Option<Instant>> = vec![None; machines.len()];
    let end = Instant::now() + length;
    let mut is_broken = false;
    while Instant::now() < end && !is_broken {
        thread::sleep(Duration::from_millis(50));
        for (number, machine) in machines.iter_mut().enumerate() {
            if let Some(at) = starts_at[number] {
                if Instant::now() >= at {
                    starts_at[number] = None;
                    machine.start();
                }
                continue;
            }
            let memory = machine.memory("VmRSS:");
            most[number] = most[number].max(memory);
            if memory > limit || machine.has_ended() {
                record.line(&format!("{} uses {memory} bytes, more than {limit}", machine.name));
                machine.stop();
                ends[number] += 1;
                starts_at[number] = Some(Instant::now() + RESTART_DELAY);
            }
        }
        is_broken = ends.iter().filter(|ends| **ends >= MAX_ENDS).count() >= MAX_MACHINES;
    }
    record.say(&format!("limit {limit} bytes; most that each process used: {most:?}"));
    record.say(&format!("ends of processes for their memory, by machine: {ends:?}"));
    is_broken
}
