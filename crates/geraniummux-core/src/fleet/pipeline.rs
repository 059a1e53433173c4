//! Decides which requests of a caller's connection start before the responses to those before them are
//! written.

use std::collections::VecDeque;

/// Limits of what a connection may have started ahead.
#[derive(Clone, Copy, Debug)]
pub struct PipelineOptions {
    /// Maximum number of requests that are known beyond the one in service.
    pub max_ahead: usize,
    /// Maximum size of their heads and responses in bytes.
    pub max_bytes: u64,
}

impl Default for PipelineOptions {
    /// Returns limits that suffice for callers with a window of eight requests, and for eight responses of
    /// 90 KB, the usual size of a download. Larger responses of a connection wait at their targets.
    fn default() -> Self {
        PipelineOptions { max_ahead: 8, max_bytes: 1 << 20 }
    }
}

/// How a request relates to the others of its connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PipelinedKind {
    /// May run at the same time as those before it and behind it: it is idempotent and has no body.
    Concurrent,
    /// May run at the same time as those before it. Its response closes the connection.
    Last,
    /// Runs alone: it starts after the response to the one before it is written, and no other request
    /// starts until its own response is written.
    Barrier,
}

/// A request that was read while one before it was in service.
#[derive(Clone, Copy, Debug)]
pub struct ReadAheadRequest {
    /// How it relates to the others.
    pub kind: PipelinedKind,
    /// Size of its head.
    pub head_bytes: u64,
    /// Expected size of its response.
    pub response_bytes: u64,
}

/// What has become of a request that was read ahead.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Progress {
    /// Not started.
    Waiting,
    /// Started. `reserved` bytes are set aside for its response until that is there.
    Started { reserved: u64 },
    /// Its response waits for those before it.
    Responded { bytes: u64 },
    /// Its response did not fit into the memory and was dropped.
    Dropped,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    request: ReadAheadRequest,
    progress: Progress,
}

impl Entry {
    fn bytes(&self) -> u64 {
        let response = match self.progress {
            Progress::Waiting | Progress::Dropped => 0,
            Progress::Started { reserved } => reserved,
            Progress::Responded { bytes } => bytes,
        };
        self.request.head_bytes.saturating_add(response)
    }
}

/// The request whose response is written next.
#[derive(Clone, Copy, Debug)]
struct Current {
    kind: PipelinedKind,
    is_answered: bool,
}

/// The requests of a caller's connection that are not answered.
///
/// At most one request is in service: the one whose response is written next. Those behind it are read ahead,
/// and may start ahead, in their order. The position of a request counts the requests of the connection.
#[derive(Clone, Debug, Default)]
pub struct Pipeline {
    opts: PipelineOptions,
    current: Option<Current>,
    ahead: VecDeque<Entry>,
    /// Position of the first of `ahead`.
    first_ahead: u64,
}

impl Pipeline {
    /// Returns the state of a new connection.
    pub fn new(opts: PipelineOptions) -> Self {
        Pipeline { opts, ..Pipeline::default() }
    }

    /// Returns whether a request is in service, so that the next one has to wait for its turn.
    pub fn is_in_service(&self) -> bool {
        self.current.is_some()
    }

    /// Returns whether a request is in service whose response is not there yet.
    pub fn is_unanswered(&self) -> bool {
        self.current.is_some_and(|c| !c.is_answered)
    }

    /// Returns whether the next request, once it is known, might start ahead.
    pub fn may_look_ahead(&self) -> bool {
        let last = self.ahead.back().map(|e| e.request.kind).or(self.current.map(|c| c.kind));
        last == Some(PipelinedKind::Concurrent) && !self.is_full()
    }

    /// Returns whether the connection may not be read further.
    pub fn is_full(&self) -> bool {
        self.ahead.len() >= self.opts.max_ahead || self.bytes() >= self.opts.max_bytes
    }

    fn bytes(&self) -> u64 {
        self.ahead.iter().fold(0, |sum, e| sum.saturating_add(e.bytes()))
    }

    /// Records the request behind all that are known.
    pub fn read_ahead(&mut self, request: ReadAheadRequest) {
        self.ahead.push_back(Entry { request, progress: Progress::Waiting });
    }

    /// Starts the next request that may start ahead and returns its position; `None` if there is none.
    pub fn start_next(&mut self) -> Option<u64> {
        if self.current.is_none_or(|c| c.kind != PipelinedKind::Concurrent) {
            return None;
        }
        let held = self.bytes();
        let i = self.ahead.iter().position(|e| e.progress == Progress::Waiting)?;
        let before = self.ahead.range(..i);
        let entry = self.ahead.get(i)?;
        let is_behind_concurrent =
            before.map(|e| e.request.kind).all(|kind| kind == PipelinedKind::Concurrent);
        let reserved = entry.request.response_bytes;
        let fits = held.saturating_add(reserved) <= self.opts.max_bytes;
        if entry.request.kind == PipelinedKind::Barrier || !is_behind_concurrent || !fits {
            return None;
        }
        self.ahead[i].progress = Progress::Started { reserved };
        Some(self.first_ahead + i as u64)
    }

    /// Records that the response to a request that was started ahead has arrived. Returns whether it is kept
    /// until its turn; otherwise the request has to run again when it is in service.
    pub fn on_response(&mut self, position: u64, bytes: u64) -> bool {
        // A request in service has the memory of a single request.
        let Some(i) = position.checked_sub(self.first_ahead) else { return true };
        let held = self.bytes();
        let Some(entry) = self.ahead.get_mut(i as usize) else { return true };
        let others = held - entry.bytes() + entry.request.head_bytes;
        let fits = others.saturating_add(bytes) <= self.opts.max_bytes;
        entry.progress = match fits {
            true => Progress::Responded { bytes },
            false => Progress::Dropped,
        };
        fits
    }

    /// Takes the next request into service. Returns whether it was started ahead. If it was read ahead as of
    /// another kind, because the routes have changed, it runs alone from now on if either is a barrier.
    pub fn take(&mut self, kind: PipelinedKind) -> bool {
        let entry = self.ahead.pop_front();
        self.first_ahead += 1;
        let kind = match entry {
            Some(e) if kind != PipelinedKind::Barrier => e.request.kind,
            _ => kind,
        };
        self.current = Some(Current { kind, is_answered: false });
        entry.is_some_and(|e| e.progress != Progress::Waiting)
    }

    /// Records that the response to the request in service is there.
    pub fn on_answered(&mut self) {
        if let Some(current) = &mut self.current {
            current.is_answered = true;
        }
    }

    /// Records that all responses that are there are written. Returns whether that ended the service of a
    /// request.
    pub fn on_written(&mut self) -> bool {
        self.current.take_if(|c| c.is_answered).is_some()
    }

    /// Returns the number of requests that were started ahead and are not in service yet.
    pub fn started_ahead(&self) -> usize {
        self.ahead.iter().filter(|e| e.progress != Progress::Waiting).count()
    }
}
