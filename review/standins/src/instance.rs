//! Processes of the system, started as the deploy file tells.

use std::{
    fs,
    net::{Ipv4Addr, SocketAddr},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::Mutex,
    time::Duration,
};

use crate::{http, record::Record};

/// Processes that were started, for [`kill_all`].
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Kills all processes that were started, before an exit that drops nothing.
pub fn kill_all() {
    for pid in STARTED.lock().expect("no panic").iter() {
        let _ = Command::new("kill").args(["-KILL", &pid.to_string()]).status();
    }
}

/// Ends the case as one that could not run.
pub fn give_up(reason: &str) -> ! {
    eprintln!("{reason}");
    kill_all();
    std::process::exit(2);
}

/// An instance of the system; its process is killed when this is dropped.
pub struct Instance {
    pub name: String,
    ip: Ipv4Addr,
    child: Child,
    folder: PathBuf,
    record: Record,
}

impl Instance {
    /// Starts an instance with settings like those of the deploy file's template.
    pub fn start(
        name: &str,
        ip: Ipv4Addr,
        store: SocketAddr,
        folder: &Path,
        record: &Record,
    ) -> Self {
        let path = folder.join(format!("{name}.json"));
        let settings = format!(
            r#"{{"instance": "{name}", "data_centre": "a",
              "machine": {{"cores": 0.25, "speed": 1, "link_mbps": 1000.0}},
              "listen": {{"callers": "{ip}:8221", "readiness": "{ip}:8224", "directory": "{ip}:8220",
                "peers": "{ip}:7600", "metrics": "{ip}:9464"}},
              "store": "{store}",
              "bounds": {{"grace_s": 8, "retry_ratio": 0.2, "retry_slack": 58, "retry_window_s": 10,
                "quota_window_s": 8, "directory_ttl_s": 5, "min_lease_ms": 1000}}}}"#
        );
        fs::write(&path, settings).expect("the settings can be written");
        let log =
            fs::File::create(folder.join(format!("{name}.log"))).expect("a log can be created");
        let child = Command::new("target/release/lacewingspring_platform")
            .env("LACEWINGSPRING_BOOT", &path)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(Stdio::null())
            .spawn();
        let child =
            child.unwrap_or_else(|e| give_up(&format!("the program can't be started: {e}")));
        STARTED.lock().expect("no panic").push(child.id());
        record.line(format!("{name} is started"));
        let folder = folder.to_owned();
        Self { name: name.to_owned(), ip, child, folder, record: record.clone() }
    }

    /// Waits until it says that it is ready; returns whether it did within ten seconds.
    pub fn wait_until_ready(&self) -> bool {
        let address = (self.ip, 8224).into();
        let head = "GET /lacewingspring/readiness HTTP/1.1\r\nHost: ready\r\n";
        for _ in 0..100 {
            let answer = http::exchange(address, head, b"", Duration::from_secs(1), |_| {});
            if answer.is_ok_and(|answer| answer.head.status() == 200) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        false
    }

    /// Kills its process.
    pub fn kill(&mut self) {
        self.record.line(format!("{} is killed", self.name));
        self.end();
    }

    fn end(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let pid = self.child.id();
        STARTED.lock().expect("no panic").retain(|started| *started != pid);
    }

    /// Sends a signal to its process.
    pub fn signal(&self, signal: &str) {
        self.record.line(format!("{} gets SIG{signal}", self.name));
        let pid = self.child.id().to_string();
        let _ = Command::new("kill").args([format!("-{signal}"), pid]).status();
    }

    /// Returns the lines of its log that contain a text.
    pub fn log_lines(&self, text: &str) -> Vec<String> {
        let log = fs::read_to_string(self.folder.join(format!("{}.log", self.name)));
        log.unwrap_or_default()
            .lines()
            .filter(|line| line.contains(text))
            .map(str::to_owned)
            .collect()
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        self.end();
    }
}
