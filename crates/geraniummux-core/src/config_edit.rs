//! The procedure of one edit of a table, as a state machine over the results of platform calls.
//!
//! An edit is a read followed by a conditional write, repeated with backoff until it is decided or
//! times out. Its write id lets a later read tell whether a write with a lost response took effect.

use crate::config::{Config, TableEdit};
use crate::errors::Error;
use crate::time::Time;
use rand::{Rng, RngExt};
use std::sync::Arc;
use std::time::Duration;

/// Time after the start of an edit from which a failed step is not retried and the edit fails.
pub const EDIT_TIMEOUT: Duration = Duration::from_secs(10);
/// Limit of the random wait before the first repetition; it doubles with each further one.
const INITIAL_BACKOFF: Duration = Duration::from_millis(20);
/// Limit of the random wait before any repetition.
const MAX_BACKOFF: Duration = Duration::from_secs(1);

/// The next step of an edit, which [`ConfigEdit`] asks the daemon to perform.
#[derive(Clone, Debug, PartialEq)]
pub enum EditAction {
    /// Read the configuration object and pass the result to [`ConfigEdit::on_read`].
    Read,
    /// Write the configuration object on the condition that it has this version (`None`: that it
    /// does not exist) and pass the result to [`ConfigEdit::on_write`].
    Write {
        /// New value of the object.
        config: Arc<Config>,
        /// Version that the object must have.
        version: Option<u64>,
    },
    /// Wait until this time, then call [`ConfigEdit::resume`].
    Wait {
        /// End of the wait.
        until: Time,
    },
    /// Finish the edit. Pass an accepted configuration to
    /// [`ConfigSync::on_edit`](crate::config_sync::ConfigSync::on_edit).
    Done(Result<Arc<Config>, EditError>),
}

/// The result of reading the configuration object.
#[derive(Clone, Debug, PartialEq)]
pub enum ReadResult {
    /// The object exists.
    Object {
        /// Version of the object.
        version: u64,
        /// Value of the object.
        config: Arc<Config>,
    },
    /// The object does not exist.
    Absent,
    /// The read failed; carries the error message.
    Failed(String),
}

/// The result of a conditional write of the configuration object.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum WriteResult {
    /// The write took effect.
    Written,
    /// The condition did not hold; nothing was written.
    Conflict,
    /// The value is too large; nothing was written.
    TooLarge,
    /// The platform refused the call with this error message; nothing was written.
    Refused(String),
    /// The response was lost, with this error message; the write may have taken effect or may still
    /// do so.
    Lost(String),
}

/// Why an edit was not accepted.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum EditError {
    /// The edit is invalid or conflicts with another edit of the same table. It was not written.
    #[error(transparent)]
    Rejected(Error),
    /// The configuration would exceed the platform's limit. The edit was not written.
    #[error("the configuration exceeds the platform's limit of 1 MiB")]
    TooLarge,
    /// No attempt succeeded within [`EDIT_TIMEOUT`]: calls failed, writes conflicted or reads were
    /// stale. The edit was not written. Carries the last error message.
    #[error("the platform is unavailable, the edit was not written: {0}")]
    Unavailable(String),
    /// The response to a write of the edit was lost, and no later call within [`EDIT_TIMEOUT`]
    /// determined whether it took effect. Repeating the edit with the same write id is safe and
    /// determines whether it was accepted.
    #[error("the answer to write {write_id:?} was lost, the edit may have been accepted: {cause}")]
    Undecided {
        /// Identity of the write.
        write_id: Arc<str>,
        /// Error message of the last failed call.
        cause: String,
    },
}

/// One edit in progress.
#[derive(Clone, Debug)]
pub struct ConfigEdit {
    edit: TableEdit,
    base_revision: u64,
    writer: Arc<str>,
    write_id: Arc<str>,
    deadline: Time,
    /// The configuration in force on this host. An older one on the platform is a stale read or a
    /// restored backup.
    in_force: Arc<Config>,
    /// The write in progress: its value, and whether it writes the edit (`true`) or restores
    /// `in_force` (`false`).
    pending_write: Option<(Arc<Config>, bool)>,
    /// Whether a write of the edit with a lost response may have taken effect.
    write_lost: bool,
    backoffs: u32,
    last_failure: String,
}

impl ConfigEdit {
    /// Starts an edit of a table whose revision was `base_revision` when the edit was made.
    ///
    /// `write_id` is unique to the edit and identifies it in all its repetitions. `in_force` is the
    /// configuration in force on this host.
    pub fn new(
        now: Time,
        edit: TableEdit,
        base_revision: u64,
        writer: Arc<str>,
        write_id: Arc<str>,
        in_force: Arc<Config>,
    ) -> Self {
        ConfigEdit {
            edit,
            base_revision,
            writer,
            write_id,
            deadline: now + EDIT_TIMEOUT,
            in_force,
            pending_write: None,
            write_lost: false,
            backoffs: 0,
            last_failure: String::from("reads are behind the edit's base revision"),
        }
    }

    /// Returns the first step.
    pub fn start(&self) -> EditAction {
        EditAction::Read
    }

    /// Returns the step that follows a wait.
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
            ReadResult::Failed(cause) => self.back_off(now, Some(cause), rng),
        }
    }

    /// Handles the result of a write.
    pub fn on_write<R>(&mut self, now: Time, result: WriteResult, rng: &mut R) -> EditAction
    where
        R: Rng + ?Sized,
    {
        let Some((config, is_edit)) = self.pending_write.take() else {
            return self.back_off(now, None, rng);
        };
        match result {
            WriteResult::Written if is_edit => EditAction::Done(Ok(config)),
            WriteResult::Written => EditAction::Read,
            WriteResult::Conflict => self.back_off(now, None, rng),
            WriteResult::TooLarge if is_edit && !self.write_lost => {
                EditAction::Done(Err(EditError::TooLarge))
            }
            WriteResult::TooLarge => self.back_off(now, Some(String::from("value too large")), rng),
            WriteResult::Refused(cause) => self.back_off(now, Some(cause), rng),
            WriteResult::Lost(cause) => {
                self.write_lost |= is_edit;
                self.back_off(now, Some(cause), rng)
            }
        }
    }

    /// Returns the step that follows from the object that a read returned.
    fn proceed<R>(
        &mut self,
        now: Time,
        version: Option<u64>,
        stored: Arc<Config>,
        rng: &mut R,
    ) -> EditAction
    where
        R: Rng + ?Sized,
    {
        if stored.includes_write(&self.write_id) {
            return EditAction::Done(Ok(stored));
        }
        // An edit must not be based on an older state than the one in force, so that one is written
        // back first. If the read was only stale, the condition of this write does not hold.
        if stored.generation < self.in_force.generation {
            let config = self.in_force.clone();
            self.pending_write = Some((config.clone(), false));
            return EditAction::Write { config, version };
        }
        // The edit is based on a later revision than this read returned, so the read is stale.
        if stored.revision(self.edit.kind()).number < self.base_revision {
            return self.back_off(now, None, rng);
        }
        match stored.with_edit(self.edit.clone(), self.base_revision, &self.writer, &self.write_id)
        {
            Ok(next) => {
                let config = Arc::new(next);
                self.pending_write = Some((config.clone(), true));
                EditAction::Write { config, version }
            }
            // The edit is invalid, or the configuration changed in the meantime. In neither case can
            // a lost write of it still take effect: none was sent, or its condition no longer holds.
            Err(e) => EditAction::Done(Err(EditError::Rejected(e))),
        }
    }

    fn back_off<R>(&mut self, now: Time, cause: Option<String>, rng: &mut R) -> EditAction
    where
        R: Rng + ?Sized,
    {
        if let Some(cause) = cause {
            self.last_failure = cause;
        }
        if now >= self.deadline {
            let cause = self.last_failure.clone();
            return EditAction::Done(Err(if self.write_lost {
                EditError::Undecided { write_id: self.write_id.clone(), cause }
            } else {
                EditError::Unavailable(cause)
            }));
        }
        let limit = INITIAL_BACKOFF.saturating_mul(1 << self.backoffs.min(10)).min(MAX_BACKOFF);
        self.backoffs += 1;
        EditAction::Wait { until: now + limit.mul_f64(rng.random::<f64>()) }
    }
}
