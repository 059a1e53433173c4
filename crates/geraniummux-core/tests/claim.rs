//! Simulates claims in virtual time on several hosts with pauses, kills, lost responses and platform
//! outages, and checks how often a simulated target runs each key's request.

use geraniummux_core::claim::{
    CallResult, Claim, ClaimAction, ClaimOptions, ClaimState, Delivery, MAX_CLAIM_BYTES,
    MAX_STORED_BODY_BYTES, Progress, StoredResponse, claim_name,
};
use geraniummux_core::{Fingerprint, Outcome, Reason, Time, UnixMs};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};
use std::sync::Arc;
use std::time::Duration;

const HOSTS: usize = 4;
const KEYS: usize = 6;
const ROUTE_TIMEOUT: Duration = Duration::from_secs(1);

/// How the hosts keep requests with the same key from running twice.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Mode {
    /// By claims in the platform.
    Claims,
    /// Naive: each host remembers only the keys of its own requests.
    HostCache,
    /// Naive: a running claim is taken over once it has expired.
    Takeover,
}

/// Probabilities and numbers of faults.
#[derive(Clone, Copy, Debug)]
struct Faults {
    /// Probability that the response of a platform call is lost.
    lost: f64,
    /// Probability that a write takes effect late and its response is lost.
    late_write: f64,
    outages: bool,
    pauses: u32,
    kills: u32,
    /// Probability that the delivery of a response to the caller fails.
    undelivered: f64,
    /// Whether the target refuses requests and loses responses.
    target: bool,
}

const ALL_FAULTS: Faults = Faults {
    lost: 0.08,
    late_write: 0.03,
    outages: true,
    pauses: 6,
    kills: 3,
    undelivered: 0.3,
    target: true,
};

const NO_FAULTS: Faults = Faults {
    lost: 0.0,
    late_write: 0.0,
    outages: false,
    pauses: 0,
    kills: 0,
    undelivered: 0.3,
    target: false,
};

#[derive(Debug)]
enum Ev {
    Start {
        key: usize,
        host: usize,
    },
    /// A platform call takes effect. Its result is reported after `reply_after` microseconds, unless
    /// it is lost.
    Apply {
        req: usize,
        action: ClaimAction,
        reply_after: u64,
        lost: bool,
    },
    Result {
        req: usize,
        result: CallResult,
    },
    Timer {
        req: usize,
        timer_generation: u32,
    },
    Send {
        req: usize,
    },
    TargetRuns {
        req: usize,
        deadline: u64,
    },
    TargetResponds {
        req: usize,
        outcome: Outcome,
        run: Option<usize>,
    },
    Delivery {
        req: usize,
        delivered: bool,
        replay: bool,
    },
    Pause {
        host: usize,
        for_ms: u64,
    },
    Kill {
        host: usize,
    },
}

struct Host {
    incarnation: u32,
    paused_until: u64,
    skew_ms: u64,
    cache: HashMap<usize, Option<usize>>,
}

struct Req {
    host: usize,
    incarnation: u32,
    key: usize,
    claim: ClaimState,
    deadline: u64,
    timer_generation: u32,
    reply: Option<Reply>,
    run: Option<usize>,
    fingerprint: Fingerprint,
}

#[derive(Clone, Debug, PartialEq)]
enum Reply {
    Served { run: usize },
    Error { outcome: Outcome, reason: Reason },
}

#[derive(Default)]
struct KeyRecord {
    /// Indices of the requests that the target ran.
    runs: Vec<usize>,
    /// How often the key's response was counted in the usage.
    counted: u32,
    /// How often the key's response was delivered.
    delivered: u32,
}

struct Sim {
    rng: StdRng,
    mode: Mode,
    faults: Faults,
    /// Virtual time in microseconds.
    now: u64,
    seq: u64,
    queue: BinaryHeap<Reverse<(u64, u64, usize)>>,
    events: Vec<Option<Ev>>,
    objects: BTreeMap<String, (u64, Vec<u8>)>,
    version: u64,
    outage: (u64, u64),
    hosts: Vec<Host>,
    reqs: Vec<Req>,
    keys: Vec<KeyRecord>,
    writes: u32,
    reads: u32,
    late_claims: u32,
}

const MS: u64 = 1_000;
const SECOND: u64 = 1_000_000;

impl Sim {
    fn new(seed: u64, mode: Mode, faults: Faults) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let hosts = (0..HOSTS)
            .map(|_| Host {
                incarnation: 0,
                paused_until: 0,
                skew_ms: rng.random_range(0..2_000),
                cache: HashMap::new(),
            })
            .collect();
        let outage = match faults.outages && rng.random_bool(0.5) {
            true => {
                let from = rng.random_range(0..60 * SECOND);
                (from, from + rng.random_range(SECOND..60 * SECOND))
            }
            false => (0, 0),
        };
        let mut sim = Sim {
            rng,
            mode,
            faults,
            now: 0,
            seq: 0,
            queue: BinaryHeap::new(),
            events: Vec::new(),
            objects: BTreeMap::new(),
            version: 0,
            outage,
            hosts,
            reqs: Vec::new(),
            keys: (0..KEYS).map(|_| KeyRecord::default()).collect(),
            writes: 0,
            reads: 0,
            late_claims: 0,
        };
        sim.schedule();
        sim
    }

    fn schedule(&mut self) {
        let mut starts = Vec::new();
        for key in 0..KEYS {
            let first = self.rng.random_range(0..60 * SECOND);
            let mut times = vec![first, 200 * SECOND, 201 * SECOND];
            for _ in 0..self.rng.random_range(0..5) {
                // Some repeats overlap with the first request, others follow the claim's expiry.
                let latest = if self.rng.random_bool(0.5) { 2 * SECOND } else { 90 * SECOND };
                times.push(first + self.rng.random_range(0..latest));
            }
            for time in times {
                let host = self.rng.random_range(0..HOSTS);
                self.at(time, Ev::Start { key, host });
                starts.push((time, host));
            }
        }
        // Pauses and kills hit hosts shortly after they have started a request.
        for n in 0..self.faults.pauses + self.faults.kills {
            let (time, host) = starts[self.rng.random_range(0..starts.len())];
            let at = time + self.rng.random_range(0..60 * MS);
            let for_ms = self.rng.random_range(100..60_000);
            let kill = n < self.faults.kills;
            self.at(at, if kill { Ev::Kill { host } } else { Ev::Pause { host, for_ms } });
        }
    }

    fn at(&mut self, time: u64, event: Ev) {
        self.seq += 1;
        self.events.push(Some(event));
        self.queue.push(Reverse((time.max(self.now), self.seq, self.events.len() - 1)));
    }

    fn time(&self) -> Time {
        Time::from_micros(self.now)
    }

    fn wall(&self, host: usize) -> UnixMs {
        UnixMs(1_000_000 + self.now / MS + self.hosts[host].skew_ms)
    }

    fn run(&mut self) {
        while let Some(Reverse((time, _, slot))) = self.queue.pop() {
            self.now = time;
            if time > 400 * SECOND {
                return;
            }
            let event = self.events[slot].take().expect("each event happens once");
            let Some(req) = req_of(&event) else {
                self.handle(event);
                continue;
            };
            let (host, incarnation) = (self.reqs[req].host, self.reqs[req].incarnation);
            if self.hosts[host].incarnation != incarnation {
                continue;
            }
            match self.hosts[host].paused_until {
                until if until > time => self.at(until, event),
                _ => self.handle(event),
            }
        }
    }

    fn handle(&mut self, event: Ev) {
        match event {
            Ev::Start { key, host } => self.start(key, host),
            Ev::Apply { req, action, reply_after, lost } => {
                let result = self.apply(req, &action);
                if !lost {
                    self.at(self.now + reply_after, Ev::Result { req, result });
                }
            }
            Ev::Result { req, result } => {
                let (now, wall) = (self.time(), self.wall(self.reqs[req].host));
                let actions = self.reqs[req].claim.on_result(now, wall, result);
                self.perform(req, actions);
            }
            Ev::Timer { req, timer_generation } => {
                if self.reqs[req].timer_generation == timer_generation {
                    let (now, wall) = (self.time(), self.wall(self.reqs[req].host));
                    let actions = self.reqs[req].claim.on_timer(now, wall);
                    self.perform(req, actions);
                }
            }
            Ev::Send { req } => self.send(req),
            Ev::TargetRuns { req, deadline } => self.target(req, deadline),
            Ev::TargetResponds { req, outcome, run } => self.on_target_response(req, outcome, run),
            Ev::Delivery { req, delivered, replay } => self.delivery(req, delivered, replay),
            Ev::Pause { host, for_ms } => {
                let until = self.now + for_ms * MS;
                self.hosts[host].paused_until = self.hosts[host].paused_until.max(until);
            }
            Ev::Kill { host } => {
                self.hosts[host].incarnation += 1;
                self.hosts[host].paused_until = self.now;
                self.hosts[host].cache.clear();
            }
        }
    }

    fn start(&mut self, key: usize, host: usize) {
        let incarnation = self.hosts[host].incarnation;
        let other = self.rng.random_bool(0.05);
        let body = if other { "other" } else { "body" };
        let fingerprint = Fingerprint::new("tenant", "POST", "/deposit", body.as_bytes());
        let deadline = self.now + SECOND;
        let req = self.reqs.len();
        let claim = ClaimState::new(ClaimOptions {
            name: claim_name("tenant", "route", &key.to_string()),
            holder: format!("host{host}/{incarnation}/{req}").into(),
            fingerprint,
            deadline: Time::from_micros(deadline),
            route_timeout: ROUTE_TIMEOUT,
            ..ClaimOptions::default()
        });
        let (reply, run) = (None, None);
        self.reqs.push(Req {
            host,
            incarnation,
            key,
            claim,
            deadline,
            timer_generation: 0,
            reply,
            run,
            fingerprint,
        });
        if self.mode == Mode::HostCache {
            match self.hosts[host].cache.get(&key) {
                Some(Some(run)) => self.reply(req, Reply::Served { run: *run }, true),
                Some(None) => {}
                None => {
                    self.hosts[host].cache.insert(key, None);
                    self.at(self.now, Ev::Send { req });
                }
            }
            return;
        }
        let (now, wall) = (self.time(), self.wall(host));
        let actions = self.reqs[req].claim.start(now, wall);
        self.perform(req, actions);
    }

    fn perform(&mut self, req: usize, actions: Vec<ClaimAction>) {
        for action in actions {
            match action {
                ClaimAction::StartTimer { at } => {
                    self.reqs[req].timer_generation += 1;
                    let timer_generation = self.reqs[req].timer_generation;
                    self.at(at.as_micros(), Ev::Timer { req, timer_generation });
                }
                ClaimAction::Granted => {
                    self.late_claims += u32::from(self.now >= self.reqs[req].deadline);
                    let delay = self.rng.random_range(0..2 * MS);
                    self.at(self.now + delay, Ev::Send { req });
                }
                ClaimAction::Replay { response } => {
                    let run = String::from_utf8(response.body).unwrap().parse().unwrap();
                    self.reply(req, Reply::Served { run }, true);
                }
                ClaimAction::Refused { outcome, reason } => {
                    self.reply(req, Reply::Error { outcome, reason }, false);
                }
                ClaimAction::Settled { .. } => {
                    let reply = match self.reqs[req].run {
                        Some(run) => Reply::Served { run },
                        None => self.reqs[req].reply.take().expect("a reply is pending"),
                    };
                    self.reply(req, reply, false);
                }
                ClaimAction::UsageDecided { counts } => {
                    self.keys[self.reqs[req].key].counted += u32::from(counts);
                }
                ClaimAction::Waiting | ClaimAction::Done => {}
                call => self.call(req, call),
            }
        }
    }

    /// Sends a platform call.
    fn call(&mut self, req: usize, action: ClaimAction) {
        assert!(encoded_len(&action) <= MAX_CLAIM_BYTES);
        let request_delay = self.rng.random_range(MS..3 * MS);
        let response_delay = self.rng.random_range(MS..3 * MS);
        let down = self.now >= self.outage.0 && self.now < self.outage.1;
        if down && self.rng.random_bool(0.7) {
            let result = CallResult::Unavailable;
            self.at(self.now + response_delay, Ev::Result { req, result });
            return;
        }
        let write = !matches!(action, ClaimAction::Read);
        let late = write && self.rng.random_bool(self.faults.late_write);
        let lost = late || down || self.rng.random_bool(self.faults.lost);
        if lost {
            // A write whose response is lost takes effect at once, later, or not at all.
            let timeout = self.now + 300 * MS;
            self.at(timeout, Ev::Result { req, result: CallResult::Indeterminate });
            if !late && self.rng.random_bool(0.5) {
                return;
            }
        }
        let delay = if late { self.rng.random_range(0..20 * SECOND) } else { request_delay };
        self.at(self.now + delay, Ev::Apply { req, action, reply_after: response_delay, lost });
    }

    /// Applies a platform call to the stored objects and returns its result.
    fn apply(&mut self, req: usize, action: &ClaimAction) -> CallResult {
        let name = self.reqs[req].claim.name().to_owned();
        let wall = UnixMs(1_000_000 + self.now / MS);
        let object_version = self.objects.get(&name).map(|(version, _)| *version);
        self.version += 1;
        self.reads += u32::from(*action == ClaimAction::Read);
        match (action, object_version) {
            (ClaimAction::Read, None) => CallResult::Absent,
            (ClaimAction::Read, Some(version)) => {
                let value = self.objects[&name].1.clone();
                let claim = Claim::decode(&value).unwrap();
                let running = claim.progress == Progress::Running;
                if self.mode == Mode::Takeover && running && wall > claim.expires_at {
                    self.objects.remove(&name);
                    return CallResult::Absent;
                }
                CallResult::Found { version, value }
            }
            (ClaimAction::Create { value }, None) => self.write(name, value),
            (ClaimAction::Update { value, version }, Some(present)) if *version == present => {
                self.write(name, value)
            }
            (ClaimAction::Delete { version }, Some(present)) if *version == present => {
                self.objects.remove(&name);
                self.writes += 1;
                CallResult::Written { version: 0 }
            }
            // Deleting a missing object succeeds.
            (ClaimAction::Delete { .. }, None) => CallResult::Written { version: 0 },
            _ => CallResult::Conflict,
        }
    }

    fn write(&mut self, name: String, value: &[u8]) -> CallResult {
        self.writes += 1;
        self.objects.insert(name, (self.version, value.to_vec()));
        CallResult::Written { version: self.version }
    }

    fn send(&mut self, req: usize) {
        // The deadline is checked directly before the send; a pause may still follow.
        if self.now >= self.reqs[req].deadline {
            self.on_target_response(req, Outcome::NotRun, None);
            return;
        }
        let delay = self.rng.random_range(200..MS);
        let deadline = self.reqs[req].deadline;
        self.at(self.now + delay, Ev::TargetRuns { req, deadline });
    }

    fn target(&mut self, req: usize, deadline: u64) {
        let service = self.now + self.rng.random_range(5 * MS..50 * MS);
        let roll = if self.faults.target { self.rng.random_range(0..100) } else { 50 };
        if self.now >= deadline || roll < 10 {
            self.at(self.now, Ev::TargetResponds { req, outcome: Outcome::NotRun, run: None });
            return;
        }
        let unknown = Ev::TargetResponds { req, outcome: Outcome::Unknown, run: None };
        if roll < 15 {
            self.at(service, unknown);
            return;
        }
        let key = self.reqs[req].key;
        self.keys[key].runs.push(req);
        let event = match roll {
            // The target runs the request, but its response is broken or too late.
            15..25 => unknown,
            _ => Ev::TargetResponds { req, outcome: Outcome::Served, run: Some(req) },
        };
        self.at(service, event);
    }

    fn on_target_response(&mut self, req: usize, outcome: Outcome, run: Option<usize>) {
        self.reqs[req].run = run;
        if self.mode == Mode::HostCache {
            let (host, key) = (self.reqs[req].host, self.reqs[req].key);
            self.hosts[host].cache.insert(key, run);
            if let Some(run) = run {
                self.reply(req, Reply::Served { run }, false);
            }
            return;
        }
        self.reqs[req].reply = Some(Reply::Error { outcome, reason: Reason::TargetFailed });
        let response = run.map(|run| StoredResponse {
            status: 200,
            headers: vec![("content-type".into(), "text/plain".into())],
            body: run.to_string().into_bytes(),
        });
        let now = self.time();
        let actions = self.reqs[req].claim.settle(now, outcome, response);
        self.perform(req, actions);
    }

    fn reply(&mut self, req: usize, reply: Reply, replay: bool) {
        let served = matches!(reply, Reply::Served { .. });
        self.reqs[req].reply = Some(reply);
        let delivered = !self.rng.random_bool(self.faults.undelivered);
        if served {
            // A host may notice late that a caller disconnected.
            let after = if delivered { 2 * MS } else { self.rng.random_range(MS..30 * SECOND) };
            self.at(self.now + after, Ev::Delivery { req, delivered, replay });
        }
    }

    fn delivery(&mut self, req: usize, delivered: bool, replay: bool) {
        let now = self.time();
        let key = self.reqs[req].key;
        self.keys[key].delivered += u32::from(delivered);
        let actions = match (replay, delivered) {
            (false, true) => {
                self.keys[key].counted += 1;
                return;
            }
            (false, false) => {
                let actions = self.reqs[req].claim.on_delivery_failed(now);
                self.perform(req, actions);
                // Both ends of the transfer may report the failure.
                self.reqs[req].claim.on_delivery_failed(now)
            }
            (true, true) => self.reqs[req].claim.on_replay_delivered(now),
            (true, false) => return,
        };
        self.perform(req, actions);
    }

    /// Returns a description of each violated invariant.
    fn violations(&self) -> Vec<String> {
        let mut violations = Vec::new();
        for (key, record) in self.keys.iter().enumerate() {
            if record.runs.len() > 1 {
                violations.push(format!("key {key}: request ran {} times", record.runs.len()));
            }
            if record.counted > 1 || record.counted > record.delivered {
                violations.push(format!(
                    "key {key}: response counted {} times in the usage",
                    record.counted
                ));
            }
        }
        if self.late_claims > 0 {
            violations.push(format!("{} claims granted after the deadline", self.late_claims));
        }
        for (_, value) in self.objects.values() {
            let claim = Claim::decode(value).unwrap();
            let n: usize = claim.holder.rsplit('/').next().unwrap().parse().unwrap();
            let alive = self.hosts[self.reqs[n].host].incarnation == self.reqs[n].incarnation;
            if claim.progress == Progress::Running && alive {
                violations.push(format!("claim of {} was never released", claim.holder));
            }
        }
        for (n, req) in self.reqs.iter().enumerate() {
            let runs = &self.keys[req.key].runs;
            let agrees = match &req.reply {
                Some(Reply::Served { run }) => {
                    runs.contains(run) && self.reqs[*run].fingerprint == req.fingerprint
                }
                Some(Reply::Error { outcome: Outcome::NotRun, .. }) => !runs.contains(&n),
                _ => true,
            };
            if !agrees {
                violations.push(format!(
                    "request {n} received {:?}, but the key's runs are {runs:?}",
                    req.reply
                ));
            }
        }
        violations
    }
}

fn req_of(event: &Ev) -> Option<usize> {
    match event {
        Ev::Result { req, .. }
        | Ev::Timer { req, .. }
        | Ev::Send { req }
        | Ev::TargetResponds { req, .. }
        | Ev::Delivery { req, .. } => Some(*req),
        // Calls in flight and the target are not part of a host, so its faults don't affect them.
        _ => None,
    }
}

fn encoded_len(action: &ClaimAction) -> usize {
    match action {
        ClaimAction::Create { value } | ClaimAction::Update { value, .. } => value.len(),
        _ => 0,
    }
}

/// Runs the simulation for each seed and returns the seeds with violated invariants, with the first
/// violation.
fn faulty_seeds(mode: Mode, seeds: u64) -> Vec<(u64, String)> {
    let mut faulty = Vec::new();
    let (mut runs, mut replies, mut counted) = (0, [0; 3], 0);
    for seed in 0..seeds {
        let mut sim = Sim::new(seed, mode, ALL_FAULTS);
        sim.run();
        runs += sim.keys.iter().map(|k| k.runs.len()).sum::<usize>();
        counted += sim.keys.iter().map(|k| k.counted).sum::<u32>();
        for req in &sim.reqs {
            match req.reply {
                Some(Reply::Served { .. }) => replies[0] += 1,
                Some(Reply::Error { outcome: Outcome::NotRun, .. }) => replies[1] += 1,
                Some(Reply::Error { .. }) => replies[2] += 1,
                None => {}
            }
        }
        if let Some(violation) = sim.violations().into_iter().next() {
            faulty.push((seed, violation));
        }
    }
    println!(
        "{mode:?}: {runs} runs, replies served/not-run/unknown {replies:?}, counted {counted}, \
         {} of {seeds} seeds with faults, first {:?}",
        faulty.len(),
        faulty.first()
    );
    faulty
}

/// Guards against a second run of a key's request, a reply that contradicts the runs, and a response
/// that is counted twice in the usage.
#[test]
fn claim_faults_over_seeds() {
    let faulty = faulty_seeds(Mode::Claims, 3_000);
    assert!(faulty.is_empty(), "{faulty:?}");
}

/// Checks the simulation itself: it must find the faults of the naive modes.
#[test]
fn claim_naive_modes_fail() {
    assert!(!faulty_seeds(Mode::HostCache, 300).is_empty());
    assert!(!faulty_seeds(Mode::Takeover, 300).is_empty());
}

/// Guards against claims that are safe only because they refuse requests: without faults of the
/// platform, hosts and target, every request must be served, with few writes.
#[test]
fn claim_no_faults_all_served() {
    let (mut requests, mut writes, mut reads) = (0, 0, 0);
    for seed in 0..300 {
        let mut sim = Sim::new(seed, Mode::Claims, NO_FAULTS);
        sim.run();
        assert_eq!(sim.violations(), Vec::<String>::new(), "seed {seed}");
        for (key, record) in sim.keys.iter().enumerate() {
            assert_eq!(record.runs.len(), 1, "seed {seed}, key {key}");
            assert_eq!(record.counted, record.delivered.min(1), "seed {seed}, key {key}");
            let first = sim.reqs[record.runs[0]].fingerprint;
            for req in sim.reqs.iter().filter(|r| r.key == key) {
                let served = matches!(req.reply, Some(Reply::Served { .. }));
                let key_reused =
                    Some(Reply::Error { outcome: Outcome::NotRun, reason: Reason::KeyReused });
                assert!(if req.fingerprint == first { served } else { req.reply == key_reused });
            }
        }
        requests += sim.reqs.len();
        writes += sim.writes;
        reads += sim.reads;
        // A create and an update per key, plus one update for an undelivered response and one for a
        // counted replay.
        assert!(sim.writes <= 4 * KEYS as u32, "seed {seed}: {} writes", sim.writes);
    }
    let keys = 300 * KEYS;
    println!("no faults: {keys} keys, {requests} requests, {writes} writes, {reads} reads");
}

fn claim_with(progress: Progress) -> Claim {
    Claim {
        holder: Arc::from("h/1/1"),
        fingerprint: Fingerprint::new("t", "POST", "/", b""),
        expires_at: UnixMs(1_000),
        write_id: Arc::from("h/1/1/0"),
        progress,
    }
}

#[test]
fn encode_largest_answer_fits() {
    // A control character takes six bytes in JSON.
    let headers = vec![("x".repeat(8), "\u{1}".repeat((8 << 10) - 8))];
    let response = StoredResponse { status: 200, headers, body: vec![0xff; MAX_STORED_BODY_BYTES] };
    assert!(response.is_storable());
    let claim = claim_with(Progress::Done { response: Some(response), delivery: Delivery::Runner });
    let value = claim.encode();
    assert!(value.len() <= MAX_CLAIM_BYTES, "{}", value.len());
    assert_eq!(Claim::decode(&value), Some(claim));
    let small = StoredResponse { status: 201, headers: vec![], body: vec![b'x'; 1 << 10] };
    let done = Progress::Done { response: Some(small), delivery: Delivery::Runner };
    let sizes = [Progress::Running, done].map(|p| claim_with(p).encode().len());
    println!("running {} B, 1 KiB response {} B, largest {} B", sizes[0], sizes[1], value.len());
    let mut padded = value;
    padded.resize(MAX_CLAIM_BYTES + 1, b' ');
    assert_eq!(Claim::decode(&padded), None);
}

/// Guards against stored responses that exceed the platform's limit for objects.
#[test]
fn settle_long_response_not_stored() {
    let options = ClaimOptions { deadline: Time::from_millis(1_000), ..ClaimOptions::default() };
    let mut state = ClaimState::new(options);
    let (now, wall) = (Time::ZERO, UnixMs(0));
    state.start(now, wall);
    let actions = state.on_result(now, wall, CallResult::Written { version: 1 });
    assert_eq!(actions, [ClaimAction::Granted]);
    let long =
        StoredResponse { status: 200, headers: vec![], body: vec![0; MAX_STORED_BODY_BYTES + 1] };
    let actions = state.settle(now, Outcome::Served, Some(long));
    let [ClaimAction::Update { value, version: 1 }, _] = &actions[..] else {
        panic!("expected an update, got {actions:?}");
    };
    let progress = Claim::decode(value).unwrap().progress;
    assert_eq!(progress, Progress::Done { response: None, delivery: Delivery::Runner });
}

#[test]
fn is_retention_over_after_a_day() {
    let claim = claim_with(Progress::Unknown);
    assert!(!claim.is_retention_over(UnixMs(1_000 + 24 * 3_600_000)));
    assert!(claim.is_retention_over(UnixMs(1_001 + 24 * 3_600_000)));
}

/// Guards against a claim that is never released: its create took effect late, while the host was
/// paused, and the host handled the result of the delete only after the claim had expired.
#[test]
fn release_reads_again_after_pause() {
    let options = ClaimOptions { deadline: Time::from_millis(1_000), ..ClaimOptions::default() };
    let mut state = ClaimState::new(options);
    let (now, wall) = (Time::ZERO, UnixMs(0));
    state.start(now, wall);
    state.on_result(now, wall, CallResult::Indeterminate);
    state.on_timer(now, wall);
    state.on_result(now, wall, CallResult::Absent);
    state.on_result(now, wall, CallResult::Written { version: 1 });
    let actions = state.settle(now, Outcome::NotRun, None);
    assert_eq!(actions[0], ClaimAction::Delete { version: 1 });
    let (later, late) = (Time::from_millis(60_000), UnixMs(60_000));
    let actions = state.on_result(later, late, CallResult::Written { version: 0 });
    assert_eq!(actions, [ClaimAction::Settled { stored: true }, ClaimAction::Read]);
    let actions = state.on_result(later, late, CallResult::Absent);
    assert_eq!(actions, [ClaimAction::Done]);
}

/// Guards against requests that hang because a platform call hangs.
#[test]
fn on_timer_call_takes_too_long() {
    let options = ClaimOptions { deadline: Time::from_millis(9_000), ..ClaimOptions::default() };
    let (now, wall) = (Time::ZERO, UnixMs(0));
    let (later, late) = (Time::from_millis(500), UnixMs(500));
    let mut state = ClaimState::new(options.clone());
    let actions = state.start(now, wall);
    assert_eq!(actions.last(), Some(&ClaimAction::StartTimer { at: later }));
    let refused =
        ClaimAction::Refused { outcome: Outcome::Unknown, reason: Reason::ClaimUnavailable };
    assert_eq!(state.on_timer(later, late), [refused]);
    // The create took effect nevertheless, so the claim is released.
    let actions = state.on_result(later, late, CallResult::Written { version: 1 });
    assert_eq!(actions, [ClaimAction::Delete { version: 1 }]);

    let mut state = ClaimState::new(options);
    state.start(now, wall);
    state.on_result(now, wall, CallResult::Written { version: 1 });
    state.settle(now, Outcome::Unknown, None);
    assert_eq!(state.on_timer(later, late), [ClaimAction::Settled { stored: false }]);
    let actions = state.on_result(later, late, CallResult::Written { version: 2 });
    assert_eq!(actions, [ClaimAction::Done]);
}

/// Guards against a request that stops waiting for another request's claim before its deadline, and
/// against an unbounded number of polls.
#[test]
fn waiting_polls_until_answer() {
    let fingerprint = Fingerprint::new("t", "POST", "/", b"");
    let deadline = Time::from_millis(9_000);
    let mut state =
        ClaimState::new(ClaimOptions { fingerprint, deadline, ..ClaimOptions::default() });
    let mut now = Time::ZERO;
    let wall = UnixMs(0);
    let found = |progress| CallResult::Found { version: 1, value: claim_with(progress).encode() };
    state.start(now, wall);
    state.on_result(now, wall, CallResult::Conflict);
    let mut actions = state.on_result(now, wall, found(Progress::Running));
    assert_eq!(actions[0], ClaimAction::Waiting);
    let mut polls = 0;
    while now < Time::from_millis(6_000) {
        let Some(ClaimAction::StartTimer { at }) = actions.last() else {
            panic!("expected a timer, got {actions:?}");
        };
        now = *at;
        let reads = state.on_timer(now, wall);
        assert_eq!(reads[0], ClaimAction::Read);
        assert!(matches!(reads[1..], [ClaimAction::StartTimer { at }] if at > now));
        polls += 1;
        actions = state.on_result(now, wall, found(Progress::Running));
    }
    assert!(polls <= 20, "{polls} polls in 6 s");
    let response = StoredResponse { status: 200, headers: vec![], body: vec![1] };
    state.on_timer(now, wall);
    let done = Progress::Done { response: Some(response.clone()), delivery: Delivery::Runner };
    assert_eq!(state.on_result(now, wall, found(done)), [ClaimAction::Replay { response }]);
}

/// Guards against the replay of a stored response whose status is none, which earlier builds stored as a target sent it.
#[test]
fn on_result_stored_status_that_is_none_is_not_replayed() {
    let fingerprint = Fingerprint::new("t", "POST", "/", b"");
    let deadline = Time::from_millis(9_000);
    for status in [0, 99, 101, 199, 600, 700, 999, 1_000, u16::MAX] {
        let mut state =
            ClaimState::new(ClaimOptions { fingerprint, deadline, ..ClaimOptions::default() });
        let response = StoredResponse { status, headers: vec![], body: vec![1] };
        assert!(!response.is_storable(), "{status}");
        let done = Progress::Done { response: Some(response), delivery: Delivery::Runner };
        let found = CallResult::Found { version: 1, value: claim_with(done).encode() };
        let (now, wall) = (Time::ZERO, UnixMs(0));
        state.start(now, wall);
        state.on_result(now, wall, CallResult::Conflict);
        let actions = state.on_result(now, wall, found);
        let refused =
            ClaimAction::Refused { outcome: Outcome::Unknown, reason: Reason::ResponseNotStored };
        assert_eq!(actions[0], refused, "{status}");
    }
}
