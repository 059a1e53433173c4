//! The messages between hosts.

use crate::packed::PackedConfigChange;
use geraniummux_core::drain::{LeavingAck, LeavingNotice};
use geraniummux_core::fleet::{
    AllowanceAnswer, ConfigEdition, FleetConfig, RegistryDelta, ReportedDemand, Revision,
    SlotDecision, SlotRequest, TargetReport, TeamTerms, TokenRequest,
};
use geraniummux_core::membership::{Gossip, Member};
use geraniummux_core::usage::UsageReport;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;

/// A message with its sender, which is the content of a frame.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Envelope {
    /// Name of the sending host.
    pub from: Arc<str>,
    /// Incarnation of the sending host.
    pub incarnation: u64,
    /// Generation of the configuration that is active at the sender.
    pub generation: u64,
    /// The message.
    pub message: Message,
}

/// All messages between hosts, each with the transport that carries it.
///
/// New variants are added at the end, since postcard encodes a variant by its position.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Message {
    /// TCP: requests the configuration if it is newer than `generation`.
    FetchConfig {
        /// Generation of the sender's configuration.
        generation: u64,
    },
    /// TCP: a configuration; the response to [`Message::FetchConfig`], or a push after an edit.
    Config {
        /// The configuration as JSON.
        json: Vec<u8>,
    },
    /// TCP: response to [`Message::FetchConfig`] if the requester's configuration is up to date.
    NoNewerConfig,
    /// TCP: response to [`Message::FetchConfig`] of a host that is not ready or is isolated, and so
    /// can't tell whether the requester's configuration is up to date.
    NotReady,
    /// UDP: ping, ping request, ack or member deltas.
    Gossip(Gossip),
    /// UDP: a digest of the load of targets, encoded by the core's `load` module.
    LoadDigest(Vec<u8>),
    /// UDP: a target is leaving.
    Leaving(LeavingNotice),
    /// UDP: acknowledges [`Message::Leaving`].
    LeavingAck(LeavingAck),
    /// UDP: a connection to a target broke while the target ran a request, or that report is
    /// retracted.
    CrashReport(CrashReport),
    /// UDP: acknowledges [`Message::CrashReport`].
    CrashReportAck {
        /// Number of the crash report at its sender.
        id: u64,
    },
    /// UDP: usage counts of one process.
    Usage(UsageReport),
    /// UDP: request of the usage writer for all unconfirmed counts.
    UsageCollect {
        /// Number of leading rows of the receiver's process whose keys the writer already has.
        known_rows: u32,
    },
    /// UDP: the usage writer confirms that reports have been written to the platform object.
    UsageConfirm {
        /// Sequence numbers of the reports.
        seqs: Vec<u64>,
    },
    /// UDP: results of budgeted probes of one pool's targets.
    ProbeResults(ProbeResults),
    /// TCP: the full state of the sender, which requests that of the receiver.
    SyncState(State),
    /// TCP: the full state of the sender; the response to [`Message::SyncState`].
    State(State),
    /// TCP or UDP: confirms a message that has no other response.
    Done,
    /// TCP: starts replication: the receiver becomes the sender's leader and sends
    /// [`Message::Update`] on this connection until it is closed.
    Follow(ReplicaVersions),
    /// TCP: an update of a follower's replica, sent on each change and at regular intervals.
    Update(ReplicaUpdate),
    /// UDP: faults of targets that the sender has observed since its last message of this kind.
    Faults(Vec<TargetFaults>),
    /// UDP: requests a slot from the scheduler of a pool.
    SlotRequest {
        /// Number of the request at the sender.
        number: u64,
        /// The pool.
        pool: Arc<str>,
        /// The request for a slot.
        request: SlotRequest,
    },
    /// UDP: the scheduler's decision on a [`Message::SlotRequest`]. More than one follows if the
    /// request has to wait or is hedged.
    SlotDecision {
        /// Number of the request at the receiver.
        number: u64,
        /// The decision.
        decision: SlotDecision,
    },
    /// UDP: releases the slot that a scheduler granted for a hedge, because the hedge is not made.
    GrantDeclined {
        /// Number of the request at the sender.
        number: u64,
        /// The pool.
        pool: Arc<str>,
        /// The target of the hedge.
        target: Arc<str>,
    },
    /// UDP: the scheduler of a pool delegates load probes of targets to a host in their failure
    /// domain.
    ProbeTargets {
        /// The pool.
        pool: Arc<str>,
        /// Identities of the targets, at most [`MAX_PROBED_TARGETS`].
        targets: Vec<Arc<str>>,
    },
    /// UDP: load reports of targets; the response to [`Message::ProbeTargets`].
    TargetReports {
        /// The pool.
        pool: Arc<str>,
        /// Reports by the identity of the target.
        reports: Vec<(Arc<str>, TargetReport)>,
    },
    /// UDP: tells the scheduler of a pool that a request has ended, whether or not a slot was
    /// granted.
    GrantEnded {
        /// Number of the request at the sender.
        number: u64,
        /// The pool.
        pool: Arc<str>,
        /// Identity of a target that answered, with its load report at that time.
        report: Option<(Arc<str>, TargetReport)>,
    },
    /// UDP: another target answered at the address of this one, so that requests sent there are not
    /// executed.
    IdentityMismatch {
        /// Identity of the target that is registered with the address.
        target: Arc<str>,
    },
    /// TCP: a change of the configuration, which a leader sends to a follower before an update.
    ConfigChange(PackedConfigChange),
    /// UDP: the sender reads the platform's store and has current data, while other hosts lack it.
    ReadingStore,
    /// UDP: tells the scheduler of a pool what targets demanded with their answers.
    TargetDemands {
        /// The pool.
        pool: Arc<str>,
        /// The demands, [`MAX_PROBED_TARGETS`] at most.
        demands: Vec<ReportedDemand>,
    },
    /// TCP: asks for a connection to a target that the sender does not reach. Once it is opened, all further
    /// bytes on the stream are passed on between the sender and the target.
    OpenTunnel {
        /// The pool.
        pool: Arc<str>,
        /// Identity of the target.
        target: Arc<str>,
    },
    /// TCP: response to [`Message::OpenTunnel`]: the target has accepted a connection.
    TunnelOpened,
    /// TCP: response to [`Message::OpenTunnel`]: there is no connection.
    TunnelRefused(TunnelRefusal),
    /// UDP: a target refused a request that the receiver relayed, and accepts nothing from it for a while.
    TargetPause {
        /// The pool.
        pool: Arc<str>,
        /// Identity of the target.
        target: Arc<str>,
        /// Length of the pause in milliseconds.
        pause_ms: u32,
    },
    /// UDP: a [`Message::SlotRequest`] of a team's caller.
    TeamSlotRequest {
        /// Number of the request at the sender.
        number: u64,
        /// The pool.
        pool: Arc<str>,
        /// The request for a slot.
        request: SlotRequest,
        /// What the scheduler has to know of the team.
        team: TeamTerms,
    },
    /// UDP: asks an allocator for tokens of teams' allowances, [`MAX_TOKEN_REQUESTS`] teams at most.
    AllowanceRequest {
        /// Number of the request at the sender.
        number: u64,
        /// The tokens that the sender wants.
        wanted: Vec<TokenRequest>,
    },
    /// UDP: response to [`Message::AllowanceRequest`].
    AllowanceResponse {
        /// Number of the request at the receiver.
        number: u64,
        /// What the sender grants, or who does.
        answer: AllowanceAnswer,
    },
    /// UDP: returns tokens that were not used to the allocator that granted them.
    AllowanceReturned {
        /// The tokens.
        unused: Vec<TokenRequest>,
    },
    /// UDP: targets told the sender that they are cold, for the scheduler of their pool.
    TargetsWarmingUp {
        /// The pool.
        pool: Arc<str>,
        /// Identities of the targets with the time for which each stays cold, in milliseconds;
        /// [`MAX_PROBED_TARGETS`] at most.
        targets: Vec<(Arc<str>, u32)>,
    },
}

/// Why a host opens no tunnel.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum TunnelRefusal {
    /// The host does not reach the target.
    TargetUnreachable,
    /// The target must get no requests, or the host does not know it.
    TargetUnusable,
    /// The host is or may be cut off from the targets itself, is stopping, or has too many tunnels.
    Unavailable,
}

impl TunnelRefusal {
    /// Returns the name of the reason in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            TunnelRefusal::TargetUnreachable => "target_unreachable",
            TunnelRefusal::TargetUnusable => "target_unusable",
            TunnelRefusal::Unavailable => "unavailable",
        }
    }
}

/// Maximum number of targets in one [`Message::ProbeTargets`] or [`Message::TargetReports`], so that
/// the message fits into a datagram: a report has up to 24 bytes and an identity about 16.
pub const MAX_PROBED_TARGETS: usize = 24;

/// Maximum number of teams in one [`Message::AllowanceRequest`], so that it and its response fit into a datagram:
/// a team has a name of up to about 16 bytes, a number of tokens and a time.
pub const MAX_TOKEN_REQUESTS: usize = 24;

/// Versions of the data that a follower already has.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ReplicaVersions {
    /// The follower's configuration; the default if it has none.
    pub config: ConfigEdition,
    /// Revision of the follower's target registry; `None` if it has none.
    pub targets_revision: Option<Revision>,
}

/// Update that a leader sends to a follower: changes of the replicated data, and how current it is.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ReplicaUpdate {
    /// Time since the sender's data was last known to match the platform's store, in milliseconds.
    pub age_ms: u32,
    /// Whether removed entries may have expired while the store was unavailable, so that the follower
    /// keeps them for the expiry grace.
    pub expiry_grace: bool,
    /// Revision of the store up to which the sender's configuration is current.
    pub config_revision: Revision,
    /// The configuration if it is newer than the follower's. Hosts send [`Message::ConfigChange`] instead;
    /// older versions send it here.
    pub config: Option<FleetConfig>,
    /// Changes of the target registry if the follower lacks any.
    pub targets: Option<RegistryDelta>,
}

/// Faults of one target, as observed by one host.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct TargetFaults {
    /// Identity of the target.
    pub target: Arc<str>,
    /// Sum of the weights of the faults.
    pub weight: f32,
}

/// A broken connection to a target that is blamed on a request, or the retraction of that report.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CrashReport {
    /// Number of the crash report at its sender; repeated in the acknowledgement.
    pub id: u64,
    /// Fingerprint of the request.
    pub fingerprint: u128,
    /// Address of the target whose connection broke.
    pub target: SocketAddr,
    /// Time since the connection broke, in milliseconds.
    pub age_ms: u32,
    /// Whether the report is retracted because the targets were the cause.
    pub retracted: bool,
}

/// Results of probes of one pool's targets, which are charged to the probe budget.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ProbeResults {
    /// The pool.
    pub pool: Arc<str>,
    /// One result per target. [`ProbeResults::split`] splits them into datagrams.
    pub results: Vec<ProbeResult>,
}

/// Result of one probe of a target.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ProbeResult {
    /// Address of the target.
    pub target: SocketAddr,
    /// State of the target.
    pub state: ProbedState,
    /// Requests that the target runs.
    pub in_flight: u32,
    /// Requests that wait at the target.
    pub queued: u32,
    /// Round-trip time of the probe in microseconds.
    pub round_trip_us: u32,
    /// Time since the response to the probe, in milliseconds.
    pub age_ms: u32,
}

/// State of a target as shown by a probe.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ProbedState {
    /// The target accepts requests.
    Ready,
    /// The target is starting and does not accept requests yet.
    Starting,
    /// The target is leaving and accepts no new requests.
    Draining,
    /// The target did not answer the probe.
    Failed,
}

/// The full state that hosts exchange over TCP.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct State {
    /// All members that the sender knows, itself included.
    pub members: Vec<Member>,
    /// All leaving targets.
    pub leaving: Vec<LeavingNotice>,
    /// Quarantined requests, encoded by the core's `quarantine` module.
    pub quarantine: Vec<u8>,
}

/// Maximum number of results in one datagram. A result has at most 39 bytes: an address of 20, a
/// state, and four counters of up to 5 bytes each. The limit leaves room for header and pool name.
const MAX_RESULTS_PER_DATAGRAM: usize = 22;

impl ProbeResults {
    /// Splits results into parts that each fit into a datagram.
    pub fn split(self) -> impl Iterator<Item = ProbeResults> {
        let ProbeResults { pool, results } = self;
        let parts: Vec<Vec<ProbeResult>> =
            results.chunks(MAX_RESULTS_PER_DATAGRAM).map(<[_]>::to_vec).collect();
        parts.into_iter().map(move |results| ProbeResults { pool: pool.clone(), results })
    }
}
