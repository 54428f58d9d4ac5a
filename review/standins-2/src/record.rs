//! The record of a case.

use std::{
    fs::File,
    io::Write,
    path::Path,
    sync::{Mutex, PoisonError},
};

/// Writes the record.
pub struct Record(Mutex<File>);

impl Record {
    pub fn create(path: &Path) -> Self {
        Self(Mutex::new(File::create(path).expect("creates the record")))
    }

    /// Writes a line.
    pub fn line(&self, text: &str) {
        let mut file = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let _ = writeln!(file, "{text}");
    }

    /// Writes a line, also to standard output.
    pub fn say(&self, text: &str) {
        println!("{text}");
        self.line(text);
    }
}
