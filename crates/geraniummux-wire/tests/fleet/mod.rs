//! A small fleet in virtual time: hosts with the core's decisions, a network that loses, delays and
//! cuts, and a platform that lags, is silent, is down or loses answers.

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

pub const WALL_START: u64 = 1_796_000_000_000;
const TICK: Duration = Duration::from_millis(50);

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

pub fn secs(n: u64) -> Duration {
    Duration::from_secs(n)
}

/// What a TCP exchange or a platform call belongs to.
#[derive(Clone, Debug)]
enum Ctx {
    Fetch(u64),
    Push,
    Sync,
    Refresh { asked: Time },
    Call(u64),
    Edit(usize),
    Usage(Month),
    UsageWrite(Box<UsageWrite>),
}

#[derive(Clone, Debug)]
enum Call {
    Read { key: String },
    Watch { after: u64, wait: Duration },
    Write { key: String, value: Vec<u8>, version: Option<u64> },
}

#[derive(Clone, Debug)]
enum Answer {
    Object(Option<(u64, Vec<u8>)>),
    Unchanged,
    Written(u64),
    Conflict,
    Refused,
    Lost,
}

#[derive(Clone, Debug)]
enum Event {
    Tick { host: usize, epoch: u64 },
    Datagram { to: SocketAddr, from: SocketAddr, frame: Vec<u8> },
    Request { to: SocketAddr, host: usize, epoch: u64, frame: Vec<u8>, ctx: Ctx },
    Response { host: usize, epoch: u64, from: SocketAddr, frame: Option<Vec<u8>>, ctx: Ctx },
    Call { host: usize, epoch: u64, call: Call, ctx: Ctx },
    Answer { host: usize, epoch: u64, answer: Answer, ctx: Ctx },
    WatchEnd { id: u64 },
    EditResume { host: usize, epoch: u64, edit: usize },
}

/// The decisions of one process.
pub struct Process {
    pub members: Membership,
    pub sync: ConfigSync,
    pub drain: TargetDrain,
    pub usage: UsageMerge,
    pub counters: UsageCounters,
    pub in_force: Vec<(Time, u64)>,
    pub resumed: u32,
    pub replaced: bool,
    edits: Vec<(usize, ConfigEdit)>,
}

pub struct Host {
    pub name: Arc<str>,
    pub addr: SocketAddr,
    pub domain: usize,
    pub region: usize,
    /// Hosts of different parts can't reach each other.
    pub part: usize,
    pub epoch: u64,
    pub process: Option<Process>,
    pub paused_until: Time,
    /// Difference of the host's monotonic clock, so that no instant of another host fits.
    offset: Duration,
    pub skew_ms: i64,
    /// Bytes sent and received, by kind of message.
    pub traffic: BTreeMap<&'static str, u64>,
}

impl Host {
    pub fn local(&self, now: Time) -> Time {
        now + self.offset
    }

    pub fn process(&self) -> &Process {
        self.process.as_ref().expect("the host is up")
    }
}

/// When a version was written, the version, and its value unless it was deleted.
type Stored = (Time, u64, Option<Vec<u8>>);

#[derive(Default)]
pub struct PlatformFake {
    pub down: bool,
    /// Parts of the network that can't reach it.
    pub cut: Vec<usize>,
    pub silent_watch: bool,
    /// Reads show the state of up to this long ago.
    pub lag: Duration,
    pub lost_answers: f64,
    objects: BTreeMap<String, Vec<Stored>>,
    last_version: u64,
    watches: Vec<(u64, usize, u64, u64, Ctx)>,
    pub calls: u64,
    /// When each generation was accepted.
    pub accepted: Vec<(Time, u64)>,
}

impl PlatformFake {
    fn latest(&self, key: &str) -> Option<(u64, Vec<u8>)> {
        let (_, version, value) = self.objects.get(key)?.last()?;
        Some((*version, value.clone()?))
    }

    fn at(&self, key: &str, time: Time) -> Option<(u64, Vec<u8>)> {
        let states = self.objects.get(key)?;
        let (_, version, value) = states.iter().rev().find(|s| s.0 <= time)?;
        Some((*version, value.clone()?))
    }

    /// Sets the object without condition, as an operator who restores a backup does.
    pub fn restore(&mut self, now: Time, key: &str, value: Option<Vec<u8>>) -> u64 {
        self.last_version += 1;
        self.objects.entry(key.to_owned()).or_default().push((now, self.last_version, value));
        self.last_version
    }

    pub fn config(&self) -> Option<Config> {
        let (_, value) = self.latest(CONFIG)?;
        serde_json::from_slice(&value).ok()
    }

    /// Ends all faults.
    pub fn repair(&mut self) {
        self.down = false;
        self.silent_watch = false;
        self.lag = Duration::ZERO;
        self.lost_answers = 0.0;
    }

    /// Returns all configurations that were ever written.
    pub fn history(&self) -> Vec<Config> {
        let states = self.objects.get(CONFIG).into_iter().flatten();
        let values = states.filter_map(|s| s.2.as_deref());
        values.map(|v| serde_json::from_slice(v).unwrap()).collect()
    }

    pub fn value(&self, key: &str) -> Option<Vec<u8>> {
        Some(self.latest(key)?.1)
    }
}

pub const CONFIG: &str = "config/tables";

pub struct Edited {
    pub at: Time,
    pub result: Result<Arc<Config>, EditError>,
}

pub struct Fleet {
    pub now: Time,
    pub seed: u64,
    pub hosts: Vec<Host>,
    pub platform: PlatformFake,
    pub loss: f64,
    pub rng: StdRng,
    /// All membership changes: when, observer, record.
    pub changes: Vec<(Time, usize, Member)>,
    /// Results of edits, by number.
    pub edits: BTreeMap<usize, Edited>,
    pub member_opts: MembershipOptions,
    /// Added to the wall clock of all hosts.
    pub wall_offset_ms: u64,
    /// Hosts whose TCP connections to peers fail.
    pub no_tcp: Vec<usize>,
    /// Hosts that can't reach the platform.
    pub unreachable_from: Vec<usize>,
    /// For how long each accepted generation could have been known, for the check of R7.
    pub exposed: Vec<(u64, Duration)>,
    pub checked: Time,
    /// Hosts that act as usage writer.
    pub holders: Vec<usize>,
    queue: BTreeMap<(Time, u64), Event>,
    next: u64,
    next_edit: usize,
    codec: Codec,
}

impl Fleet {
    /// Returns a fleet of `n` hosts in `regions` regions with three failure domains each, all off.
    pub fn new(seed: u64, n: usize, regions: usize) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let hosts = (0..n)
            .map(|i| Host {
                name: format!("entry-{i:03}").into(),
                addr: addr(i),
                domain: i % (3 * regions),
                region: i % regions,
                part: 0,
                epoch: 0,
                process: None,
                paused_until: Time::ZERO,
                offset: ms(rng.random_range(0..1_000_000)),
                skew_ms: rng.random_range(0..5_000),
                traffic: BTreeMap::new(),
            })
            .collect();
        Fleet {
            now: Time::from_millis(1_000_000),
            seed,
            hosts,
            platform: PlatformFake::default(),
            loss: 0.0,
            rng,
            changes: Vec::new(),
            edits: BTreeMap::new(),
            member_opts: MembershipOptions::default(),
            wall_offset_ms: 0,
            no_tcp: Vec::new(),
            unreachable_from: Vec::new(),
            exposed: Vec::new(),
            checked: Time::from_millis(1_000_000),
            holders: Vec::new(),
            queue: BTreeMap::new(),
            next: 0,
            next_edit: 0,
            codec: Codec::new(b"key"),
        }
    }

    /// Returns a fleet that has run for 10 s with a first configuration in force.
    pub fn started(seed: u64, n: usize, regions: usize) -> Self {
        let mut fleet = Fleet::new(seed, n, regions);
        let first = Config::default().with_edit(pools_edit(1), 0, "op", "first").unwrap();
        let now = fleet.now;
        fleet.platform.restore(now, CONFIG, Some(serde_json::to_vec(&first).unwrap()));
        for i in 0..n {
            fleet.start(i);
        }
        fleet.run(secs(10));
        fleet
    }

    pub fn wall(&self, host: usize) -> UnixMs {
        let wall = WALL_START + self.wall_offset_ms + self.now.as_micros() / 1_000;
        UnixMs(wall.saturating_add_signed(self.hosts[host].skew_ms))
    }

    pub fn start(&mut self, i: usize) {
        let now = self.hosts[i].local(self.now);
        let wall = self.wall(i);
        let seeds = (0..3).map(addr).collect();
        let h = &mut self.hosts[i];
        let me = Member {
            capacity: 0,
            name: h.name.clone(),
            addr: h.addr,
            http_addr: SocketAddr::new(h.addr.ip(), 8_080),
            failure_domain: format!("domain-{}", h.domain).into(),
            incarnation: wall.0,
            state: MemberState::Alive,
        };
        let id = ProcessId::new(h.name.clone(), wall, &mut self.rng);
        h.epoch += 1;
        h.paused_until = Time::ZERO;
        h.process = Some(Process {
            members: Membership::new(now, me, seeds, self.member_opts.clone(), &mut self.rng),
            sync: ConfigSync::new(now, ConfigSyncOptions::default()),
            drain: TargetDrain::new(now),
            usage: UsageMerge::new(now, id.clone()),
            counters: UsageCounters::new(id),
            in_force: Vec::new(),
            resumed: 0,
            replaced: false,
            edits: Vec::new(),
        });
        let epoch = h.epoch;
        self.push(Duration::ZERO, Event::Tick { host: i, epoch });
    }

    pub fn kill(&mut self, i: usize) {
        self.hosts[i].process = None;
        self.hosts[i].epoch += 1;
    }

    pub fn pause(&mut self, i: usize, length: Duration) {
        self.hosts[i].paused_until = self.now + length;
    }

    pub fn is_running(&self, i: usize) -> bool {
        self.hosts[i].process.is_some() && self.hosts[i].paused_until <= self.now
    }

    /// Returns what a host decides for a request now.
    pub fn permit(&self, i: usize) -> Option<Permit> {
        let h = &self.hosts[i];
        self.is_running(i).then(|| h.process().sync.permit(h.local(self.now)))
    }

    pub fn generation(&self, i: usize) -> u64 {
        self.hosts[i].process.as_ref().map_or(0, |p| p.sync.current().generation)
    }

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

    /// Starts an edit on a host; its result appears in `edits` under the returned number.
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

    pub fn count(&mut self, i: usize, class: &str) {
        let wall = self.wall(i);
        let p = self.hosts[i].process.as_mut().unwrap();
        p.counters.count(wall, &"tenant".into(), &class.into());
    }

    /// Lets host `i` write its unwritten usage now, as at the end of a shutdown.
    pub fn write_usage(&mut self, i: usize) {
        let now = self.hosts[i].local(self.now);
        let p = self.hosts[i].process.as_mut().unwrap();
        p.usage.merge_own(now, &p.counters);
        for month in p.usage.unwritten_months() {
            self.usage_read(i, month);
        }
    }

    fn push(&mut self, after: Duration, event: Event) {
        self.next += 1;
        self.queue.insert((self.now + after, self.next), event);
    }

    fn host_at(&self, addr: SocketAddr) -> Option<usize> {
        self.hosts.iter().position(|h| h.addr == addr && h.process.is_some())
    }

    fn latency(&mut self, a: usize, b: usize) -> Duration {
        let (x, y) = (&self.hosts[a], &self.hosts[b]);
        let base = match (x.region == y.region, x.domain == y.domain) {
            (false, _) => 120_000,
            (true, false) => 500,
            (true, true) => 100,
        };
        // A noisy neighbour now and then delays a packet by some milliseconds.
        let tail = if self.rng.random_bool(0.02) { self.rng.random_range(0..30_000) } else { 0 };
        Duration::from_micros(base + self.rng.random_range(0..200) + tail)
    }

    fn handle(&mut self, event: Event) {
        let host = match &event {
            Event::Tick { host, epoch }
            | Event::Response { host, epoch, .. }
            | Event::Answer { host, epoch, .. }
            | Event::EditResume { host, epoch, .. } => {
                (self.hosts[*host].epoch == *epoch).then_some(*host)
            }
            Event::Datagram { to, .. } => self.host_at(*to),
            Event::Request { to, host, epoch, ctx, .. } => match self.host_at(*to) {
                Some(i)
                    if self.hosts[i].part == self.hosts[*host].part
                        && !self.no_tcp.iter().any(|n| *n == i || n == host) =>
                {
                    Some(i)
                }
                _ => {
                    let (from, host, epoch, ctx) = (*to, *host, *epoch, ctx.clone());
                    let event = Event::Response { host, epoch, from, frame: None, ctx };
                    return self.push(secs(1), event);
                }
            },
            Event::Call { .. } | Event::WatchEnd { .. } => return self.handle_platform(event),
        };
        let Some(i) = host else { return };
        let until = self.hosts[i].paused_until;
        if until > self.now {
            // Everything that comes for a paused process waits in its sockets.
            return self.push(until.since(self.now), event);
        }
        if self.hosts[i].process.as_ref().is_some_and(|p| p.replaced) {
            return;
        }
        match event {
            Event::Tick { epoch, .. } => self.tick(i, epoch),
            Event::Datagram { from, frame, .. } => self.datagram(i, from, &frame),
            Event::Request { host, epoch, frame, ctx, .. } => {
                self.request(i, host, epoch, &frame, ctx);
            }
            Event::Response { from, frame, ctx, .. } => self.response(i, from, frame, ctx),
            Event::Answer { answer, ctx, .. } => self.answer(i, answer, ctx),
            Event::EditResume { edit, .. } => {
                let action = self.with_edit(i, edit, |e, _, _| e.resume());
                self.perform_edit(i, edit, action);
            }
            Event::Call { .. } | Event::WatchEnd { .. } => {}
        }
    }

    fn tick(&mut self, i: usize, epoch: u64) {
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
        self.push(TICK, Event::Tick { host: i, epoch });
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

    pub fn send(&mut self, i: usize, to: SocketAddr, message: Message) {
        let kind = kind(&message);
        let frame = self.codec.encode_datagram(&self.envelope(i, message)).unwrap();
        *self.hosts[i].traffic.entry(kind).or_default() += frame.len() as u64 + 28;
        *self.hosts[i].traffic.entry("datagrams").or_default() += 1;
        let Some(k) = self.host_at(to) else { return };
        if self.hosts[k].part != self.hosts[i].part || self.rng.random_bool(self.loss) {
            return;
        }
        *self.hosts[k].traffic.entry(kind).or_default() += frame.len() as u64 + 28;
        let after = self.latency(i, k);
        let from = self.hosts[i].addr;
        self.push(after, Event::Datagram { to, from, frame });
    }

    fn call_peer(&mut self, i: usize, to: SocketAddr, message: Message, ctx: Ctx) {
        let kind = kind(&message);
        let frame = self.codec.encode_stream(&self.envelope(i, message)).unwrap()[4..].to_vec();
        // Connection setup and teardown take about seven packets of 52 bytes.
        *self.hosts[i].traffic.entry(kind).or_default() += frame.len() as u64 + 4 + 364;
        let mut after = match self.host_at(to) {
            Some(k) => 3 * self.latency(i, k),
            None => ms(1),
        };
        if self.rng.random_bool(self.loss) {
            after += ms(200);
        }
        let epoch = self.hosts[i].epoch;
        self.push(after, Event::Request { to, host: i, epoch, frame, ctx });
    }

    fn datagram(&mut self, i: usize, from: SocketAddr, frame: &[u8]) {
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

    fn request(&mut self, i: usize, asker: usize, epoch: u64, frame: &[u8], ctx: Ctx) {
        let e = self.codec.decode_stream(frame).unwrap();
        let now = self.hosts[i].local(self.now);
        let asker_addr = self.hosts[asker].addr;
        let p = self.hosts[i].process.as_mut().unwrap();
        let config = p.sync.on_announcement(now, asker_addr, e.generation);
        self.perform_config(i, config);
        let p = self.hosts[i].process.as_mut().unwrap();
        let answer = match e.message {
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
        let kind = kind(&answer);
        let frame = self.codec.encode_stream(&self.envelope(i, answer)).unwrap()[4..].to_vec();
        *self.hosts[i].traffic.entry(kind).or_default() += frame.len() as u64 + 4;
        *self.hosts[asker].traffic.entry(kind).or_default() += frame.len() as u64 + 4;
        let after = self.latency(i, asker);
        let from = self.hosts[i].addr;
        self.push(after, Event::Response { host: asker, epoch, from, frame: Some(frame), ctx });
    }

    fn response(&mut self, i: usize, from: SocketAddr, frame: Option<Vec<u8>>, ctx: Ctx) {
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
                let answer = match message {
                    Some(Message::Config { json }) => {
                        FetchResult::Config(Arc::new(serde_json::from_slice(&json).unwrap()))
                    }
                    Some(Message::NoNewerConfig) => FetchResult::NoNewer,
                    Some(Message::NotReady) => FetchResult::NotReady,
                    _ => FetchResult::Failed,
                };
                let actions = p.sync.on_fetch_result(now, id, answer);
                self.perform_config(i, actions);
            }
            (Ctx::Sync, Some(Message::State(s))) => self.merge_state(i, s),
            (Ctx::Refresh { asked }, Some(Message::State(s))) => {
                let actions = p.drain.refreshed(now, asked, s.leaving);
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
                    self.hosts[i].process.as_mut().unwrap().resumed += 1;
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
                    self.call(i, Call::Read { key: CONFIG.to_owned() }, Ctx::Call(id));
                }
                ConfigAction::Watch { id, after, wait } => {
                    self.call(i, Call::Watch { after, wait }, Ctx::Call(id));
                }
                ConfigAction::WriteBack { id, config, version } => {
                    let value = serde_json::to_vec(&*config).unwrap();
                    let call = Call::Write { key: CONFIG.to_owned(), value, version };
                    self.call(i, call, Ctx::Call(id));
                }
                ConfigAction::InForce(config) => {
                    let now = self.now;
                    let p = self.hosts[i].process.as_mut().unwrap();
                    let last = p.in_force.last().map_or(0, |g| g.1);
                    assert!(config.generation > last, "seed {}: host {i} went back", self.seed);
                    p.in_force.push((now, config.generation));
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
                    let asked = self.hosts[i].local(self.now);
                    for peer in peers {
                        let state = self.state(i);
                        let message = Message::SyncState(state);
                        self.call_peer(i, peer, message, Ctx::Refresh { asked });
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
        self.call(i, Call::Read { key: format!("usage/{month}") }, Ctx::Usage(month));
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
                self.call(i, Call::Read { key: CONFIG.to_owned() }, Ctx::Edit(number));
            }
            EditAction::Write { config, version } => {
                let value = serde_json::to_vec(&*config).unwrap();
                let call = Call::Write { key: CONFIG.to_owned(), value, version };
                self.call(i, call, Ctx::Edit(number));
            }
            EditAction::Wait { until } => {
                let after = until.since(self.hosts[i].local(self.now));
                let epoch = self.hosts[i].epoch;
                self.push(after, Event::EditResume { host: i, epoch, edit: number });
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
                self.edits.insert(number, Edited { at: self.now, result });
            }
        }
    }

    fn call(&mut self, i: usize, call: Call, ctx: Ctx) {
        self.platform.calls += 1;
        let epoch = self.hosts[i].epoch;
        let after = ms(self.rng.random_range(1..5));
        self.push(after, Event::Call { host: i, epoch, call, ctx });
    }

    fn handle_platform(&mut self, event: Event) {
        match event {
            Event::Call { host, epoch, call, ctx } => {
                if !self.reaches_platform(host) {
                    let (after, answer) = match self.rng.random_bool(0.5) {
                        true => (ms(2), Answer::Refused),
                        false => (secs(1), Answer::Lost),
                    };
                    return self.push(after, Event::Answer { host, epoch, answer, ctx });
                }
                self.serve_call(host, epoch, call, ctx);
            }
            Event::WatchEnd { id } => {
                let Some(k) = self.platform.watches.iter().position(|w| w.0 == id) else { return };
                let (_, host, epoch, _, ctx) = self.platform.watches.swap_remove(k);
                // Half of the silent watches never end at all.
                if !(self.platform.silent_watch && self.rng.random_bool(0.5)) {
                    let answer = Answer::Unchanged;
                    self.push(ms(1), Event::Answer { host, epoch, answer, ctx });
                }
            }
            _ => {}
        }
    }

    fn serve_call(&mut self, host: usize, epoch: u64, call: Call, ctx: Ctx) {
        let now = self.now;
        let answer = match call {
            Call::Read { key } => {
                let lag = self.platform.lag.mul_f64(self.rng.random::<f64>());
                Answer::Object(self.platform.at(&key, now - lag))
            }
            Call::Watch { after, wait } => match self.platform.latest(CONFIG) {
                Some(o) if o.0 > after && !self.platform.silent_watch => Answer::Object(Some(o)),
                _ => {
                    self.next += 1;
                    let id = self.next;
                    self.platform.watches.push((id, host, epoch, after, ctx));
                    return self.push(wait, Event::WatchEnd { id });
                }
            },
            Call::Write { key, value, version } => {
                assert!(value.len() <= 1 << 20, "value too large");
                if self.platform.latest(&key).map(|o| o.0) != version {
                    Answer::Conflict
                } else {
                    if key == CONFIG {
                        let cfg: Config = serde_json::from_slice(&value).unwrap();
                        self.platform.accepted.push((now, cfg.generation));
                    }
                    let version = self.platform.restore(now, &key, Some(value));
                    self.notify_watches(&key);
                    Answer::Written(version)
                }
            }
        };
        let lost = self.rng.random_bool(self.platform.lost_answers);
        let (after, answer) =
            if lost { (secs(1), Answer::Lost) } else { (ms(self.rng.random_range(1..5)), answer) };
        self.push(after, Event::Answer { host, epoch, answer, ctx });
    }

    fn notify_watches(&mut self, key: &str) {
        if key != CONFIG || self.platform.silent_watch {
            return;
        }
        for (_, host, epoch, _, ctx) in std::mem::take(&mut self.platform.watches) {
            // A connection that was cut meanwhile delivers nothing.
            if self.reaches_platform(host) {
                let answer = Answer::Object(self.platform.latest(CONFIG));
                self.push(ms(2), Event::Answer { host, epoch, answer, ctx });
            }
        }
    }

    fn reaches_platform(&self, host: usize) -> bool {
        let cut = self.platform.cut.contains(&self.hosts[host].part);
        !self.platform.down && !cut && !self.unreachable_from.contains(&host)
    }

    fn answer(&mut self, i: usize, answer: Answer, ctx: Ctx) {
        let now = self.hosts[i].local(self.now);
        let wall = self.wall(i);
        let p = self.hosts[i].process.as_mut().unwrap();
        match ctx {
            Ctx::Call(id) => {
                let answer = match answer {
                    Answer::Object(Some((version, value))) => PlatformResult::Object {
                        version,
                        config: Arc::new(serde_json::from_slice(&value).unwrap()),
                    },
                    Answer::Object(None) => PlatformResult::Absent,
                    Answer::Unchanged => PlatformResult::Unchanged,
                    Answer::Written(version) => PlatformResult::Written { version },
                    Answer::Conflict => PlatformResult::Conflict,
                    Answer::Refused | Answer::Lost => PlatformResult::Failed,
                };
                let actions = p.sync.on_platform_result(now, id, answer, &mut self.rng);
                self.perform_config(i, actions);
            }
            Ctx::Edit(number) => {
                let action = self.with_edit(i, number, |e, now, rng| match answer {
                    Answer::Object(Some((version, value))) => {
                        let config = Arc::new(serde_json::from_slice(&value).unwrap());
                        e.on_read(now, ReadResult::Object { version, config }, rng)
                    }
                    Answer::Object(None) => e.on_read(now, ReadResult::Absent, rng),
                    Answer::Written(_) => e.on_write(now, WriteResult::Written, rng),
                    Answer::Conflict => e.on_write(now, WriteResult::Conflict, rng),
                    Answer::Refused | Answer::Lost | Answer::Unchanged => {
                        // Whether a read or a write was lost does not matter to a read.
                        e.on_write(now, WriteResult::Lost("lost".into()), rng)
                    }
                });
                self.perform_edit(i, number, action);
            }
            Ctx::Usage(month) => {
                let Answer::Object(present) = answer else { return };
                let version = present.as_ref().map(|o| o.0);
                let bytes = present.map(|o| o.1);
                let write = p.usage.encode(month, bytes.as_deref(), wall).unwrap();
                match write.value.clone() {
                    Some(value) => {
                        let key = format!("usage/{month}");
                        let call = Call::Write { key, value, version };
                        self.call(i, call, Ctx::UsageWrite(Box::new(write)));
                    }
                    None => {
                        let actions = p.usage.on_written(&write);
                        self.perform_usage(i, actions);
                    }
                }
            }
            Ctx::UsageWrite(write) => match answer {
                Answer::Written(_) => {
                    let actions = p.usage.on_written(&write);
                    self.perform_usage(i, actions);
                }
                Answer::Conflict | Answer::Lost => self.usage_read(i, write.month),
                _ => {}
            },
            _ => {}
        }
    }
}

pub fn addr(i: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (i / 250) as u8, (i % 250 + 1) as u8], 7_000))
}

pub fn target(i: u16) -> SocketAddr {
    SocketAddr::from(([10, 1, 0, 1], i))
}

pub fn pools_edit(slots: u32) -> TableEdit {
    let text = format!(
        r#"{{"pools":[{{"name":"p","slots":{slots},"targets":[
        {{"name":"t1","addr":"10.1.0.1:1","failure_domain":"a"}}]}}]}}"#
    );
    TableEdit::parse(geraniummux_core::TableKind::Pools, &text).unwrap().0
}

pub fn routes_edit(timeout_ms: u64) -> TableEdit {
    let text = format!(
        r#"{{"routes":[{{"name":"r","path":"/","tenant":"t","class":"c","pool":"p",
        "timeout_ms":{timeout_ms}}}]}}"#
    );
    TableEdit::parse(geraniummux_core::TableKind::Routes, &text).unwrap().0
}

fn kind(message: &Message) -> &'static str {
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

/// Runs `check` for each seed and names the seed if it fails.
pub fn over_seeds<F>(seeds: std::ops::Range<u64>, check: F)
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
