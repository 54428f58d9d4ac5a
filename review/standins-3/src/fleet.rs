//! Instances of the project's program, each a process of its own.

use std::{
    env, fs,
    net::SocketAddr,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    thread,
    time::{Duration, Instant},
};

use crate::{client, net, record::Record};

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

/// Program that the deploy file runs.
const PROGRAM: &str = "target/release/lacewingspring_platform";

/// Variable with the path of the settings.
const SETTINGS: &str = "LACEWINGSPRING_BOOT";

/// Figures of a machine and of the deployment.
#[derive(Clone, Debug)]
pub struct Settings {
    pub memory_mb: u32,
    pub descriptors: u32,
    pub cores: f64,
    pub retry_slack: u32,
    /// Address at which instances reach the store.
    pub store: SocketAddr,
}

/// An instance.
pub struct Instance {
    pub name: String,
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
    pub directory: SocketAddr,
    pub peers: SocketAddr,
    pub metrics: SocketAddr,
    settings_path: PathBuf,
    log_path: PathBuf,
    child: Option<Child>,
    record: Record,
}

impl Instance {
    /// Writes the settings of an instance, as the template of the deploy file does.
    pub fn new(dir: &Path, name: &str, zone: &str, settings: &Settings, record: &Record) -> Self {
        let address = |port: u16| SocketAddr::from(([127, 0, 0, 1], port));
        let ports = net::free_ports(5);
        let Settings { memory_mb, descriptors, cores, retry_slack, store } = settings;
        let instance = Self {
            name: name.to_owned(),
            callers: address(ports[0]),
            readiness: address(ports[1]),
            directory: address(ports[2]),
            peers: address(ports[3]),
            metrics: address(ports[4]),
            settings_path: dir.join(format!("{name}.json")),
            log_path: dir.join(format!("{name}.log")),
            child: None,
            record: record.clone(),
        };
        let text = format!(
            "{{\"instance\":\"{name}\",\"data_centre\":\"{zone}\",\"machine\":{{\"cores\":{cores},\
             \"speed\":1,\"link_mbps\":1000.0,\"memory_mb\":{memory_mb},\
             \"descriptors\":{descriptors}}},\"listen\":{{\"callers\":\"{}\",\"readiness\":\"{}\",\
             \"directory\":\"{}\",\"peers\":\"{}\",\"metrics\":\"{}\"}},\"store\":\"{store}\",\
             \"bounds\":{{\"grace_s\":8,\"retry_ratio\":0.2,\"retry_slack\":{retry_slack},\
             \"retry_window_s\":10,\"quota_window_s\":8,\"directory_ttl_s\":5,\
             \"min_lease_ms\":1000}}}}",
            instance.callers,
            instance.readiness,
            instance.directory,
            instance.peers,
            instance.metrics
        );
        fs::write(&instance.settings_path, text).expect("the settings can be written");
        instance
    }

    /// Starts the process.
    pub fn start(&mut self) {
        let log = fs::OpenOptions::new().create(true).append(true).open(&self.log_path);
        let log = log.expect("the log can be written");
        let child = Command::new(PROGRAM)
            .env(SETTINGS, &self.settings_path)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("the log"))
            .stderr(log)
            .spawn();
        let child = match child {
            Ok(child) => child,
            Err(e) => {
                eprintln!("{PROGRAM} can't be started: {e}");
                std::process::exit(2);
            }
        };
        self.record.line(&format!("instance {} starts", self.name));
        if let Ok(path) = env::var("REVIEW_PIDS") {
            let file = fs::OpenOptions::new().create(true).append(true).open(path);
            if let Ok(mut file) = file {
                use std::io::Write;
                let _ = writeln!(file, "{}", child.id());
            }
        }
        self.child = Some(child);
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: i32) {
        if let Some(child) = &self.child {
            self.record.line(&format!("instance {} gets signal {signal}", self.name));
            // SAFETY: the process is a child that was not waited for.
            unsafe { kill(child.id() as i32, signal) };
        }
    }

    /// Kills the process and waits for its end.
    pub fn stop(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            self.record.line(&format!("instance {} is killed", self.name));
        }
    }

    /// Returns whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        self.child.as_mut().is_some_and(|child| matches!(child.try_wait(), Ok(Some(_))))
    }

    /// Returns whether it says that it is ready.
    pub fn is_ready(&self) -> bool {
        let limit = Duration::from_secs(1);
        let answer = client::get(self.readiness, "/lacewingspring/readiness", limit);
        answer.is_ok_and(|answer| answer.status() == 200)
    }

    /// Returns the text of its log.
    pub fn log(&self) -> String {
        fs::read_to_string(&self.log_path).unwrap_or_default()
    }

    /// Returns a figure of `/proc/PID/status`, in bytes.
    pub fn memory(&self, name: &str) -> u64 {
        let Some(child) = &self.child else { return 0 };
        let text = fs::read_to_string(format!("/proc/{}/status", child.id())).unwrap_or_default();
        let line = text.lines().find_map(|line| line.strip_prefix(name));
        let kilobytes = line.and_then(|line| line.split_whitespace().next()?.parse().ok());
        kilobytes.unwrap_or(0_u64) * 1024
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        self.stop();
    }
}

/// Starts instances and waits until all are ready; ends the test with 2 if they don't get so.
pub fn start_all(instances: &mut [Instance]) {
    instances.iter_mut().for_each(Instance::start);
    let until = Instant::now() + Duration::from_secs(10);
    while !instances.iter().all(Instance::is_ready) {
        if Instant::now() > until {
            for instance in instances.iter_mut() {
                instance.stop();
            }
            eprintln!("the instances don't get ready");
            std::process::exit(2);
        }
        thread::sleep(Duration::from_millis(50));
    }
}
