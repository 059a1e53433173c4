//! The record of a run: what was sent, answered and run, and when.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Writes lines with the time since the start of the run; shared by all threads.
#[derive(Clone)]
pub struct Record(Arc<Inner>);

struct Inner {
    started: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        let file = Mutex::new(File::create(path)?);
        Ok(Record(Arc::new(Inner { started: Instant::now(), file })))
    }

    pub fn now(&self) -> Duration {
        self.0.started.elapsed()
    }

    pub fn line(&self, text: &str) {
        let mut file = self.0.file.lock().unwrap();
        // The record is for readers; a case does not depend on it.
        let _ = writeln!(file, "{:9.3} s  {text}", self.now().as_secs_f64());
    }
}
