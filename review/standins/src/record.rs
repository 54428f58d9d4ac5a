//! The record of a case: what was sent, answered and run, by time.

use std::{
    fmt::Display,
    fs::File,
    io::Write,
    path::Path,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

/// Record that all stand-ins of a case share.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started: Instant,
}

impl Record {
    /// Creates the record, whose times count from now.
    pub fn create(path: &Path) -> Self {
        let file = File::create(path).expect("the record can be created");
        Self { file: Arc::new(Mutex::new(file)), started: Instant::now() }
    }

    /// Returns the time since the start of the case.
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Sleeps until a time of the case.
    pub fn sleep_until(&self, at: Duration) {
        std::thread::sleep(at.saturating_sub(self.now()));
    }

    /// Adds a line.
    pub fn line(&self, text: impl Display) {
        let mut file = self.file.lock().expect("no thread panics while it writes");
        let _ = writeln!(file, "{:9.3} s  {text}", self.now().as_secs_f64());
    }
}
