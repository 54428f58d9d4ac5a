//! Processes of the program, servers and settings like those of a small deployment.

use std::{
    fs::{self, File},
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{Message, Reader, exchange},
    store::Store,
};

/// Host of all routes.
pub const HOST: &str = "ficu95.example";

/// Keys of the tenants `hule930` to `hule934`.
pub const KEYS: [&str; 5] = [
    "i9n73hh2b9wu3fexd9dn",
    "n2ctnfzs989anu6wsjnb",
    "b7wq04kz8r5tm1xc6ypd",
    "u3hs92jf6g0va8lo4eik",
    "z5xm17ne3d9qc2rw8bty",
];

static NEXT: AtomicU32 = AtomicU32::new(0);

/// Processes that were started, which [`limit_time`] ends.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends all processes that were started, and this one, after a time.
pub fn limit_time(limit: Duration, status: i32) {
    thread::spawn(move || {
        thread::sleep(limit);
        for pid in STARTED.lock().unwrap_or_else(PoisonError::into_inner).iter() {
            let _ = Command::new("kill").args(["-s", "KILL", &pid.to_string()]).status();
        }
        std::process::exit(status);
    });
}

/// Returns a loopback address on which these ports are free.
pub fn free_ip(ports: &[u16]) -> Ipv4Addr {
    loop {
        let number = NEXT.fetch_add(1, Ordering::Relaxed) + std::process::id() * 257;
        let [_, a, b, c] = number.to_be_bytes();
        let ip = Ipv4Addr::new(127, 60 + a % 100, b, c.max(1));
        if ports.iter().all(|port| TcpListener::bind((ip, *port)).is_ok()) {
            return ip;
        }
    }
}

/// A folder for settings and logs, removed at the end.
#[derive(Debug)]
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn new() -> Self {
        let path = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        fs::create_dir_all(&path).expect("creates a temporary folder");
        Self(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// A process of the program; it is killed at the end.
#[derive(Debug)]
pub struct Instance {
    child: Child,
    pub ip: Ipv4Addr,
    settings: PathBuf,
    log: PathBuf,
}

/// Fields of the deploy template, with the figures of `rvj-cautare`.
fn render(template: &str, name: &str, zone: &str, ip: Ipv4Addr, store: SocketAddr) -> String {
    // The deployment has no `bounds.canaryShare`, so that the section for it is left out.
    let (before, rest) = template.split_once("{{#").expect("the template has a section");
    let after = rest.rsplit_once("{{/").and_then(|(_, after)| after.split_once("}}"));
    let mut text = format!("{before}{}", after.expect("the section ends").1);
    let fields = [
        ("nodeName|json", format!("\"{name}\"")),
        ("zone|json", format!("\"{zone}\"")),
        ("limits.cpuQuota|json", "0.25".into()),
        ("limits.cpuCores|json", "1".into()),
        ("limits.bandwidthMbps|json", "1000.0".into()),
        ("limits.memoryMb|json", "110".into()),
        ("limits.fileDescriptors|json", "4100".into()),
        ("listenAddresses.frontend|json", format!("\"{ip}:8221\"")),
        ("listenAddresses.ready|json", format!("\"{ip}:8224\"")),
        ("listenAddresses.directoryService|json", format!("\"{ip}:8220\"")),
        ("ipAddress", ip.to_string()),
        ("internalPortRange.0", "7600".into()),
        ("platform.address|json", format!("\"{store}\"")),
        ("bounds.gracePeriodS|json", "8".into()),
        ("bounds.retryBudgetRatio|json", "0.2".into()),
        ("bounds.retryBudgetSlack|json", "54".into()),
        ("bounds.budgetWindowS|json", "10".into()),
        ("bounds.quotaWindowS|json", "8".into()),
        ("bounds.ttl_max_s|json", "5".into()),
        ("platform.minTtlMs|json", "1000".into()),
    ];
    for (field, value) in fields {
        text = text.replace(&format!("{{{{{field}}}}}"), &value);
    }
    assert!(!text.contains("{{"), "a field of the template is not known: {text}");
    text
}

impl Instance {
    /// Starts a process with the command of the deploy file and settings from its template.
    pub fn start(folder: &Path, name: &str, zone: &str, store: &Store) -> Self {
        let ip = free_ip(&[8221, 8224, 8220, 7600, 9464]);
        let template = fs::read_to_string("deploy/settings.json").expect("reads the template");
        let settings = folder.join(format!("{name}.json"));
        let text = render(&template, name, zone, ip, store.address);
        fs::write(&settings, text).expect("writes the settings");
        let log = folder.join(format!("{name}.log"));
        let child = spawn(&settings, &log);
        Self { child, ip, settings, log }
    }

    pub fn callers(&self) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(self.ip), 8221)
    }

    /// Returns the status of its readiness address.
    pub fn readiness(&self) -> u16 {
        let request =
            "GET /lacewingspring/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        let address = SocketAddr::new(IpAddr::V4(self.ip), 8224);
        let answer = exchange(address, request.as_bytes(), Duration::from_secs(1));
        answer.map_or(0, |answer| answer.status())
    }

    /// Asks it for addresses; returns whether it names itself.
    pub fn resolves(&self) -> bool {
        let request = format!(
            "GET /lacewingspring/resolution?name={HOST}&region=ro-centru&zone=cluj-a HTTP/1.1\r\n\
             Host: x\r\nConnection: close\r\n\r\n"
        );
        let address = SocketAddr::new(IpAddr::V4(self.ip), 8220);
        let answer =
            exchange(address, request.as_bytes(), Duration::from_secs(1)).unwrap_or_default();
        answer.status() == 200
            && String::from_utf8_lossy(&answer.body).contains(&self.callers().to_string())
    }

    /// Waits until it is ready; `false` if it is not within the time limit.
    pub fn wait_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if self.readiness() == 200 {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Returns its resident memory now and at most, in kB.
    pub fn memory_kb(&self) -> (u64, u64) {
        let status =
            fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap_or_default();
        let line = |name: &str| {
            let line = status.lines().find_map(|line| line.strip_prefix(name)).unwrap_or_default();
            line.trim().trim_end_matches(" kB").parse().unwrap_or(0)
        };
        (line("VmRSS:"), line("VmHWM:"))
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Starts the process again.
    pub fn restart(&mut self) {
        self.child = spawn(&self.settings, &self.log);
    }

    /// Returns how the process ended by itself; `None` if it runs.
    pub fn ended(&mut self) -> Option<String> {
        self.child.try_wait().ok().flatten().map(|status| status.to_string())
    }

    /// Returns the lines of its log that hold a text.
    pub fn log_lines(&self, text: &str) -> Vec<String> {
        let log = fs::read_to_string(&self.log).unwrap_or_default();
        log.lines().filter(|line| line.contains(text)).map(str::to_owned).collect()
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        self.kill();
    }
}

fn spawn(settings: &Path, log: &Path) -> Child {
    let log = File::options().create(true).append(true).open(log).expect("opens a log");
    let errors = log.try_clone().expect("clones a descriptor");
    let child = Command::new("target/release/lacewingspring_platform")
        .env_clear()
        .env("LACEWINGSPRING_BOOT", settings)
        .stdin(Stdio::null())
        .stdout(log)
        .stderr(errors)
        .spawn()
        .expect("starts the program");
    STARTED.lock().unwrap_or_else(PoisonError::into_inner).push(child.id());
    child
}

/// One request at a server.
pub struct Call<'a> {
    pub request: &'a Message,
    pub reader: &'a mut Reader,
    pub server: &'a Server,
}

impl Call<'_> {
    pub fn id(&self) -> String {
        self.request.header("x-lacewingspring-attempt-id").to_owned()
    }

    /// Notes that the server runs the request.
    pub fn run(&self) {
        self.server.runs.lock().unwrap_or_else(PoisonError::into_inner).push(self.id());
    }

    /// Sends a signed response with a length.
    pub fn answer(&mut self, status: u16, extra: &str, body: &[u8]) -> bool {
        let head = format!(
            "HTTP/1.1 {status} X\r\nX-Lacewingspring-Attempt-Id: {}\r\n{}Content-Length: {}\r\n{extra}\r\n",
            self.id(),
            signature(&self.server.name),
            body.len()
        );
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(body);
        self.reader.send(&bytes)
    }

    /// Sends a signed response with a length, whose body is written in pieces.
    pub fn answer_in_pieces(&mut self, body: &[u8], piece: usize, gap: Duration) -> bool {
        let head = format!(
            "HTTP/1.1 200 OK\r\nX-Lacewingspring-Attempt-Id: {}\r\n{}Content-Length: {}\r\n\r\n",
            self.id(),
            signature(&self.server.name),
            body.len()
        );
        let mut goes_on = self.reader.send(head.as_bytes());
        for piece in body.chunks(piece) {
            goes_on = goes_on && self.reader.send(piece);
            thread::sleep(gap);
        }
        goes_on
    }
}

/// Returns the header line of a server's signature.
pub fn signature(server: &str) -> String {
    format!("X-Lacewingspring-Response-Signature: {server}.07.5a2\r\n")
}

/// Handles a request; `false` if the connection ends after it.
pub type Handler = Arc<dyn Fn(&mut Call<'_>) -> bool + Send + Sync>;

/// A server.
#[derive(Clone)]
pub struct Server {
    pub name: String,
    pub address: SocketAddr,
    pub service: String,
    pub slots: u32,
    pub version: String,
    pub born: u64,
    /// Ids of the requests that it ran.
    pub runs: Arc<Mutex<Vec<String>>>,
    pub is_down: Arc<AtomicBool>,
    store: Store,
    handler: Handler,
}

impl Server {
    /// Starts a server and writes its entry.
    pub fn start(
        store: &Store,
        name: &str,
        service: &str,
        slots: u32,
        version: &str,
        handler: Handler,
    ) -> Self {
        let ip = free_ip(&[8080]);
        let listener = TcpListener::bind((ip, 8080)).expect("a server binds its address");
        let server = Self {
            name: name.into(),
            address: SocketAddr::from((ip, 8080)),
            service: service.into(),
            slots,
            version: version.into(),
            born: 1_780_000_000_000,
            runs: Arc::default(),
            is_down: Arc::default(),
            store: store.clone(),
            handler,
        };
        server.register("ready");
        let serving = server.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if serving.is_down.load(Ordering::Relaxed) {
                    continue;
                }
                let server = serving.clone();
                thread::spawn(move || server.serve(Reader::new(stream)));
            }
        });
        server
    }

    /// Writes its entry in the store.
    pub fn register(&self, state: &str) {
        let Self { service, address, version, slots, born, .. } = self;
        let entry = format!(
            "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"cluj-a\",\
             \"version\":\"{version}\",\"slots\":{slots},\"state\":\"{state}\",\
             \"coldRemainingMs\":0,\"sequenceNumber\":1,\"born\":{born}}}"
        );
        self.store.put(&format!("servers/{}", self.name), &entry);
    }

    fn serve(&self, mut reader: Reader) {
        while let Some(request) = reader.request() {
            let expected = request.header("x-lacewingspring-expected-instance");
            let mut call = Call { request: &request, reader: &mut reader, server: self };
            let goes_on = if request.target().starts_with("/health") {
                call.answer(200, &format!("X-Lacewingspring-Instance-Id: {}\r\n", self.name), b"")
            } else if !expected.is_empty() && expected != self.name {
                call.answer(421, "", b"")
            } else {
                (self.handler)(&mut call)
            };
            if !goes_on {
                return;
            }
        }
    }
}

/// Returns a route of the configuration.
pub fn route(
    name: &str,
    prefix: &str,
    kind: &str,
    service: &str,
    timeout_ms: u64,
    attempts: u32,
) -> String {
    let resumes = kind == "streaming" && attempts > 1;
    format!(
        "{{\"name\":\"{name}\",\"host\":\"{HOST}\",\"prefix\":\"{prefix}\",\"kind\":\"{kind}\",\
         \"timeoutMs\":{timeout_ms},\"targetLatencyMs\":400,\"priority\":1,\"service\":\"{service}\",\
         \"maxAttempts\":{attempts},\"public\":false,\"sessionAffinity\":{},\
         \"streamResumption\":{resumes},\"gapAimMs\":300}}",
        kind == "streaming"
    )
}

/// Returns a configuration with these routes, the services `app` and `lm`, and five tenants.
pub fn config(version: u64, routes: &[String]) -> String {
    let tenants = KEYS.iter().enumerate().map(|(number, key)| {
        format!(
            "{{\"name\":\"hule93{number}\",\"apiKeys\":[\"{key}\"],\"priority\":1,\
             \"unit\":\"token_count\",\"uncachedTokens\":200,\"ratePerS\":148016,\"burst\":148016}}"
        )
    });
    let tenants: Vec<String> = tenants.collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[\
         {{\"name\":\"lm\",\"healthCheckPath\":\"/health\",\"connectionLimit\":360,\"protocol\":\"h1\",\
         \"tlsEnabled\":false,\"inferenceEngine\":{{\"slots\":10,\"kvCacheTokens\":529959,\"stride\":5}}}},\
         {{\"name\":\"app\",\"healthCheckPath\":\"/health\",\"connectionLimit\":100,\"protocol\":\"h1\",\
         \"tlsEnabled\":false}}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\
         \"idleTimeoutMs\":15000}},\
         \"tenants\":[{}]}}",
        routes.join(","),
        tenants.join(",")
    )
}

/// Returns a request of a client of the first tenant.
pub fn request(
    method: &str,
    path: &str,
    id: &str,
    deadline_ms: u64,
    extra: &str,
    body: &[u8],
) -> Vec<u8> {
    let extra = format!("Authorization: Bearer {}\r\n{extra}", KEYS[0]);
    request_without_key(method, path, id, deadline_ms, &extra, body)
}

/// Returns a request of a client.
pub fn request_without_key(
    method: &str,
    path: &str,
    id: &str,
    deadline_ms: u64,
    extra: &str,
    body: &[u8],
) -> Vec<u8> {
    let length = if method == "GET" && body.is_empty() {
        String::new()
    } else {
        format!("Content-Length: {}\r\n", body.len())
    };
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Lacewingspring-Attempt-Id: {id}\r\n\
         X-Lacewingspring-Deadline-Ms: {deadline_ms}\r\n{length}{extra}\r\n"
    );
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}
