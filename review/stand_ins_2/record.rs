//! The record of a run: one line for each thing that was sent, answered or run, with its time in milliseconds.

use std::fs::File;
use std::io::Write;
use std::sync::{Arc, Mutex};
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &str) -> std::io::Result<Record> {
        Ok(Record { start: Instant::now(), file: Arc::new(Mutex::new(File::create(path)?)) })
    }

    /// Milliseconds since the start of the run.
    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64() * 1e3
    }

    pub fn line(&self, who: &str, what: &str) {
        let line = format!("{:10.1} {who} {what}\n", self.now());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }
}
