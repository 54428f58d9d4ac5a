//! Measures the processor time of a gate: while all instances link to it, and for each request
//! afterwards.
//!
//! The gate runs in a thread of its own, the instances in another one. Each instance reports
//! running and waiting requests when it links, then asks for slots at a steady rate, in all about
//! as many as the upstreams can serve.
//!
//! Usage: `gate_cost [INSTANCES [UPSTREAMS [REQUESTS_PER_SECOND]]]`

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

use arc_swap::ArcSwap;
use futures_util::{SinkExt, StreamExt};
use lacewingspring_core::{
    dispatch::{End, PromptPart, SlotRequest, UpstreamInfo, Work},
    names::{DataCentreName, InstanceName, ServiceName, SoftwareVersion, UpstreamName},
};
use lacewingspring_proxy::{
    clock,
    gate::{
        host::GateHost,
        message::{EndDetails, FromGate, ToGate, Trailing, decode, encode, frames},
    },
    members::{Member, Members, SharedMembers},
    replica::Replicas,
    store::Revision,
};
use rustix::time::{ClockId, clock_gettime};
use tokio::{
    net::TcpStream,
    runtime,
    sync::mpsc::unbounded_channel,
    time::{MissedTickBehavior, interval, sleep},
};

/// Number of upstreams unless the command line names another one.
const DEFAULT_UPSTREAMS: usize = 240;

/// Slots of each upstream.
const SLOTS: u32 = 6;

/// Requests that each instance reports as running when it links.
const RUNNING: u64 = 5;

/// Requests that each instance reports as waiting when it links.
const WAITING: u64 = 4;

/// Requests a second of all instances unless the command line names another number.
const DEFAULT_RATE: f64 = 4_000.0;

/// Time for which a request holds its slot.
const SERVICE_TIME: Duration = Duration::from_millis(350);

/// Time over which the cost of requests is measured.
const MEASURED_TIME: Duration = Duration::from_secs(4);

/// Number of instances unless the command line names another one.
const DEFAULT_INSTANCES: usize = 190;

fn cpu_time() -> Duration {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
}

fn upstream(number: usize) -> UpstreamInfo {
    UpstreamInfo {
        name: UpstreamName::from(format!("upstream-{number}")),
        service: ServiceName::from("models"),
        software: SoftwareVersion::from("v1"),
        address: SocketAddr::from(([10, 0, 0, 1], 8000)),
        data_centre: DataCentreName::from("a"),
        slots: SLOTS,
        memory_tokens: 450_000,
        draining: false,
        started_at_ms: 1,
    }
}

fn request(number: u64) -> SlotRequest {
    let class = (number % 3) as u8;
    SlotRequest {
        service: ServiceName::from("models"),
        class: Arc::from(["review", "coach", "tag"][usize::from(class)]),
        rank: class,
        data_centre: DataCentreName::from("a"),
        workspace: None,
        work: Work::Generation {
            prompt_tokens: 2_000,
            output_tokens: 300,
            parts: vec![
                PromptPart { id: number % 40, tokens: 60 },
                PromptPart { id: 1_000 + number, tokens: 1_900 },
            ],
        },
        target_left: Duration::from_millis(400),
        time_left: Duration::from_secs(12),
        first_output_left: Duration::from_secs(3),
        charge: 2_300,
        sends: 0,
        avoid: Vec::new(),
        fingerprint: number,
        stream: None,
        software: None,
    }
}

/// Returns the registered instances.
fn members(instances: usize) -> Members {
    let address = SocketAddr::from(([10, 0, 0, 1], 8000));
    let member = |index| Member {
        instance: InstanceName::from(format!("instance-{index}").as_str()),
        incarnation: 1,
        data_centre: DataCentreName::from("a"),
        millicores: 500,
        caller_address: address,
        peer_address: address,
        is_leaving: false,
    };
    (0..instances).map(|index| (Revision::default(), member(index))).collect()
}

/// Size of the fleet and its load.
#[derive(Clone, Copy, Debug)]
struct Size {
    instances: usize,
    upstreams: usize,
    /// Requests a second.
    rate: f64,
}

/// Counts of all instances.
#[derive(Debug, Default)]
struct Counts {
    linked: AtomicU64,
    granted: AtomicU64,
    refused: AtomicU64,
}

/// Plays one instance.
async fn play(index: usize, size: Size, gate: SocketAddr, counts: Arc<Counts>) {
    let stream = TcpStream::connect(gate).await.expect("connects to the gate");
    stream.set_nodelay(true).expect("sets an option");
    let mut frames = frames(stream);
    let (tx, mut rx) = unbounded_channel::<ToGate>();
    let instance = InstanceName::from(format!("instance-{index}").as_str());
    let send = |message| tx.send(message).expect("the link is open");
    send(ToGate::Hello { instance, usage: Vec::new(), usage_age: Duration::from_secs(60) });
    let base = index as u64 * 1_000_000;
    for number in 0..RUNNING {
        let upstream = (index as u64 * RUNNING + number) as usize % size.upstreams;
        let upstream = UpstreamName::from(format!("upstream-{upstream}"));
        send(ToGate::Running { number, request: request(base + number), upstream });
    }
    for number in RUNNING..RUNNING + WAITING {
        send(ToGate::RequestSlot {
            number,
            request: request(base + number),
            quota: Trailing(None),
        });
    }
    let reported = tx.clone();
    tokio::spawn(async move {
        sleep(SERVICE_TIME).await;
        for number in 0..RUNNING {
            let (took, decode) = (SERVICE_TIME, SERVICE_TIME * 3 / 4);
            let end = End::Finished { took, output_tokens: 60, decode, is_framed: true };
            let _ = reported.send(ToGate::End { number, end, details: EndDetails::NONE });
        }
    });
    let mut next = RUNNING + WAITING;
    let mut ticks = interval(Duration::from_secs_f64(size.instances as f64 / size.rate));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut is_acknowledged = false;
    loop {
        tokio::select! {
            message = frames.next() => {
                let Some(Ok(bytes)) = message else { return };
                if !std::mem::replace(&mut is_acknowledged, true) {
                    counts.linked.fetch_add(1, Ordering::Relaxed);
                }
                match decode(&bytes).expect("reads a message") {
                    FromGate::Granted { number, .. } => {
                        counts.granted.fetch_add(1, Ordering::Relaxed);
                        let tx = tx.clone();
                        tokio::spawn(async move {
                            sleep(SERVICE_TIME / 4).await;
                            let took = SERVICE_TIME / 4;
                            let load = Trailing(None);
                            let _ = tx.send(ToGate::FirstOutput { number, took, load });
                            sleep(SERVICE_TIME * 3 / 4).await;
                            let (took, decode) = (SERVICE_TIME, SERVICE_TIME * 3 / 4);
                            let end =
                                End::Finished { took, output_tokens: 60, decode, is_framed: true };
                            let _ = tx.send(ToGate::End { number, end, details: EndDetails::NONE });
                        });
                    }
                    FromGate::Refused { .. } => {
                        counts.refused.fetch_add(1, Ordering::Relaxed);
                    }
                    _ => {}
                }
            }
            Some(message) = rx.recv() => {
                if frames.send(encode(&message).expect("encodes")).await.is_err() {
                    return;
                }
            }
            _ = ticks.tick() => {
                let request = request(base + next);
                let _ = tx.send(ToGate::RequestSlot {
                    number: next,
                    request,
                    quota: Trailing(None),
                });
                next += 1;
            }
        }
    }
}

fn measure(size: Size) {
    let Size { instances, upstreams, .. } = size;
    let address: SocketAddr = ([127, 0, 0, 1], 7_391).into();
    let counts = Arc::new(Counts::default());
    let shared = counts.clone();
    thread::spawn(move || {
        let runtime = runtime::Builder::new_current_thread().enable_all().build().expect("starts");
        runtime.block_on(async {
            sleep(Duration::from_millis(100)).await;
            for index in 0..instances {
                tokio::spawn(play(index, size, address, shared.clone()));
            }
            sleep(MEASURED_TIME + Duration::from_secs(3)).await;
        });
    });
    let runtime = runtime::Builder::new_current_thread().enable_all().build().expect("starts");
    runtime.block_on(async {
        let members: SharedMembers = Arc::new(ArcSwap::from_pointee(members(instances)));
        let host = GateHost::new(members, Arc::new(Replicas::default()), None);
        let host = Arc::new(host);
        host.on_members_changed(clock::now());
        host.set_upstreams(clock::now(), (0..upstreams).map(upstream));
        tokio::spawn(host.clone().serve(address));
        tokio::spawn(host.clone().run_ticks());
        while counts.linked.load(Ordering::Relaxed) < instances as u64 {
            sleep(Duration::from_millis(1)).await;
        }
        let linking = cpu_time();
        sleep(Duration::from_millis(500)).await;
        let decided =
            || (counts.granted.load(Ordering::Relaxed), counts.refused.load(Ordering::Relaxed));
        let (cpu_before, before) = (cpu_time(), decided());
        sleep(MEASURED_TIME).await;
        let (used, after) = (cpu_time() - cpu_before, decided());
        let (granted, refused) = (after.0 - before.0, after.1 - before.1);
        let requests = granted + refused;
        println!(
            "{instances:4} instances: {linking:?} until all are acknowledged, then {:.1}% of a \
             core, {:?} a request ({granted} granted, {refused} refused)",
            used.as_secs_f64() / MEASURED_TIME.as_secs_f64() * 100.0,
            used.div_f64(requests.max(1) as f64),
        );
    });
}

fn main() {
    let argument = |index| std::env::args().nth(index);
    let count = |index| argument(index).and_then(|text| text.parse().ok());
    measure(Size {
        instances: count(1).unwrap_or(DEFAULT_INSTANCES),
        upstreams: count(2).unwrap_or(DEFAULT_UPSTREAMS),
        rate: argument(3).and_then(|text| text.parse().ok()).unwrap_or(DEFAULT_RATE),
    });
}
