//! The record of a case: what was sent, answered and run.

use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

/// Writes lines with the time since the start.
pub struct Record {
    started: Instant,
    file: Mutex<std::io::BufWriter<std::fs::File>>,
}

impl Record {
    /// Creates the file.
    pub fn create(path: &Path) -> std::io::Result<Self> {
        let file = std::io::BufWriter::new(std::fs::File::create(path)?);
        Ok(Record { started: Instant::now(), file: Mutex::new(file) })
    }

    /// Returns the seconds since the start.
    pub fn now(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    /// Writes a line.
    pub fn line(&self, text: impl AsRef<str>) {
        let mut file = self.file.lock().unwrap_or_else(|e| e.into_inner());
        let _ = writeln!(file, "{:9.4} {}", self.now(), text.as_ref());
        let _ = file.flush();
    }

    /// Writes a line, also to standard output.
    pub fn say(&self, text: impl AsRef<str>) {
        println!("{:9.4} {}", self.now(), text.as_ref());
        self.line(text);
    }
}
