//! The messages.

use geraniummux_core::drain::{LeavingAck, LeavingNotice};
use geraniummux_core::fleet::{
    FleetConfig, RegistryDelta, SlotDecision, SlotRequest, TargetReport,
};
use geraniummux_core::membership::{Gossip, Member};
use geraniummux_core::usage::UsageReport;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;

/// A message with its sender.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Envelope {
    /// Name of the sending host.
    pub from: Arc<str>,
    /// The sender's incarnation.
    pub incarnation: u64,
    /// Generation of the configuration that is in force at the sender.
    pub generation: u64,
    /// The message.
    pub message: Message,
}

/// All messages between entry hosts. New variants are added at the end, since postcard encodes a
/// variant by its position.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Message {
    /// TCP: asks for the configuration if it is newer than `generation`.
    FetchConfig {
        /// Generation that the asker has.
        generation: u64,
    },
    /// TCP: a configuration as JSON; answers [`Message::FetchConfig`] or is sent after an edit.
    Config {
        /// The encoded configuration.
        json: Vec<u8>,
    },
    /// TCP: the asker's configuration is up to date.
    NoNewerConfig,
    /// TCP: the asked host is not ready or is isolated, so its answer proves nothing.
    NotReady,
    /// UDP: ping, ping request, ack or member deltas.
    Gossip(Gossip),
    /// UDP: load of targets as the sender knows it, in the encoding of the core's `load` module.
    LoadDigest(Vec<u8>),
    /// UDP: a target is leaving.
    Leaving(LeavingNotice),
    /// UDP: acknowledges [`Message::Leaving`].
    LeavingAck(LeavingAck),
    /// UDP: a target broke while it ran a request.
    CrashReport(CrashReport),
    /// UDP: acknowledges [`Message::CrashReport`].
    CrashReportAck {
        /// Number of the strike.
        id: u64,
    },
    /// UDP: counts of one process.
    Usage(UsageReport),
    /// UDP: the usage writer asks for all counts that are not confirmed.
    UsageCollect {
        /// Number of the first rows of the receiver's process whose keys the writer knows.
        known: u32,
    },
    /// UDP: the usage writer confirms that reports are in the platform object.
    UsageConfirm {
        /// Numbers of the reports.
        seqs: Vec<u64>,
    },
    /// UDP: results of paid probes of one pool's targets.
    ProbeResults(ProbeResults),
    /// TCP: exchanges the full state; the answer is [`Message::State`] too.
    SyncState(State),
    /// TCP: answers [`Message::SyncState`].
    State(State),
    /// TCP or UDP: confirms a message that needs no other answer.
    Done,
    /// TCP: asks to be sent each [`ReplicaUpdate`] from now on.
    Follow(ReplicaVersions),
    /// TCP: sent to a follower on each change and at regular intervals.
    Update(ReplicaUpdate),
    /// UDP: faults of targets that the sender saw since its last such message.
    Faults(Vec<TargetFaults>),
    /// UDP: asks the scheduler of a pool where to send a request.
    SlotRequest {
        /// Number of the request at the sender.
        number: u64,
        /// The pool.
        pool: Arc<str>,
        /// The request.
        ask: SlotRequest,
    },
    /// UDP: answers [`Message::SlotRequest`], more than once if the request has to wait.
    SlotDecision {
        /// Number of the request at the receiver.
        number: u64,
        /// What becomes of it.
        decision: SlotDecision,
    },
    /// UDP: a second place that a scheduler gave is not used.
    GrantDeclined {
        /// Number of the request at the sender.
        number: u64,
        /// The pool.
        pool: Arc<str>,
        /// The target at which the place is.
        target: Arc<str>,
    },
    /// UDP: asks a host to measure targets that are near it, for the scheduler of their pool.
    ProbeTargets {
        /// The pool.
        pool: Arc<str>,
        /// The targets. [`MAX_PROBED_TARGETS`] at most.
        targets: Vec<Arc<str>>,
    },
    /// UDP: what targets said of their load; answers [`Message::ProbeTargets`].
    TargetReports {
        /// The pool.
        pool: Arc<str>,
        /// The reports.
        reports: Vec<(Arc<str>, TargetReport)>,
    },
    /// UDP: a request that a scheduler was asked about has ended.
    GrantEnded {
        /// Number of the request at the sender.
        number: u64,
        /// The pool.
        pool: Arc<str>,
        /// What a target said of its load at that time.
        report: Option<(Arc<str>, TargetReport)>,
    },
}

/// Most targets in one [`Message::ProbeTargets`] or [`Message::TargetReports`], so that it fits into a datagram: a
/// report has up to 24 bytes and an identity about 16.
pub const MAX_PROBED_TARGETS: usize = 24;

/// What a follower knows already.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ReplicaVersions {
    /// Version of its configuration; 0 if it has none.
    pub config_version: u64,
    /// Revision of its registry of targets; `None` if it has none.
    pub targets_revision: Option<u64>,
}

/// What changed at a host that others follow.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ReplicaUpdate {
    /// How long ago the sender's knowledge was known to be what the platform's store holds, in
    /// milliseconds.
    pub age_ms: u32,
    /// Whether removed entries may be ones that lapsed while the store was away.
    pub expiry_grace: bool,
    /// Revision of the store up to which the sender knows the configuration.
    pub config_revision: u64,
    /// The configuration, if it is newer than the follower's.
    pub config: Option<FleetConfig>,
    /// Changes of the registry of targets, if there are any.
    pub targets: Option<RegistryDelta>,
}

/// Faults of one target.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct TargetFaults {
    /// Identity of the target.
    pub target: Arc<str>,
    /// Sum of the weights of the faults.
    pub weight: f32,
}

/// One strike, or its retraction.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CrashReport {
    /// Number of the strike at its sender; repeated in the acknowledgement.
    pub id: u64,
    /// Fingerprint of the request.
    pub fingerprint: u128,
    /// Address of the target that broke.
    pub target: SocketAddr,
    /// How long ago the target broke, in milliseconds.
    pub age_ms: u32,
    /// Whether the strike is retracted, because the targets were the cause.
    pub retracted: bool,
}

/// Results of paid probes.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ProbeResults {
    /// The pool.
    pub pool: Arc<str>,
    /// One result a target. [`ProbeResults::split`] splits them into datagrams.
    pub results: Vec<ProbeResult>,
}

/// What a target answered to a probe.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ProbeResult {
    /// Address of the target.
    pub target: SocketAddr,
    /// What it answered.
    pub state: ProbedState,
    /// Requests that it runs.
    pub in_flight: u32,
    /// Requests that wait at it.
    pub queued: u32,
    /// Round-trip time of the probe in microseconds.
    pub round_trip_us: u32,
    /// How long ago the answer came, in milliseconds.
    pub age_ms: u32,
}

/// State of a probed target.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ProbedState {
    /// It accepts requests.
    Ready,
    /// It is starting.
    Starting,
    /// It is leaving.
    Draining,
    /// It did not answer.
    Failed,
}

/// The full state that hosts exchange over TCP.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct State {
    /// All members.
    pub members: Vec<Member>,
    /// All leaving targets.
    pub leaving: Vec<LeavingNotice>,
    /// Quarantined requests, in the encoding of the core's `quarantine` module.
    pub quarantine: Vec<u8>,
}

/// Most results of one datagram. A result has at most 39 bytes: an address of 20, a state, and
/// four counters of up to 5 bytes each, which leaves room for header and pool name.
const RESULTS_PER_DATAGRAM: usize = 22;

impl ProbeResults {
    /// Splits results into parts that each fit into a datagram.
    pub fn split(self) -> impl Iterator<Item = ProbeResults> {
        let ProbeResults { pool, results } = self;
        let parts: Vec<Vec<ProbeResult>> =
            results.chunks(RESULTS_PER_DATAGRAM).map(<[_]>::to_vec).collect();
        parts.into_iter().map(move |results| ProbeResults { pool: pool.clone(), results })
    }
}
