//! Which attempts of one request may start.
//!
//! Failed attempts, timers and messages of schedulers ask for further attempts of a request. Whatever
//! asks, an attempt starts only with a permit of [`Executions`], which decides by the request alone:
//! one that is not idempotent gets no permit while an attempt is under way, and none after an attempt that
//! a target may have executed.

/// The attempts of one request.
#[derive(Debug)]
pub struct Executions {
    max_attempts: u32,
    under_way: u32,
    /// Attempts that have ended and that targets may have executed.
    executed: u32,
    /// Attempts that have ended and that targets did not execute.
    not_executed: u32,
}

/// The right to send a request once. It can't be copied, and is returned when the attempt has ended.
#[derive(Debug)]
#[must_use]
pub struct AttemptPermit(());

impl Executions {
    /// Returns the attempts of a new request, of which targets may execute `max_attempts` if it is idempotent,
    /// and otherwise one.
    pub fn new(idempotent: bool, max_attempts: u32) -> Self {
        let max_attempts = if idempotent { max_attempts.max(1) } else { 1 };
        Executions { max_attempts, under_way: 0, executed: 0, not_executed: 0 }
    }

    /// Returns whether another attempt may start.
    pub fn may_start(&self) -> bool {
        self.under_way + self.executed < self.max_attempts
    }

    /// Starts an attempt, if another one may start.
    pub fn start(&mut self) -> Option<AttemptPermit> {
        self.may_start().then(|| {
            self.under_way += 1;
            AttemptPermit(())
        })
    }

    /// Records that an attempt has ended, and whether its target may have executed the request.
    pub fn end(&mut self, permit: AttemptPermit, may_have_executed: bool) {
        let AttemptPermit(()) = permit;
        self.under_way -= 1;
        if may_have_executed {
            self.executed += 1;
        } else {
            self.not_executed += 1;
        }
    }

    /// Returns whether a target may have executed an attempt that has ended.
    pub fn may_have_executed(&self) -> bool {
        self.executed > 0
    }

    /// Returns the number of attempts that have ended and that targets did not execute.
    pub fn not_executed(&self) -> u32 {
        self.not_executed
    }
}
