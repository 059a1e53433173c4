//! The procedure of one edit of a table, as a state machine over the platform's answers.

use crate::config::{Config, TableEdit};
use crate::errors::Error;
use crate::time::Time;
use rand::{Rng, RngExt};
use std::sync::Arc;
use std::time::Duration;

/// An edit that has not been accepted after this time fails.
pub const EDIT_TIMEOUT: Duration = Duration::from_secs(10);
const FIRST_PAUSE: Duration = Duration::from_millis(20);
const LONGEST_PAUSE: Duration = Duration::from_secs(1);

/// What the daemon has to do next for an edit.
#[derive(Clone, Debug, PartialEq)]
pub enum EditAction {
    /// Read the object and pass the result to [`ConfigEdit::on_read`].
    Read,
    /// Write the object if it has this version (`None`: if it does not exist) and pass the result
    /// to [`ConfigEdit::on_write`].
    Write {
        /// The value.
        config: Arc<Config>,
        /// Version that the object must have.
        version: Option<u64>,
    },
    /// Wait until this time, then call [`ConfigEdit::resume`].
    Wait {
        /// When to go on.
        until: Time,
    },
    /// The edit is finished. An accepted configuration goes to
    /// [`ConfigSync::on_edit`](crate::config_sync::ConfigSync::on_edit).
    Done(Result<Arc<Config>, EditError>),
}

/// What reading the object gave.
#[derive(Clone, Debug, PartialEq)]
pub enum ReadResult {
    /// The object.
    Object {
        /// Its version.
        version: u64,
        /// Its value.
        config: Arc<Config>,
    },
    /// The object does not exist.
    Absent,
    /// No usable answer.
    Failed(String),
}

/// What a conditional write gave.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum WriteResult {
    /// It took effect.
    Written,
    /// The condition did not hold; nothing was written.
    Conflict,
    /// The value is too large; nothing was written.
    TooLarge,
    /// The platform refused the call; nothing was written.
    Refused(String),
    /// The answer was lost; the write may take effect, also later.
    Lost(String),
}

/// Why an edit was not accepted.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum EditError {
    /// The edit is not valid, or another edit of the same table won. Nothing was written.
    #[error(transparent)]
    Rejected(Error),
    /// The configuration would exceed the platform's limit. Nothing was written.
    #[error("the configuration exceeds the platform's limit of 1 MiB")]
    TooLarge,
    /// The platform did not answer in time. Nothing was written.
    #[error("the platform is unavailable, the edit was not written: {0}")]
    Unavailable(String),
    /// A write's answer was lost and the object could not be read back. Repeating the edit with the
    /// same write id is safe and tells.
    #[error("the answer to write {write_id:?} was lost, the edit may have been accepted: {cause}")]
    Unsettled {
        /// Identity of the write.
        write_id: Arc<str>,
        /// The last failure.
        cause: String,
    },
}

/// One edit in progress.
#[derive(Clone, Debug)]
pub struct ConfigEdit {
    edit: TableEdit,
    base: u64,
    writer: Arc<str>,
    write_id: Arc<str>,
    deadline: Time,
    /// The configuration in force on this host. An older one on the platform is a lagging read or
    /// a restored backup.
    in_force: Arc<Config>,
    /// The last write, and whether it was the edit itself.
    written: Option<(Arc<Config>, bool)>,
    /// Whether a write of the edit may have taken effect unnoticed.
    unsettled: bool,
    pauses: u32,
    cause: String,
}

impl ConfigEdit {
    /// Starts an edit of a table whose revision was `base` when the edit was made.
    ///
    /// `write_id` identifies the edit over all its repetitions and must be unique. `in_force` is
    /// the configuration in force on this host.
    pub fn new(
        now: Time,
        edit: TableEdit,
        base: u64,
        writer: Arc<str>,
        write_id: Arc<str>,
        in_force: Arc<Config>,
    ) -> Self {
        ConfigEdit {
            edit,
            base,
            writer,
            write_id,
            deadline: now + EDIT_TIMEOUT,
            in_force,
            written: None,
            unsettled: false,
            pauses: 0,
            cause: String::from("reads are behind the edit's base revision"),
        }
    }

    /// Returns the first step.
    pub fn start(&self) -> EditAction {
        EditAction::Read
    }

    /// Goes on after a wait.
    pub fn resume(&self) -> EditAction {
        EditAction::Read
    }

    /// Handles the result of a read.
    pub fn on_read<R>(&mut self, now: Time, result: ReadResult, rng: &mut R) -> EditAction
    where
        R: Rng + ?Sized,
    {
        match result {
            ReadResult::Object { version, config } => self.proceed(now, Some(version), config, rng),
            ReadResult::Absent => self.proceed(now, None, Arc::default(), rng),
            ReadResult::Failed(cause) => self.pause(now, Some(cause), rng),
        }
    }

    /// Handles the result of a write.
    pub fn on_write<R>(&mut self, now: Time, result: WriteResult, rng: &mut R) -> EditAction
    where
        R: Rng + ?Sized,
    {
        let Some((config, own)) = self.written.take() else {
            return self.pause(now, None, rng);
        };
        match result {
            WriteResult::Written if own => EditAction::Done(Ok(config)),
            WriteResult::Written => EditAction::Read,
            WriteResult::Conflict => self.pause(now, None, rng),
            WriteResult::TooLarge if own && !self.unsettled => {
                EditAction::Done(Err(EditError::TooLarge))
            }
            WriteResult::TooLarge => self.pause(now, Some(String::from("value too large")), rng),
            WriteResult::Refused(cause) => self.pause(now, Some(cause), rng),
            WriteResult::Lost(cause) => {
                self.unsettled |= own;
                self.pause(now, Some(cause), rng)
            }
        }
    }

    fn proceed<R>(
        &mut self,
        now: Time,
        version: Option<u64>,
        found: Arc<Config>,
        rng: &mut R,
    ) -> EditAction
    where
        R: Rng + ?Sized,
    {
        if found.includes_write(&self.write_id) {
            return EditAction::Done(Ok(found));
        }
        // The platform must not go on from an older state than the one in force. If the read only
        // lagged, the condition of this write does not hold.
        if found.generation < self.in_force.generation {
            let config = self.in_force.clone();
            self.written = Some((config.clone(), false));
            return EditAction::Write { config, version };
        }
        // The operator has seen a later revision than this read, so the read lags.
        if found.revision(self.edit.kind()).number < self.base {
            return self.pause(now, None, rng);
        }
        match found.with_edit(self.edit.clone(), self.base, &self.writer, &self.write_id) {
            Ok(next) => {
                let config = Arc::new(next);
                self.written = Some((config.clone(), true));
                EditAction::Write { config, version }
            }
            // The table went on without this edit, so a lost write of it can't take effect later:
            // its condition no longer holds.
            Err(e) => EditAction::Done(Err(EditError::Rejected(e))),
        }
    }

    fn pause<R>(&mut self, now: Time, cause: Option<String>, rng: &mut R) -> EditAction
    where
        R: Rng + ?Sized,
    {
        if let Some(cause) = cause {
            self.cause = cause;
        }
        if now >= self.deadline {
            let cause = self.cause.clone();
            return EditAction::Done(Err(if self.unsettled {
                EditError::Unsettled { write_id: self.write_id.clone(), cause }
            } else {
                EditError::Unavailable(cause)
            }));
        }
        let limit = FIRST_PAUSE.saturating_mul(1 << self.pauses.min(10)).min(LONGEST_PAUSE);
        self.pauses += 1;
        EditAction::Wait { until: now + limit.mul_f64(rng.random::<f64>()) }
    }
}
