//! A discrete-event simulation of entry hosts, for tests of the control plane.
//!
//! Hosts run the real state machines of `geraniummux-core` and exchange frames of the real codec.
//! The network loses and delays packets and can be partitioned. The platform can serve stale reads,
//! miss changes in watches, lose responses, or be down. Time is virtual and all randomness comes
//! from the seed. Begin with [`Fleet`].

#![allow(dead_code)]

use geraniummux_core::config_edit::{EditAction, EditError, ReadResult, WriteResult};
use geraniummux_core::config_sync::{
    ConfigAction, ConfigSyncOptions, FetchResult, Permit, PlatformResult,
};
use geraniummux_core::drain::DrainAction;
use geraniummux_core::membership::{MembershipAction, MembershipOptions};
use geraniummux_core::usage::{Month, ProcessId, UsageAction, UsageWrite};
use geraniummux_core::{
    Config, ConfigEdit, ConfigSync, Member, MemberState, Membership, TableEdit, TargetDrain, Time,
    UnixMs, UsageCounters, UsageMerge,
};
use geraniummux_wire::{Codec, Envelope, Message, State};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Wall-clock time at virtual time zero, in milliseconds since the Unix epoch.
pub const WALL_CLOCK_START_MS: u64 = 1_796_000_000_000;
/// Interval at which each host runs its timers.
const TICK: Duration = Duration::from_millis(50);

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

pub fn secs(n: u64) -> Duration {
    Duration::from_secs(n)
}

/// The operation that a TCP exchange or a platform call belongs to.
#[derive(Clone, Debug)]
enum Ctx {
    /// A fetch of the configuration from a peer, by the id of [`ConfigAction::Fetch`].
    Fetch(u64),
    /// A push of the configuration to a peer.
    Push,
    /// An exchange of the membership state with a peer.
    Sync,
    /// A request for a peer's leaving notices after a start or a pause.
    Refresh { sent_at: Time },
    /// A platform call for a [`ConfigAction`], by its id.
    ConfigCall(u64),
    /// A platform call for an edit, by the number of the edit.
    Edit(usize),
    /// A read of a month's usage object.
    Usage(Month),
    /// A write of a usage object.
    UsageWrite(Box<UsageWrite>),
}

/// A call from a host to the platform.
#[derive(Clone, Debug)]
enum PlatformCall {
    Read {
        key: String,
    },
    /// Waits up to `wait` for a version of the configuration object above `after`.
    Watch {
        after: u64,
        wait: Duration,
    },
    /// Writes an object on the condition that it has this version, or doesn't exist.
    Write {
        key: String,
        value: Vec<u8>,
        version: Option<u64>,
    },
}

/// The result of a platform call, as the host sees it.
#[derive(Clone, Debug)]
enum PlatformResponse {
    /// Version and value of the object, or `None` if it doesn't exist.
    Object(Option<(u64, Vec<u8>)>),
    /// A watch ended without a change.
    Unchanged,
    /// A write took effect; carries the new version.
    Written(u64),
    Conflict,
    /// The call failed before it took effect.
    Refused,
    /// No response arrived; a write may have taken effect.
    Lost,
}

/// An event in virtual time. `host` is the host that sent the request or call and receives the
/// response, `epoch` its epoch at that time.
#[derive(Clone, Debug)]
enum Event {
    Tick { host: usize, epoch: u64 },
    Datagram { to: SocketAddr, from: SocketAddr, frame: Vec<u8> },
    Request { to: SocketAddr, host: usize, epoch: u64, frame: Vec<u8>, ctx: Ctx },
    Response { host: usize, epoch: u64, from: SocketAddr, frame: Option<Vec<u8>>, ctx: Ctx },
    PlatformCall { host: usize, epoch: u64, call: PlatformCall, ctx: Ctx },
    PlatformResponse { host: usize, epoch: u64, response: PlatformResponse, ctx: Ctx },
    WatchEnd { id: u64 },
    EditResume { host: usize, epoch: u64, edit: usize },
}

/// The state machines of one host process, and what it has observed.
pub struct Process {
    pub members: Membership,
    pub sync: ConfigSync,
    pub drain: TargetDrain,
    pub usage: UsageMerge,
    pub counters: UsageCounters,
    /// When each generation was adopted.
    pub adoptions: Vec<(Time, u64)>,
    /// Number of pauses that the process detected.
    pub resumes: u32,
    /// Whether another process has taken over the host's name, which stops this one.
    pub replaced: bool,
    /// Edits by number.
    edits: Vec<(usize, ConfigEdit)>,
}

/// A host, with or without a running process.
pub struct Host {
    pub name: Arc<str>,
    pub addr: SocketAddr,
    pub failure_domain: usize,
    pub region: usize,
    /// Network partition; hosts of different partitions can't reach each other.
    pub partition: usize,
    /// Number of starts and kills. Events of an earlier process are discarded.
    pub epoch: u64,
    pub process: Option<Process>,
    pub paused_until: Time,
    /// Offset of the host's monotonic clock, so that a host that uses another host's time fails.
    clock_offset: Duration,
    /// Offset of the host's wall clock.
    pub clock_skew_ms: i64,
    /// Bytes sent and received, by kind of message, and the number of `datagrams` sent.
    pub traffic: BTreeMap<&'static str, u64>,
}

impl Host {
    /// Converts virtual time to the host's monotonic clock.
    pub fn local(&self, now: Time) -> Time {
        now + self.clock_offset
    }

    pub fn process(&self) -> &Process {
        self.process.as_ref().expect("the host has a process")
    }
}

/// Time of a write, the new version, and the value unless the object was deleted.
type StoredVersion = (Time, u64, Option<Vec<u8>>);

/// The platform's store of versioned objects, and its faults.
#[derive(Default)]
pub struct FakePlatform {
    /// Whether all calls fail.
    pub down: bool,
    /// Partitions whose hosts can't reach the platform.
    pub cut_partitions: Vec<usize>,
    /// Whether watches don't report changes. Half of them then never end.
    pub silent_watch: bool,
    /// Maximum age of the state that a read returns.
    pub read_lag: Duration,
    /// Probability that the response to a call is lost.
    pub response_loss: f64,
    objects: BTreeMap<String, Vec<StoredVersion>>,
    last_version: u64,
    /// Open watches: id, host, epoch, version that the host has, and operation.
    watches: Vec<(u64, usize, u64, u64, Ctx)>,
    pub call_count: u64,
    /// Time and generation of each accepted write of the configuration by a host.
    pub accepted: Vec<(Time, u64)>,
}

impl FakePlatform {
    /// Returns the latest version and value of an object.
    fn latest(&self, key: &str) -> Option<(u64, Vec<u8>)> {
        let (_, version, value) = self.objects.get(key)?.last()?;
        Some((*version, value.clone()?))
    }

    /// Returns the version and value that an object had at `time`.
    fn read_at(&self, key: &str, time: Time) -> Option<(u64, Vec<u8>)> {
        let states = self.objects.get(key)?;
        let (_, version, value) = states.iter().rev().find(|s| s.0 <= time)?;
        Some((*version, value.clone()?))
    }

    /// Writes an object unconditionally and returns its version, as when an operator restores a
    /// backup. `None` deletes the object.
    pub fn put(&mut self, now: Time, key: &str, value: Option<Vec<u8>>) -> u64 {
        self.last_version += 1;
        self.objects.entry(key.to_owned()).or_default().push((now, self.last_version, value));
        self.last_version
    }

    /// Returns the latest configuration.
    pub fn config(&self) -> Option<Config> {
        let (_, value) = self.latest(CONFIG)?;
        serde_json::from_slice(&value).ok()
    }

    /// Ends all faults other than network partitions.
    pub fn clear_faults(&mut self) {
        self.down = false;
        self.silent_watch = false;
        self.read_lag = Duration::ZERO;
        self.response_loss = 0.0;
    }

    /// Returns all configurations that were written, in order.
    pub fn history(&self) -> Vec<Config> {
        let states = self.objects.get(CONFIG).into_iter().flatten();
        let values = states.filter_map(|s| s.2.as_deref());
        values.map(|v| serde_json::from_slice(v).unwrap()).collect()
    }

    /// Returns the latest value of an object.
    pub fn value(&self, key: &str) -> Option<Vec<u8>> {
        Some(self.latest(key)?.1)
    }
}

/// Key of the configuration object.
pub const CONFIG: &str = "config/tables";

/// Result of a finished edit, and when it finished.
pub struct EditOutcome {
    pub at: Time,
    pub result: Result<Arc<Config>, EditError>,
}

/// The simulated fleet.
pub struct Fleet {
    pub now: Time,
    pub seed: u64,
    pub hosts: Vec<Host>,
    pub platform: FakePlatform,
    /// Probability that a packet between hosts is lost. A loss delays a TCP exchange by 200 ms.
    pub loss: f64,
    pub rng: StdRng,
    /// All membership changes: time, observing host, and record of the changed member.
    pub changes: Vec<(Time, usize, Member)>,
    /// Results of finished edits, by number.
    pub edits: BTreeMap<usize, EditOutcome>,
    pub member_opts: MembershipOptions,
    /// Added to the wall clock of all hosts.
    pub wall_clock_offset_ms: u64,
    /// Hosts whose TCP connections to peers fail.
    pub no_tcp: Vec<usize>,
    /// Hosts that can't reach the platform.
    pub no_platform: Vec<usize>,
    /// Each accepted generation, with the time for which the hosts could have received it.
    pub exposure: Vec<(u64, Duration)>,
    /// When `exposure` was last updated.
    pub last_check: Time,
    /// Hosts that act as usage writer. More than one is a fault.
    pub holders: Vec<usize>,
    /// Pending events by time and sequence number.
    queue: BTreeMap<(Time, u64), Event>,
    /// Last sequence number of an event, also used as the id of a watch.
    next_id: u64,
    next_edit: usize,
    codec: Codec,
}

impl Fleet {
    /// Returns a fleet of `n` hosts in `regions` regions with three failure domains each. No host
    /// is started.
    pub fn new(seed: u64, n: usize, regions: usize) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let hosts = (0..n)
            .map(|i| Host {
                name: format!("entry-{i:03}").into(),
                addr: addr(i),
                failure_domain: i % (3 * regions),
                region: i % regions,
                partition: 0,
                epoch: 0,
                process: None,
                paused_until: Time::ZERO,
                clock_offset: ms(rng.random_range(0..1_000_000)),
                clock_skew_ms: rng.random_range(0..5_000),
                traffic: BTreeMap::new(),
            })
            .collect();
        Fleet {
            now: Time::from_millis(1_000_000),
            seed,
            hosts,
            platform: FakePlatform::default(),
            loss: 0.0,
            rng,
            changes: Vec::new(),
            edits: BTreeMap::new(),
            member_opts: MembershipOptions::default(),
            wall_clock_offset_ms: 0,
            no_tcp: Vec::new(),
            no_platform: Vec::new(),
            exposure: Vec::new(),
            last_check: Time::from_millis(1_000_000),
            holders: Vec::new(),
            queue: BTreeMap::new(),
            next_id: 0,
            next_edit: 0,
            codec: Codec::new(b"key"),
        }
    }

    /// Returns a fleet of started hosts that has run for 10 s with a first configuration in force.
    pub fn started(seed: u64, n: usize, regions: usize) -> Self {
        let mut fleet = Fleet::new(seed, n, regions);
        let first = Config::default().with_edit(pools_edit(1), 0, "op", "first").unwrap();
        let now = fleet.now;
        fleet.platform.put(now, CONFIG, Some(serde_json::to_vec(&first).unwrap()));
        for i in 0..n {
            fleet.start(i);
        }
        fleet.run(secs(10));
        fleet
    }

    /// Returns the wall-clock time of a host.
    pub fn wall_clock(&self, host: usize) -> UnixMs {
        let wall_clock =
            WALL_CLOCK_START_MS + self.wall_clock_offset_ms + self.now.as_micros() / 1_000;
        UnixMs(wall_clock.saturating_add_signed(self.hosts[host].clock_skew_ms))
    }

    /// Starts a new process on host `i`.
    pub fn start(&mut self, i: usize) {
        let now = self.hosts[i].local(self.now);
        let wall_clock = self.wall_clock(i);
        let seeds = (0..3).map(addr).collect();
        let h = &mut self.hosts[i];
        let local_member = Member {
            capacity: 0,
            name: h.name.clone(),
            addr: h.addr,
            http_addr: SocketAddr::new(h.addr.ip(), 8_080),
            failure_domain: format!("domain-{}", h.failure_domain).into(),
            incarnation: wall_clock.0,
            state: MemberState::Alive,
        };
        let id = ProcessId::new(h.name.clone(), wall_clock, &mut self.rng);
        h.epoch += 1;
        h.paused_until = Time::ZERO;
        h.process = Some(Process {
            members: Membership::new(
                now,
                local_member,
                seeds,
                self.member_opts.clone(),
                &mut self.rng,
            ),
            sync: ConfigSync::new(now, ConfigSyncOptions::default()),
            drain: TargetDrain::new(now),
            usage: UsageMerge::new(now, id.clone()),
            counters: UsageCounters::new(id),
            adoptions: Vec::new(),
            resumes: 0,
            replaced: false,
            edits: Vec::new(),
        });
        let epoch = h.epoch;
        self.schedule(Duration::ZERO, Event::Tick { host: i, epoch });
    }

    /// Kills the process on host `i`, without a shutdown.
    pub fn kill(&mut self, i: usize) {
        self.hosts[i].process = None;
        self.hosts[i].epoch += 1;
    }

    /// Pauses the process on host `i`. Events for it are delivered after the pause.
    pub fn pause(&mut self, i: usize, length: Duration) {
        self.hosts[i].paused_until = self.now + length;
    }

    /// Returns whether host `i` has a process that is not paused.
    pub fn is_running(&self, i: usize) -> bool {
        self.hosts[i].process.is_some() && self.hosts[i].paused_until <= self.now
    }

    /// Returns whether host `i` would serve a request now, or `None` if it is not running.
    pub fn permit(&self, i: usize) -> Option<Permit> {
        let h = &self.hosts[i];
        self.is_running(i).then(|| h.process().sync.permit(h.local(self.now)))
    }

    /// Returns the generation in force on host `i`, or 0 if it has no process.
    pub fn generation(&self, i: usize) -> u64 {
        self.hosts[i].process.as_ref().map_or(0, |p| p.sync.current().generation)
    }

    /// Handles all events of the next `length` of virtual time.
    pub fn run(&mut self, length: Duration) {
        let end = self.now + length;
        while let Some((&(time, seq), _)) = self.queue.first_key_value()
            && time <= end
        {
            let event = self.queue.remove(&(time, seq)).unwrap();
            self.now = time;
            self.handle(event);
        }
        self.now = end;
    }

    /// Starts an edit on host `i` and returns its number, under which the result appears in
    /// `edits`.
    pub fn edit(&mut self, i: usize, edit: TableEdit, base: u64, writer: &str) -> usize {
        let number = self.next_edit;
        self.next_edit += 1;
        let now = self.hosts[i].local(self.now);
        let p = self.hosts[i].process.as_mut().unwrap();
        let id = Arc::from(format!("write-{number}"));
        let in_force = p.sync.current().clone();
        let edit = ConfigEdit::new(now, edit, base, writer.into(), id, in_force);
        let action = edit.start();
        p.edits.push((number, edit));
        self.perform_edit(i, number, action);
        number
    }

    /// Reports on host `i` that a target is leaving.
    pub fn report_leaving(&mut self, i: usize, target: SocketAddr) {
        let now = self.hosts[i].local(self.now);
        let p = self.hosts[i].process.as_mut().unwrap();
        let actions = p.drain.report(now, target, &p.members, &mut self.rng);
        self.perform_drain(i, actions);
    }

    /// Counts a served request on host `i`.
    pub fn count_request(&mut self, i: usize, class: &str) {
        let wall_clock = self.wall_clock(i);
        let p = self.hosts[i].process.as_mut().unwrap();
        p.counters.count(wall_clock, &"tenant".into(), &class.into());
    }

    /// Starts writing the unwritten usage of host `i`, as at the end of a shutdown.
    pub fn write_usage(&mut self, i: usize) {
        let now = self.hosts[i].local(self.now);
        let p = self.hosts[i].process.as_mut().unwrap();
        p.usage.merge_own(now, &p.counters);
        for month in p.usage.unwritten_months() {
            self.usage_read(i, month);
        }
    }

    /// Schedules an event after a delay.
    fn schedule(&mut self, after: Duration, event: Event) {
        self.next_id += 1;
        self.queue.insert((self.now + after, self.next_id), event);
    }

    fn host_at(&self, addr: SocketAddr) -> Option<usize> {
        self.hosts.iter().position(|h| h.addr == addr && h.process.is_some())
    }

    /// Draws the one-way delay of a packet between two hosts.
    fn latency(&mut self, a: usize, b: usize) -> Duration {
        let (x, y) = (&self.hosts[a], &self.hosts[b]);
        let base = match (x.region == y.region, x.failure_domain == y.failure_domain) {
            (false, _) => 120_000,
            (true, false) => 500,
            (true, true) => 100,
        };
        // One packet in 50 is delayed by up to 30 ms, as by a noisy neighbour.
        let tail = if self.rng.random_bool(0.02) { self.rng.random_range(0..30_000) } else { 0 };
        Duration::from_micros(base + self.rng.random_range(0..200) + tail)
    }

    fn handle(&mut self, event: Event) {
        let host = match &event {
            Event::Tick { host, epoch }
            | Event::Response { host, epoch, .. }
            | Event::PlatformResponse { host, epoch, .. }
            | Event::EditResume { host, epoch, .. } => {
                (self.hosts[*host].epoch == *epoch).then_some(*host)
            }
            Event::Datagram { to, .. } => self.host_at(*to),
            Event::Request { to, host, epoch, ctx, .. } => match self.host_at(*to) {
                Some(i)
                    if self.hosts[i].partition == self.hosts[*host].partition
                        && !self.no_tcp.iter().any(|n| *n == i || n == host) =>
                {
                    Some(i)
                }
                _ => {
                    let (from, host, epoch, ctx) = (*to, *host, *epoch, ctx.clone());
                    let event = Event::Response { host, epoch, from, frame: None, ctx };
                    return self.schedule(secs(1), event);
                }
            },
            Event::PlatformCall { .. } | Event::WatchEnd { .. } => {
                return self.handle_platform(event);
            }
        };
        let Some(i) = host else { return };
        let until = self.hosts[i].paused_until;
        if until > self.now {
            // What arrives for a paused process stays in its socket buffers.
            return self.schedule(until.since(self.now), event);
        }
        if self.hosts[i].process.as_ref().is_some_and(|p| p.replaced) {
            return;
        }
        match event {
            Event::Tick { epoch, .. } => self.on_tick(i, epoch),
            Event::Datagram { from, frame, .. } => self.on_datagram(i, from, &frame),
            Event::Request { host, epoch, frame, ctx, .. } => {
                self.on_request(i, host, epoch, &frame, ctx);
            }
            Event::Response { from, frame, ctx, .. } => self.on_response(i, from, frame, ctx),
            Event::PlatformResponse { response, ctx, .. } => {
                self.on_platform_response(i, response, ctx)
            }
            Event::EditResume { edit, .. } => {
                let action = self.with_edit(i, edit, |e, _, _| e.resume());
                self.perform_edit(i, edit, action);
            }
            Event::PlatformCall { .. } | Event::WatchEnd { .. } => {}
        }
    }

    fn on_tick(&mut self, i: usize, epoch: u64) {
        let now = self.hosts[i].local(self.now);
        let holder = self.holders.contains(&i);
        let p = self.hosts[i].process.as_mut().unwrap();
        let members = p.members.tick(now, &mut self.rng);
        let config = p.sync.tick(now, &mut p.members, &mut self.rng);
        let drain = p.drain.tick(now, &p.members, &mut self.rng);
        p.usage.set_holder(now, holder);
        let usage = p.usage.tick(now, &p.counters, &p.members);
        self.perform_members(i, members);
        self.perform_config(i, config);
        self.perform_drain(i, drain);
        self.perform_usage(i, usage);
        self.schedule(TICK, Event::Tick { host: i, epoch });
    }

    fn envelope(&self, i: usize, message: Message) -> Envelope {
        let p = self.hosts[i].process();
        Envelope {
            from: self.hosts[i].name.clone(),
            incarnation: p.members.local_member().incarnation,
            generation: p.sync.current().generation,
            message,
        }
    }

    /// Sends a datagram from host `i`. Its traffic includes 28 bytes of IP and UDP headers.
    pub fn send(&mut self, i: usize, to: SocketAddr, message: Message) {
        let message_kind = message_kind(&message);
        let frame = self.codec.encode_datagram(&self.envelope(i, message)).unwrap();
        *self.hosts[i].traffic.entry(message_kind).or_default() += frame.len() as u64 + 28;
        *self.hosts[i].traffic.entry("datagrams").or_default() += 1;
        let Some(k) = self.host_at(to) else { return };
        if self.hosts[k].partition != self.hosts[i].partition || self.rng.random_bool(self.loss) {
            return;
        }
        *self.hosts[k].traffic.entry(message_kind).or_default() += frame.len() as u64 + 28;
        let after = self.latency(i, k);
        let from = self.hosts[i].addr;
        self.schedule(after, Event::Datagram { to, from, frame });
    }

    /// Sends a request from host `i` to a peer over a new TCP connection.
    fn call_peer(&mut self, i: usize, to: SocketAddr, message: Message, ctx: Ctx) {
        let message_kind = message_kind(&message);
        let frame = self.codec.encode_stream(&self.envelope(i, message)).unwrap()[4..].to_vec();
        // Setting up and closing a connection takes about seven packets of 52 bytes.
        *self.hosts[i].traffic.entry(message_kind).or_default() += frame.len() as u64 + 4 + 364;
        let mut after = match self.host_at(to) {
            Some(k) => 3 * self.latency(i, k),
            None => ms(1),
        };
        if self.rng.random_bool(self.loss) {
            after += ms(200);
        }
        let epoch = self.hosts[i].epoch;
        self.schedule(after, Event::Request { to, host: i, epoch, frame, ctx });
    }

    fn on_datagram(&mut self, i: usize, from: SocketAddr, frame: &[u8]) {
        let e = self.codec.decode_datagram(frame).unwrap();
        let now = self.hosts[i].local(self.now);
        let p = self.hosts[i].process.as_mut().unwrap();
        let config = p.sync.on_announcement(now, from, e.generation);
        match e.message {
            Message::Gossip(g) => {
                let rng = &mut self.rng;
                let actions = p.members.receive(now, &e.from, e.incarnation, from, g, rng);
                self.perform_members(i, actions);
            }
            Message::Leaving(n) => {
                let actions = p.drain.receive(now, from, n, &p.members, &mut self.rng);
                self.perform_drain(i, actions);
            }
            Message::LeavingAck(ack) => p.drain.acknowledged(&e.from, &ack),
            Message::Usage(r) => p.usage.on_report(now, from, r),
            Message::UsageCollect { known_rows } => {
                let actions = p.usage.on_collect(now, from, known_rows, &p.counters, &p.members);
                self.perform_usage(i, actions);
            }
            Message::UsageConfirm { seqs } => p.usage.on_confirm(&seqs),
            m => panic!("unexpected datagram {m:?}"),
        }
        self.perform_config(i, config);
    }

    fn state(&self, i: usize) -> State {
        let p = self.hosts[i].process();
        State {
            members: p.members.snapshot(),
            leaving: p.drain.notices(self.hosts[i].local(self.now)),
            quarantine: Vec::new(),
        }
    }

    fn merge_state(&mut self, i: usize, state: State) {
        let now = self.hosts[i].local(self.now);
        let p = self.hosts[i].process.as_mut().unwrap();
        let members = p.members.merge(now, state.members);
        let drain = p.drain.merge(now, state.leaving);
        self.perform_members(i, members);
        self.perform_drain(i, drain);
    }

    fn on_request(&mut self, i: usize, requester: usize, epoch: u64, frame: &[u8], ctx: Ctx) {
        let e = self.codec.decode_stream(frame).unwrap();
        let now = self.hosts[i].local(self.now);
        let requester_addr = self.hosts[requester].addr;
        let p = self.hosts[i].process.as_mut().unwrap();
        let config = p.sync.on_announcement(now, requester_addr, e.generation);
        self.perform_config(i, config);
        let p = self.hosts[i].process.as_mut().unwrap();
        let response = match e.message {
            Message::FetchConfig { generation } => {
                if !p.sync.can_answer_fetch(now) {
                    Message::NotReady
                } else if p.sync.current().generation > generation {
                    let json = serde_json::to_vec(&**p.sync.current()).unwrap();
                    Message::Config { json }
                } else {
                    Message::NoNewerConfig
                }
            }
            Message::Config { json } => {
                let actions = p.sync.on_push(now, Arc::new(serde_json::from_slice(&json).unwrap()));
                self.perform_config(i, actions);
                Message::Done
            }
            Message::SyncState(state) => {
                self.merge_state(i, state);
                Message::State(self.state(i))
            }
            m => panic!("unexpected request {m:?}"),
        };
        let message_kind = message_kind(&response);
        let frame = self.codec.encode_stream(&self.envelope(i, response)).unwrap()[4..].to_vec();
        *self.hosts[i].traffic.entry(message_kind).or_default() += frame.len() as u64 + 4;
        *self.hosts[requester].traffic.entry(message_kind).or_default() += frame.len() as u64 + 4;
        let after = self.latency(i, requester);
        let from = self.hosts[i].addr;
        self.schedule(
            after,
            Event::Response { host: requester, epoch, from, frame: Some(frame), ctx },
        );
    }

    fn on_response(&mut self, i: usize, from: SocketAddr, frame: Option<Vec<u8>>, ctx: Ctx) {
        let now = self.hosts[i].local(self.now);
        let e = frame.map(|f| self.codec.decode_stream(&f).unwrap());
        let p = self.hosts[i].process.as_mut().unwrap();
        if let Some(e) = &e {
            let actions = p.sync.on_announcement(now, from, e.generation);
            self.perform_config(i, actions);
        }
        let p = self.hosts[i].process.as_mut().unwrap();
        match (ctx, e.map(|e| e.message)) {
            (Ctx::Fetch(id), message) => {
                let response = match message {
                    Some(Message::Config { json }) => {
                        FetchResult::Config(Arc::new(serde_json::from_slice(&json).unwrap()))
                    }
                    Some(Message::NoNewerConfig) => FetchResult::NoNewer,
                    Some(Message::NotReady) => FetchResult::NotReady,
                    _ => FetchResult::Failed,
                };
                let actions = p.sync.on_fetch_result(now, id, response);
                self.perform_config(i, actions);
            }
            (Ctx::Sync, Some(Message::State(s))) => self.merge_state(i, s),
            (Ctx::Refresh { sent_at }, Some(Message::State(s))) => {
                let actions = p.drain.refreshed(now, sent_at, s.leaving);
                self.perform_drain(i, actions);
            }
            _ => {}
        }
    }

    fn perform_members(&mut self, i: usize, actions: Vec<MembershipAction>) {
        for a in actions {
            match a {
                MembershipAction::Send { to, gossip } => {
                    self.send(i, to, Message::Gossip(gossip));
                }
                MembershipAction::Sync { peer } => {
                    let state = self.state(i);
                    self.call_peer(i, peer, Message::SyncState(state), Ctx::Sync);
                }
                MembershipAction::Changed { member, .. } => {
                    self.changes.push((self.now, i, member));
                }
                MembershipAction::Resumed { .. } => {
                    self.hosts[i].process.as_mut().unwrap().resumes += 1;
                }
                MembershipAction::Replaced { .. } => {
                    self.hosts[i].process.as_mut().unwrap().replaced = true;
                }
            }
        }
    }

    fn perform_config(&mut self, i: usize, actions: Vec<ConfigAction>) {
        for a in actions {
            match a {
                ConfigAction::Fetch { id, peer, generation } => {
                    let message = Message::FetchConfig { generation };
                    self.call_peer(i, peer, message, Ctx::Fetch(id));
                }
                ConfigAction::Push { to, config } => {
                    let json = serde_json::to_vec(&*config).unwrap();
                    self.call_peer(i, to, Message::Config { json }, Ctx::Push);
                }
                ConfigAction::Read { id } => {
                    self.call_platform(
                        i,
                        PlatformCall::Read { key: CONFIG.to_owned() },
                        Ctx::ConfigCall(id),
                    );
                }
                ConfigAction::Watch { id, after, wait } => {
                    self.call_platform(i, PlatformCall::Watch { after, wait }, Ctx::ConfigCall(id));
                }
                ConfigAction::WriteBack { id, config, version } => {
                    let value = serde_json::to_vec(&*config).unwrap();
                    let call = PlatformCall::Write { key: CONFIG.to_owned(), value, version };
                    self.call_platform(i, call, Ctx::ConfigCall(id));
                }
                ConfigAction::InForce(config) => {
                    let now = self.now;
                    let p = self.hosts[i].process.as_mut().unwrap();
                    let last = p.adoptions.last().map_or(0, |g| g.1);
                    assert!(
                        config.generation > last,
                        "seed {}: host {i} reverted to an older generation",
                        self.seed
                    );
                    p.adoptions.push((now, config.generation));
                }
            }
        }
    }

    fn perform_drain(&mut self, i: usize, actions: Vec<DrainAction>) {
        for a in actions {
            match a {
                DrainAction::Notify { to, notice } => self.send(i, to, Message::Leaving(notice)),
                DrainAction::Acknowledge { to, ack } => self.send(i, to, Message::LeavingAck(ack)),
                DrainAction::Refresh { peers } => {
                    let sent_at = self.hosts[i].local(self.now);
                    for peer in peers {
                        let state = self.state(i);
                        let message = Message::SyncState(state);
                        self.call_peer(i, peer, message, Ctx::Refresh { sent_at });
                    }
                }
                DrainAction::Leaving(_) | DrainAction::Expired(_) => {}
            }
        }
    }

    fn perform_usage(&mut self, i: usize, actions: Vec<UsageAction>) {
        for a in actions {
            match a {
                UsageAction::Report { to, report } => self.send(i, to, Message::Usage(report)),
                UsageAction::Collect { to, known_rows } => {
                    self.send(i, to, Message::UsageCollect { known_rows });
                }
                UsageAction::Confirm { to, seqs } => {
                    self.send(i, to, Message::UsageConfirm { seqs });
                }
                UsageAction::Write { month } => self.usage_read(i, month),
            }
        }
    }

    fn usage_read(&mut self, i: usize, month: Month) {
        self.call_platform(
            i,
            PlatformCall::Read { key: format!("usage/{month}") },
            Ctx::Usage(month),
        );
    }

    fn with_edit<F>(&mut self, i: usize, number: usize, f: F) -> EditAction
    where
        F: FnOnce(&mut ConfigEdit, Time, &mut StdRng) -> EditAction,
    {
        let now = self.hosts[i].local(self.now);
        let p = self.hosts[i].process.as_mut().unwrap();
        let (_, edit) = p.edits.iter_mut().find(|e| e.0 == number).unwrap();
        f(edit, now, &mut self.rng)
    }

    fn perform_edit(&mut self, i: usize, number: usize, action: EditAction) {
        match action {
            EditAction::Read => {
                self.call_platform(
                    i,
                    PlatformCall::Read { key: CONFIG.to_owned() },
                    Ctx::Edit(number),
                );
            }
            EditAction::Write { config, version } => {
                let value = serde_json::to_vec(&*config).unwrap();
                let call = PlatformCall::Write { key: CONFIG.to_owned(), value, version };
                self.call_platform(i, call, Ctx::Edit(number));
            }
            EditAction::Wait { until } => {
                let after = until.since(self.hosts[i].local(self.now));
                let epoch = self.hosts[i].epoch;
                self.schedule(after, Event::EditResume { host: i, epoch, edit: number });
            }
            EditAction::Done(result) => {
                let now = self.hosts[i].local(self.now);
                let p = self.hosts[i].process.as_mut().unwrap();
                let mut actions = Vec::new();
                if let Ok(config) = &result {
                    let rng = &mut self.rng;
                    actions = p.sync.on_edit(now, config.clone(), &p.members, rng);
                }
                self.perform_config(i, actions);
                self.edits.insert(number, EditOutcome { at: self.now, result });
            }
        }
    }

    /// Sends a call from host `i` to the platform.
    fn call_platform(&mut self, i: usize, call: PlatformCall, ctx: Ctx) {
        self.platform.call_count += 1;
        let epoch = self.hosts[i].epoch;
        let after = ms(self.rng.random_range(1..5));
        self.schedule(after, Event::PlatformCall { host: i, epoch, call, ctx });
    }

    fn handle_platform(&mut self, event: Event) {
        match event {
            Event::PlatformCall { host, epoch, call, ctx } => {
                if !self.reaches_platform(host) {
                    let (after, response) = match self.rng.random_bool(0.5) {
                        true => (ms(2), PlatformResponse::Refused),
                        false => (secs(1), PlatformResponse::Lost),
                    };
                    return self
                        .schedule(after, Event::PlatformResponse { host, epoch, response, ctx });
                }
                self.serve_call(host, epoch, call, ctx);
            }
            Event::WatchEnd { id } => {
                let Some(k) = self.platform.watches.iter().position(|w| w.0 == id) else { return };
                let (_, host, epoch, _, ctx) = self.platform.watches.swap_remove(k);
                // Half of the silent watches never receive a response.
                if !(self.platform.silent_watch && self.rng.random_bool(0.5)) {
                    let response = PlatformResponse::Unchanged;
                    self.schedule(ms(1), Event::PlatformResponse { host, epoch, response, ctx });
                }
            }
            _ => {}
        }
    }

    fn serve_call(&mut self, host: usize, epoch: u64, call: PlatformCall, ctx: Ctx) {
        let now = self.now;
        let response = match call {
            PlatformCall::Read { key } => {
                let read_lag = self.platform.read_lag.mul_f64(self.rng.random::<f64>());
                PlatformResponse::Object(self.platform.read_at(&key, now - read_lag))
            }
            PlatformCall::Watch { after, wait } => match self.platform.latest(CONFIG) {
                Some(o) if o.0 > after && !self.platform.silent_watch => {
                    PlatformResponse::Object(Some(o))
                }
                _ => {
                    self.next_id += 1;
                    let id = self.next_id;
                    self.platform.watches.push((id, host, epoch, after, ctx));
                    return self.schedule(wait, Event::WatchEnd { id });
                }
            },
            PlatformCall::Write { key, value, version } => {
                assert!(value.len() <= 1 << 20, "value too large");
                if self.platform.latest(&key).map(|o| o.0) != version {
                    PlatformResponse::Conflict
                } else {
                    if key == CONFIG {
                        let cfg: Config = serde_json::from_slice(&value).unwrap();
                        self.platform.accepted.push((now, cfg.generation));
                    }
                    let version = self.platform.put(now, &key, Some(value));
                    self.notify_watches(&key);
                    PlatformResponse::Written(version)
                }
            }
        };
        let lost = self.rng.random_bool(self.platform.response_loss);
        let (after, response) = if lost {
            (secs(1), PlatformResponse::Lost)
        } else {
            (ms(self.rng.random_range(1..5)), response)
        };
        self.schedule(after, Event::PlatformResponse { host, epoch, response, ctx });
    }

    /// Completes all watches after a write of the configuration.
    fn notify_watches(&mut self, key: &str) {
        if key != CONFIG || self.platform.silent_watch {
            return;
        }
        for (_, host, epoch, _, ctx) in std::mem::take(&mut self.platform.watches) {
            // A watch from a host that can no longer reach the platform gets no response.
            if self.reaches_platform(host) {
                let response = PlatformResponse::Object(self.platform.latest(CONFIG));
                self.schedule(ms(2), Event::PlatformResponse { host, epoch, response, ctx });
            }
        }
    }

    fn reaches_platform(&self, host: usize) -> bool {
        let cut_off = self.platform.cut_partitions.contains(&self.hosts[host].partition);
        !self.platform.down && !cut_off && !self.no_platform.contains(&host)
    }

    fn on_platform_response(&mut self, i: usize, response: PlatformResponse, ctx: Ctx) {
        let now = self.hosts[i].local(self.now);
        let wall_clock = self.wall_clock(i);
        let p = self.hosts[i].process.as_mut().unwrap();
        match ctx {
            Ctx::ConfigCall(id) => {
                let response = match response {
                    PlatformResponse::Object(Some((version, value))) => PlatformResult::Object {
                        version,
                        config: Arc::new(serde_json::from_slice(&value).unwrap()),
                    },
                    PlatformResponse::Object(None) => PlatformResult::Absent,
                    PlatformResponse::Unchanged => PlatformResult::Unchanged,
                    PlatformResponse::Written(version) => PlatformResult::Written { version },
                    PlatformResponse::Conflict => PlatformResult::Conflict,
                    PlatformResponse::Refused | PlatformResponse::Lost => PlatformResult::Failed,
                };
                let actions = p.sync.on_platform_result(now, id, response, &mut self.rng);
                self.perform_config(i, actions);
            }
            Ctx::Edit(number) => {
                let action = self.with_edit(i, number, |e, now, rng| match response {
                    PlatformResponse::Object(Some((version, value))) => {
                        let config = Arc::new(serde_json::from_slice(&value).unwrap());
                        e.on_read(now, ReadResult::Object { version, config }, rng)
                    }
                    PlatformResponse::Object(None) => e.on_read(now, ReadResult::Absent, rng),
                    PlatformResponse::Written(_) => e.on_write(now, WriteResult::Written, rng),
                    PlatformResponse::Conflict => e.on_write(now, WriteResult::Conflict, rng),
                    PlatformResponse::Refused
                    | PlatformResponse::Lost
                    | PlatformResponse::Unchanged => {
                        // Serves for a lost read as well: without a write in progress, the edit
                        // just tries again.
                        e.on_write(now, WriteResult::Lost("lost".into()), rng)
                    }
                });
                self.perform_edit(i, number, action);
            }
            Ctx::Usage(month) => {
                let PlatformResponse::Object(present) = response else { return };
                let version = present.as_ref().map(|o| o.0);
                let bytes = present.map(|o| o.1);
                let write = p.usage.encode(month, bytes.as_deref(), wall_clock).unwrap();
                match write.value.clone() {
                    Some(value) => {
                        let key = format!("usage/{month}");
                        let call = PlatformCall::Write { key, value, version };
                        self.call_platform(i, call, Ctx::UsageWrite(Box::new(write)));
                    }
                    None => {
                        let actions = p.usage.on_written(&write);
                        self.perform_usage(i, actions);
                    }
                }
            }
            Ctx::UsageWrite(write) => match response {
                PlatformResponse::Written(_) => {
                    let actions = p.usage.on_written(&write);
                    self.perform_usage(i, actions);
                }
                PlatformResponse::Conflict | PlatformResponse::Lost => {
                    self.usage_read(i, write.month)
                }
                _ => {}
            },
            _ => {}
        }
    }
}

/// Returns the peer address of host `i`.
pub fn addr(i: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (i / 250) as u8, (i % 250 + 1) as u8], 7_000))
}

/// Returns the address of a target.
pub fn target(i: u16) -> SocketAddr {
    SocketAddr::from(([10, 1, 0, 1], i))
}

/// Returns an edit of the pools table whose content depends on `slots`.
pub fn pools_edit(slots: u32) -> TableEdit {
    let text = format!(
        r#"{{"pools":[{{"name":"p","slots":{slots},"targets":[
        {{"name":"t1","addr":"10.1.0.1:1","failure_domain":"a"}}]}}]}}"#
    );
    TableEdit::parse(geraniummux_core::TableKind::Pools, &text).unwrap().0
}

/// Returns an edit of the routes table whose content depends on `timeout_ms`.
pub fn routes_edit(timeout_ms: u64) -> TableEdit {
    let text = format!(
        r#"{{"routes":[{{"name":"r","path":"/","tenant":"t","class":"c","pool":"p",
        "timeout_ms":{timeout_ms}}}]}}"#
    );
    TableEdit::parse(geraniummux_core::TableKind::Routes, &text).unwrap().0
}

/// Returns the kind under which the traffic of a message is counted.
fn message_kind(message: &Message) -> &'static str {
    match message {
        Message::Gossip(_) | Message::SyncState(_) | Message::State(_) => "membership",
        Message::FetchConfig { .. }
        | Message::Config { .. }
        | Message::NoNewerConfig
        | Message::NotReady
        | Message::Done => "config",
        Message::Leaving(_) | Message::LeavingAck(_) => "leaving",
        Message::Usage(_) | Message::UsageCollect { .. } | Message::UsageConfirm { .. } => "usage",
        _ => "other",
    }
}

/// Runs `check` for each seed and prints the seed if it panics.
pub fn for_each_seed<F>(seeds: std::ops::Range<u64>, check: F)
where
    F: Fn(u64) + std::panic::RefUnwindSafe,
{
    for seed in seeds {
        if let Err(e) = std::panic::catch_unwind(|| check(seed)) {
            eprintln!("failed with seed {seed}");
            std::panic::resume_unwind(e);
        }
    }
}
