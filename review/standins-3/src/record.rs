//! The record of what was sent, answered and run.

use std::{
    fs::File,
    io::Write,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

/// Writes lines with their time, in seconds since the start.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    /// Creates the file.
    pub fn create(path: &str) -> Self {
        let file = File::create(path).expect("the record can be written");
        Self { file: Arc::new(Mutex::new(file)), start: Instant::now() }
    }

    /// Returns the time since the start.
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// Writes a line.
    pub fn line(&self, text: &str) {
        let text = format!("{:8.3} {text}\n", self.now().as_secs_f64());
        let _ = self.file.lock().expect("the record").write_all(text.as_bytes());
    }

    /// Writes a line, also to the standard output.
    pub fn say(&self, text: &str) {
        println!("{text}");
        self.line(text);
    }
}
