//! Writes each log record to standard error as one line of key=value pairs.

use crate::settings::LogLevel;
use geraniummux_host::logs::Line;
use slog::{Drain, KV, Level, Logger, Never, OwnedKVList, Record, o};
use std::io::{self, Write as _};

/// Maximum number of log records that wait to be written. Further ones are dropped and counted.
const MAX_QUEUED_RECORDS: usize = 4_096;

/// Starts the log and returns the root logger. A separate thread writes the lines, so that a slow
/// reader of standard error delays no request. Dropping the guard flushes them.
pub fn start(level: LogLevel, host: &str) -> (Logger, slog_async::AsyncGuard) {
    let level = match level {
        LogLevel::Error => Level::Error,
        LogLevel::Warning => Level::Warning,
        LogLevel::Info => Level::Info,
        LogLevel::Debug => Level::Debug,
    };
    let (drain, guard) =
        slog_async::Async::new(LineDrain).chan_size(MAX_QUEUED_RECORDS).build_with_guard();
    let drain = drain.filter_level(level).fuse();
    (Logger::root(drain, o!("host" => host.to_owned())), guard)
}

/// Writes each record as one line.
struct LineDrain;

impl Drain for LineDrain {
    type Ok = ();
    type Err = Never;

    fn log(&self, record: &Record<'_>, values: &OwnedKVList) -> Result<(), Never> {
        let mut text = String::new();
        let mut line = Line(&mut text);
        line.begin(record.level());
        line.push("event", record.msg());
        // Writing to a String can't fail.
        let _ = values.serialize(record, &mut line);
        let _ = record.kv().serialize(record, &mut line);
        text.push('\n');
        // An error of standard error can't be reported anywhere.
        let _ = io::stderr().write_all(text.as_bytes());
        Ok(())
    }
}
