//! Logs: one line of key=value pairs for each event, on standard error.

use crate::settings::LogLevel;
use slog::{Drain, KV, Key, Level, Logger, Never, OwnedKVList, Record, Serializer, o};
use std::fmt::{self, Write as _};
use std::io::{self, Write as _};
use std::time::{SystemTime, UNIX_EPOCH};

/// Log records that may wait to be written; further ones are dropped and counted.
const QUEUE_LEN: usize = 4_096;

/// Returns the root logger. Lines are written by a thread of their own, so that a slow reader of
/// standard error delays no request. The guard flushes them when it is dropped.
pub fn start(level: LogLevel, host: &str) -> (Logger, slog_async::AsyncGuard) {
    let level = match level {
        LogLevel::Error => Level::Error,
        LogLevel::Warning => Level::Warning,
        LogLevel::Info => Level::Info,
        LogLevel::Debug => Level::Debug,
    };
    let (drain, guard) = slog_async::Async::new(LineDrain).chan_size(QUEUE_LEN).build_with_guard();
    let drain = drain.filter_level(level).fuse();
    (Logger::root(drain, o!("host" => host.to_owned())), guard)
}

/// Writes each record as one line.
struct LineDrain;

impl Drain for LineDrain {
    type Ok = ();
    type Err = Never;

    fn log(&self, record: &Record<'_>, values: &OwnedKVList) -> Result<(), Never> {
        let unix_ms =
            SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64);
        let mut line = Line(format!("time={unix_ms} level={}", record.level().as_short_str()));
        line.push("event", &record.msg().to_string());
        // Writing to a String can't fail.
        let _ = values.serialize(record, &mut line);
        let _ = record.kv().serialize(record, &mut line);
        line.0.push('\n');
        // Without standard error there is nowhere to report to.
        let _ = io::stderr().write_all(line.0.as_bytes());
        Ok(())
    }
}

struct Line(String);

impl Line {
    /// Appends a pair; a value with spaces, quotes or control characters is quoted and escaped.
    fn push(&mut self, key: &str, value: &str) {
        let plain = !value.is_empty()
            && value.chars().all(|c| !c.is_whitespace() && !c.is_control() && c != '"' && c != '=');
        let _ = if plain {
            write!(self.0, " {key}={value}")
        } else {
            write!(self.0, " {key}={value:?}")
        };
    }
}

impl Serializer for Line {
    fn emit_arguments(&mut self, key: Key, value: &fmt::Arguments<'_>) -> slog::Result {
        self.push(key, &value.to_string());
        Ok(())
    }
}
