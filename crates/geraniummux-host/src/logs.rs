//! Structured logs on standard output: one line of key=value pairs per event.
//!
//! Lines are buffered and written by a separate thread, so that a slow reader of standard output
//! delays no request. Lines beyond the rate limit or the buffer size are dropped and counted.

use slog::{Drain, KV, Key, Level, Logger, Never, OwnedKVList, Record, Serializer, o};
use std::fmt::{self, Write as _};
use std::io::Write as _;
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Buffer size above which lines are dropped.
const MAX_PENDING_BYTES: usize = 128 << 10;
/// Time for which lines are buffered before they are written together.
const FLUSH_DELAY: Duration = Duration::from_millis(250);
/// Sustained rate of lines; one line costs about 10 us of processor time.
const LINES_PER_S: f64 = 60.0;
/// Lines that may be written in a burst after a quiet period.
const BURST_LINES: f64 = 200.0;
/// Warnings and errors that may still be written when other lines exceed the rate limit.
const WARNING_RESERVE_LINES: f64 = 100.0;

/// Lines to be written, and the state of the rate limiter.
#[derive(Debug)]
struct PendingLines {
    text: String,
    tokens: f64,
    last_refill: Instant,
    dropped: u64,
    closed: bool,
}

/// Buffer shared by the loggers and the writer thread.
#[derive(Debug)]
struct Buffer {
    pending: Mutex<PendingLines>,
    changed: Condvar,
}

/// Writes the remaining lines when dropped.
pub struct Guard {
    buffer: Arc<Buffer>,
    writer: Option<std::thread::JoinHandle<()>>,
}

impl Drop for Guard {
    fn drop(&mut self) {
        lock(&self.buffer.pending).closed = true;
        self.buffer.changed.notify_one();
        if let Some(writer) = self.writer.take()
            && writer.join().is_err()
        {
            eprintln!("geraniummux-host: the log writer thread panicked; log lines may be missing");
        }
    }
}

/// Starts the writer thread. Returns the root logger, and a guard that flushes it when dropped.
///
/// # Errors
///
/// Fails if the thread can't be started.
pub fn start(host: &str) -> std::io::Result<(Logger, Guard)> {
    let buffer = Arc::new(Buffer {
        pending: Mutex::new(PendingLines {
            text: String::new(),
            tokens: BURST_LINES,
            last_refill: Instant::now(),
            dropped: 0,
            closed: false,
        }),
        changed: Condvar::new(),
    });
    let shared = buffer.clone();
    let writer =
        std::thread::Builder::new().stack_size(64 << 10).spawn(move || write_lines(&shared))?;
    let drain = LineDrain(buffer.clone()).filter_level(Level::Info).fuse();
    let log = Logger::root(drain, o!("host" => host.to_owned()));
    Ok((log, Guard { buffer, writer: Some(writer) }))
}

fn lock(pending: &Mutex<PendingLines>) -> MutexGuard<'_, PendingLines> {
    pending.lock().unwrap_or_else(|e| e.into_inner())
}

fn write_lines(buffer: &Buffer) {
    loop {
        let mut pending = lock(&buffer.pending);
        while pending.text.is_empty() && !pending.closed {
            pending = buffer.changed.wait(pending).unwrap_or_else(|e| e.into_inner());
        }
        if !pending.closed {
            drop(pending);
            std::thread::sleep(FLUSH_DELAY);
            pending = lock(&buffer.pending);
        }
        let mut text = std::mem::take(&mut pending.text);
        let dropped = std::mem::take(&mut pending.dropped);
        let closed = pending.closed;
        drop(pending);
        if dropped > 0 {
            let _ = writeln!(
                text,
                "time={} level=WARN event=lines_left_out count={dropped}",
                unix_ms()
            );
        }
        // A failure to write to standard output can't be reported anywhere.
        let _ = std::io::stdout().write_all(text.as_bytes());
        if closed {
            return;
        }
    }
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64)
}

/// Appends each record to the buffer as one line.
struct LineDrain(Arc<Buffer>);

impl LineDrain {
    /// Takes one token from the rate limiter. Returns whether the line may be written.
    fn admit(pending: &mut PendingLines, level: Level) -> bool {
        let now = Instant::now();
        let elapsed = now.duration_since(pending.last_refill).as_secs_f64();
        pending.last_refill = now;
        pending.tokens = (pending.tokens + elapsed * LINES_PER_S).min(BURST_LINES);
        let floor = if level.is_at_least(Level::Warning) { -WARNING_RESERVE_LINES } else { 0.0 };
        if pending.tokens < floor + 1.0 || pending.text.len() > MAX_PENDING_BYTES {
            pending.dropped += 1;
            return false;
        }
        pending.tokens -= 1.0;
        true
    }
}

impl Drain for LineDrain {
    type Ok = ();
    type Err = Never;

    fn log(&self, record: &Record<'_>, values: &OwnedKVList) -> Result<(), Never> {
        let mut pending = lock(&self.0.pending);
        if !Self::admit(&mut pending, record.level()) {
            return Ok(());
        }
        let was_empty = pending.text.is_empty();
        let mut line = Line(&mut pending.text);
        line.begin(record.level());
        line.push("event", record.msg());
        let _ = values.serialize(record, &mut line);
        let _ = record.kv().serialize(record, &mut line);
        line.0.push('\n');
        drop(pending);
        if was_empty {
            self.0.changed.notify_one();
        }
        Ok(())
    }
}

/// Formats one line of key=value pairs into a string.
pub struct Line<'a>(pub &'a mut String);

impl Line<'_> {
    /// Begins a line with the time and the level.
    pub fn begin(&mut self, level: Level) {
        // Writing to a String can't fail.
        let _ = write!(self.0, "time={} level={}", unix_ms(), level.as_short_str());
    }

    /// Appends a pair; a value with spaces, quotes or control characters is quoted and escaped.
    pub fn push(&mut self, key: &str, value: &fmt::Arguments<'_>) {
        let start = self.0.len();
        let _ = write!(self.0, " {key}=");
        let value_start = self.0.len();
        let _ = self.0.write_fmt(*value);
        let text = &self.0[value_start..];
        let plain = !text.is_empty()
            && text.chars().all(|c| !c.is_whitespace() && !c.is_control() && c != '"' && c != '=');
        if !plain {
            let quoted = format!(" {key}={text:?}");
            self.0.truncate(start);
            self.0.push_str(&quoted);
        }
    }
}

impl Serializer for Line<'_> {
    fn emit_arguments(&mut self, key: Key, value: &fmt::Arguments<'_>) -> slog::Result {
        self.push(key, value);
        Ok(())
    }
}
