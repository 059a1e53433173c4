//! A virtual-time model of entry hosts and targets for policy benches.
//!
//! Targets have slots and a first-in-first-out queue, and their speed changes at random. Hosts use
//! the real load table and balancer. All randomness comes from the seed.
//!
//! The model reproduces the trial figures of the design page: service times of 5 ms plus an
//! exponential part with a mean of 5 ms, and drops to 0.3 of the speed every 200 ms for 30 ms, both
//! exponential. The load is a part of the capacity without drops.

use geraniummux_core::balance::{Balancer, BalancerOptions, Exclusion, Policy};
use geraniummux_core::load::{
    AttemptEnd, DIGEST_ENTRY_LEN, DIGEST_FRAME_LEN, LoadDigest, LoadOptions, LoadReport, LoadTable,
    PeerReports, TargetId,
};
use geraniummux_core::{Pool, Time};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

pub const SLOTS: usize = 6;
const DOMAINS: usize = 3;
/// One way, in microseconds, within and between failure domains.
const NEAR_US: u64 = 50;
const FAR_US: u64 = 500;
/// The mean of the service times at full speed.
pub const SERVICE_US: f64 = 10_000.0;
/// Requests that arrive before this are not measured.
const WARM_UP_US: u64 = 2_000_000;
/// A failed request counts as this latency: the caller's timeout.
const TIMEOUT_US: u64 = 1_000_000;

/// Who chooses the target.
#[derive(Clone, Debug)]
pub enum Chooser {
    /// The balancer under test, with or without digests between hosts.
    Balancer { options: BalancerOptions, load: LoadOptions, digests: bool },
    /// Knows the queues (including requests on the wire) and the speeds of all targets at the
    /// moment of the choice, but neither the future nor the size of requests.
    PerfectKnowledge,
}

impl Chooser {
    pub fn for_policy(policy: Policy) -> Self {
        Chooser::Balancer {
            options: BalancerOptions { policy, ..BalancerOptions::default() },
            load: LoadOptions {
                peer_reports: match policy {
                    Policy::SharedBest => PeerReports::All,
                    _ => PeerReports::HighLoad,
                },
                ..LoadOptions::default()
            },
            digests: policy == Policy::Estimate,
        }
    }

    pub fn name(&self) -> String {
        match self {
            Chooser::Balancer { options, .. } => options.policy.as_str().to_owned(),
            Chooser::PerfectKnowledge => "perfect-knowledge".to_owned(),
        }
    }
}

/// What happens to target 0, or to all targets, besides the short drops of speed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Scenario {
    None,
    /// Target 0 runs at 0.3 of its speed throughout.
    Straggler,
    /// Target 0 answers each request at once with a failure and reports that it is idle.
    FailFast,
    /// Target 0 joins after 4 s and its speed rises from 0.2 to 1 within 2 s.
    ColdStart,
    /// All targets of a failure domain drop to 0.5 together for 20 to 100 ms.
    NoisyNeighbours,
    /// Target 0 always reports that it is idle.
    Liar,
}

impl Scenario {
    pub const ALL: [Scenario; 6] = [
        Scenario::None,
        Scenario::Straggler,
        Scenario::FailFast,
        Scenario::ColdStart,
        Scenario::NoisyNeighbours,
        Scenario::Liar,
    ];
}

#[derive(Clone, Debug)]
pub struct Model {
    pub targets: usize,
    pub hosts: usize,
    /// Part of the capacity, at the mean speed, that the requests take.
    pub load: f64,
    pub scenario: Scenario,
    /// Mean time between two drops of a target's speed, in microseconds.
    pub slowdown_interval_us: f64,
    /// Mean duration of a drop, in microseconds.
    pub slowdown_us: f64,
    pub slowdown_speed: f64,
    /// Part of the service time that is constant; the rest is exponential.
    pub constant_share: f64,
    pub duration: Duration,
    pub hedge_budget: f64,
    /// Whether a hedge takes a service time of its own, or the same as the first attempt.
    pub redraw_service_time: bool,
    /// Quantile of the host's answers after which a hedge is sent.
    pub hedge_quantile: f64,
    /// Probes per second and target.
    pub probes_per_s: f64,
    pub seed: u64,
}

impl Model {
    pub fn new(load: f64, scenario: Scenario, seed: u64) -> Self {
        Model {
            targets: 15,
            hosts: 18,
            load,
            scenario,
            slowdown_interval_us: 200_000.0,
            slowdown_us: 30_000.0,
            slowdown_speed: 0.3,
            constant_share: 0.5,
            duration: Duration::from_secs(12),
            hedge_budget: 0.0,
            redraw_service_time: true,
            hedge_quantile: 0.95,
            probes_per_s: 0.0,
            seed,
        }
    }
}

/// The result of a run.
#[derive(Clone, Debug, Default)]
pub struct RunStats {
    /// Sorted, in microseconds.
    pub latencies: Vec<u32>,
    /// Requests sent to target 0 and to all targets.
    pub target0_attempts: u64,
    pub attempts: u64,
    pub requests: u64,
    pub hedges: u64,
    pub failed: u64,
    /// Bytes of digests sent per host and second.
    pub digest_bytes_per_s: f64,
    /// Sends to target 0 by 100 ms after it joined.
    pub target0_after_join: Vec<u32>,
}

impl RunStats {
    /// Returns a percentile in ms.
    pub fn percentile(&self, p: f64) -> f64 {
        if self.latencies.is_empty() {
            return 0.0;
        }
        let i = ((self.latencies.len() as f64 * p / 100.0) as usize).min(self.latencies.len() - 1);
        f64::from(self.latencies[i]) / 1e3
    }

    pub fn merge(mut self, other: RunStats) -> Self {
        self.latencies.extend(other.latencies);
        self.latencies.sort_unstable();
        self.target0_attempts += other.target0_attempts;
        self.attempts += other.attempts;
        self.requests += other.requests;
        self.hedges += other.hedges;
        self.failed += other.failed;
        self.digest_bytes_per_s = self.digest_bytes_per_s.max(other.digest_bytes_per_s);
        for (i, n) in other.target0_after_join.iter().enumerate() {
            if i < self.target0_after_join.len() {
                self.target0_after_join[i] += n;
            } else {
                self.target0_after_join.push(*n);
            }
        }
        self
    }
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Arrive { host: u32 },
    Reach { attempt: u32 },
    Finish { target: u32, version: u32 },
    Answer { attempt: u32, failed: bool, running: u32, queued: u32 },
    CancelReach { attempt: u32 },
    HedgeDue { request: u32 },
    Drop { target: u32 },
    DropEnd { target: u32 },
    Noise,
    NoiseEnd { domain: u32 },
    Digest { host: u32 },
    DigestReach { host: u32, digest: u32 },
    Probe { target: u32 },
    ProbeReach { target: u32, running: u32, queued: u32 },
    Join,
    Warm,
}

struct Target {
    domain: usize,
    running: Vec<(u32, f64)>,
    queue: VecDeque<u32>,
    drops: u32,
    noise: u32,
    base: f64,
    updated: u64,
    version: u32,
    on_wire: u32,
}

impl Target {
    fn speed(&self, m: &Model) -> f64 {
        let drop = if self.drops > 0 { m.slowdown_speed } else { 1.0 };
        let noise = if self.noise > 0 { 0.5 } else { 1.0 };
        self.base * drop * noise
    }
}

struct Host {
    domain: usize,
    table: LoadTable,
    balancer: Option<Balancer>,
    rng: SmallRng,
    recent: Vec<u32>,
    recent_next: usize,
    p95: u64,
    hedge_tokens: f64,
    retry_tokens: f64,
}

struct Request {
    host: u32,
    at: u64,
    work: f64,
    done: bool,
    live: u32,
    tried: Vec<u32>,
    attempts: Vec<u32>,
}

#[derive(Clone, Copy, Eq, PartialEq)]
enum Place {
    Wire,
    Queue,
    Running,
    Gone,
}

struct Attempt {
    request: u32,
    target: u32,
    sent_at: u64,
    place: Place,
    cancelled: bool,
}

pub struct Sim {
    m: Model,
    chooser: Chooser,
    now: u64,
    seq: u64,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    targets: Vec<Target>,
    hosts: Vec<Host>,
    ids: Vec<TargetId>,
    requests: Vec<Request>,
    attempts: Vec<Attempt>,
    digests: Vec<LoadDigest>,
    rng: SmallRng,
    figures: RunStats,
    pool: Pool,
    joined: bool,
    digest_bytes: f64,
}

pub fn pool(targets: usize) -> Pool {
    let targets: Vec<serde_json::Value> = (0..targets)
        .map(|i| {
            serde_json::json!({"name": format!("t{i:04}"), "addr": format!("10.0.{}.{}:80", i / 250, i % 250),
                "failure_domain": format!("d{}", i % DOMAINS)})
        })
        .collect();
    serde_json::from_value(serde_json::json!({"name": "p", "targets": targets})).unwrap()
}

pub fn run(m: &Model, chooser: &Chooser) -> RunStats {
    Sim::new(m.clone(), chooser.clone()).run()
}

impl Sim {
    fn new(m: Model, chooser: Chooser) -> Self {
        let whole = pool(m.targets);
        let mut first = whole.clone();
        let joins = m.scenario == Scenario::ColdStart;
        if joins {
            first.targets.remove(0);
        }
        let (options, load) = match &chooser {
            Chooser::Balancer { options, load, .. } => (Some(options.clone()), load.clone()),
            Chooser::PerfectKnowledge => (None, LoadOptions::default()),
        };
        let hosts = (0..m.hosts)
            .map(|h| {
                let table = LoadTable::new(std::slice::from_ref(&first), load.clone());
                let domain: Arc<str> = format!("d{}", h % DOMAINS).into();
                let balancer = options.clone().map(|o| Balancer::new(&first, &table, domain, o));
                Host {
                    domain: h % DOMAINS,
                    table,
                    balancer,
                    rng: SmallRng::seed_from_u64(m.seed * 1000 + h as u64),
                    recent: Vec::new(),
                    recent_next: 0,
                    p95: u64::MAX,
                    hedge_tokens: 0.0,
                    retry_tokens: 10.0,
                }
            })
            .collect();
        let targets = (0..m.targets)
            .map(|i| Target {
                domain: i % DOMAINS,
                running: Vec::new(),
                queue: VecDeque::new(),
                drops: 0,
                noise: 0,
                base: match (i, m.scenario) {
                    (0, Scenario::Straggler) => 0.3,
                    (0, Scenario::ColdStart) => 0.2,
                    _ => 1.0,
                },
                updated: 0,
                version: 0,
                on_wire: 0,
            })
            .collect();
        let seed = m.seed;
        let mut sim = Sim {
            m,
            chooser,
            now: 0,
            seq: 0,
            events: BinaryHeap::new(),
            targets,
            hosts,
            ids: Vec::new(),
            requests: Vec::new(),
            attempts: Vec::new(),
            digests: Vec::new(),
            rng: SmallRng::seed_from_u64(seed),
            figures: RunStats::default(),
            pool: whole,
            joined: !joins,
            digest_bytes: 0.0,
        };
        sim.find_ids();
        sim
    }

    /// Ids are the same in the tables of all hosts, since these go through the same updates.
    fn find_ids(&mut self) {
        let table = &self.hosts[0].table;
        let names = self.pool.targets.iter().map(|t| &*t.name);
        self.ids = names.map(|n| table.id("p", n).unwrap_or(TargetId(u32::MAX))).collect();
    }

    fn at(&mut self, time: u64, event: Event) {
        self.seq += 1;
        self.events.push(Reverse((time, self.seq, event)));
    }

    fn exp(&mut self, mean: f64) -> u64 {
        let u: f64 = self.rng.random();
        (-(1.0 - u).ln() * mean) as u64
    }

    /// Returns the part of the targets' capacity that is there: without the short drops, which
    /// come on top of the load, but without the troubled target as well.
    fn capacity_left(&self) -> f64 {
        let targets = self.m.targets as f64;
        match self.m.scenario {
            Scenario::None | Scenario::Liar | Scenario::NoisyNeighbours => 1.0,
            Scenario::Straggler => (targets - 0.7) / targets,
            Scenario::FailFast | Scenario::ColdStart => (targets - 1.0) / targets,
        }
    }

    fn start(&mut self) {
        for target in 0..self.m.targets as u32 {
            let t = self.exp(self.m.slowdown_interval_us);
            self.at(t, Event::Drop { target });
        }
        for host in 0..self.m.hosts as u32 {
            let t = self.exp(self.interval());
            self.at(t, Event::Arrive { host });
            if self.full_digests() {
                let t = self.exp(50_000.0);
                self.at(t, Event::Digest { host });
            }
        }
        match self.m.scenario {
            Scenario::NoisyNeighbours => self.at(0, Event::Noise),
            Scenario::ColdStart => self.at(4_000_000, Event::Join),
            _ => {}
        }
        if self.m.probes_per_s > 0.0 {
            for target in 0..self.m.targets as u32 {
                let t = self.exp(1e6 / self.m.probes_per_s);
                self.at(t, Event::Probe { target });
            }
        }
    }

    fn full_digests(&self) -> bool {
        match &self.chooser {
            Chooser::Balancer { options, .. } => options.policy == Policy::SharedBest,
            Chooser::PerfectKnowledge => false,
        }
    }

    /// Mean time between two arrivals at one host, in microseconds.
    fn interval(&self) -> f64 {
        let capacity = (self.m.targets * SLOTS) as f64 / SERVICE_US * self.capacity_left();
        self.m.hosts as f64 / (capacity * self.m.load)
    }

    fn run(mut self) -> RunStats {
        self.start();
        let end = self.m.duration.as_micros() as u64;
        while let Some(Reverse((time, _, event))) = self.events.pop() {
            if time > end {
                break;
            }
            self.now = time;
            self.step(event);
        }
        // A request that was not answered by the end counts with its age so far.
        for r in &self.requests {
            if !r.done && r.at >= WARM_UP_US && end - r.at > 100_000 {
                self.figures.latencies.push((end - r.at) as u32);
            }
        }
        self.figures.latencies.sort_unstable();
        let seconds = self.m.duration.as_secs_f64();
        self.figures.digest_bytes_per_s = self.digest_bytes / self.m.hosts as f64 / seconds;
        self.figures
    }

    fn step(&mut self, event: Event) {
        match event {
            Event::Arrive { host } => self.arrive(host),
            Event::Reach { attempt } => self.reach(attempt),
            Event::Finish { target, version } => self.finish(target, version),
            Event::Answer { attempt, failed, running, queued } => {
                self.answer(attempt, failed, LoadReport { in_flight: running, queued });
            }
            Event::CancelReach { attempt } => self.cancel_reach(attempt),
            Event::HedgeDue { request } => self.hedge(request),
            Event::Drop { target } => {
                self.advance(target as usize);
                self.targets[target as usize].drops += 1;
                let t = self.exp(self.m.slowdown_us);
                self.at(self.now + t, Event::DropEnd { target });
                self.plan(target as usize);
            }
            Event::DropEnd { target } => {
                self.advance(target as usize);
                self.targets[target as usize].drops -= 1;
                let t = self.exp(self.m.slowdown_interval_us);
                self.at(self.now + t, Event::Drop { target });
                self.plan(target as usize);
            }
            Event::Noise => {
                let domain = self.rng.random_range(0..DOMAINS as u32);
                self.set_noise(domain, 1);
                let t = self.rng.random_range(20_000..100_000);
                self.at(self.now + t, Event::NoiseEnd { domain });
            }
            Event::NoiseEnd { domain } => {
                self.set_noise(domain, 0);
                let t = self.exp(500_000.0);
                self.at(self.now + t, Event::Noise);
            }
            Event::Digest { host } => self.send_digest(host),
            Event::DigestReach { host, digest } => {
                let now = Time::from_micros(self.now);
                self.hosts[host as usize].table.on_digest(&self.digests[digest as usize], now);
            }
            Event::Probe { target } => {
                let t = &self.targets[target as usize];
                let (running, queued) = (t.running.len() as u32, t.queue.len() as u32);
                self.at(self.now + FAR_US, Event::ProbeReach { target, running, queued });
                let next = (1e6 / self.m.probes_per_s) as u64;
                self.at(self.now + next, Event::Probe { target });
            }
            Event::ProbeReach { target, running, queued } => {
                let now = Time::from_micros(self.now);
                let id = self.ids[target as usize];
                let report = LoadReport { in_flight: running, queued };
                // The prober sends its results to all peers.
                for h in &mut self.hosts {
                    h.table.on_probe(id, Some(report), now);
                }
            }
            Event::Join => self.join(),
            Event::Warm => {
                self.advance(0);
                let base = &mut self.targets[0].base;
                *base = (*base + 0.08).min(1.0);
                if *base < 1.0 {
                    self.at(self.now + 200_000, Event::Warm);
                }
                self.plan(0);
            }
        }
    }

    fn set_noise(&mut self, domain: u32, noise: u32) {
        for i in 0..self.targets.len() {
            if self.targets[i].domain == domain as usize {
                self.advance(i);
                self.targets[i].noise = noise;
                self.plan(i);
            }
        }
    }

    fn join(&mut self) {
        self.joined = true;
        let now = Time::from_micros(self.now);
        for h in &mut self.hosts {
            h.table.update(std::slice::from_ref(&self.pool));
            if let Some(b) = &mut h.balancer {
                b.update(&self.pool, &h.table, now);
            }
        }
        self.find_ids();
        self.at(self.now + 200_000, Event::Warm);
    }

    fn arrive(&mut self, host: u32) {
        let t = self.exp(self.interval());
        self.at(self.now + t, Event::Arrive { host });
        let constant = self.m.constant_share * SERVICE_US;
        let work = constant + self.exp(SERVICE_US - constant) as f64;
        let request = self.requests.len() as u32;
        self.requests.push(Request {
            host,
            at: self.now,
            work,
            done: false,
            live: 0,
            tried: Vec::new(),
            attempts: Vec::new(),
        });
        self.figures.requests += 1;
        let budget = self.m.hedge_budget;
        let h = &mut self.hosts[host as usize];
        h.hedge_tokens = (h.hedge_tokens + budget).min(20.0);
        h.retry_tokens = (h.retry_tokens + 0.1).min(10.0);
        let p95 = h.p95;
        self.send(request);
        if budget > 0.0 && p95 < u64::MAX {
            self.at(self.now + p95, Event::HedgeDue { request });
        }
    }

    fn send(&mut self, request: u32) -> bool {
        let Some(target) = self.choose(request) else { return false };
        let now = Time::from_micros(self.now);
        let r = &mut self.requests[request as usize];
        let h = &mut self.hosts[r.host as usize];
        h.table.on_sent(self.ids[target], now);
        r.tried.push(target as u32);
        r.live += 1;
        let attempt = self.attempts.len() as u32;
        r.attempts.push(attempt);
        self.attempts.push(Attempt {
            request,
            target: target as u32,
            sent_at: self.now,
            place: Place::Wire,
            cancelled: false,
        });
        self.targets[target].on_wire += 1;
        if r.at >= WARM_UP_US {
            self.figures.attempts += 1;
            self.figures.target0_attempts += u64::from(target == 0);
        }
        if target == 0 && self.m.scenario == Scenario::ColdStart {
            let slot = ((self.now - 4_000_000) / 100_000) as usize;
            if self.figures.target0_after_join.len() <= slot {
                self.figures.target0_after_join.resize(slot + 1, 0);
            }
            self.figures.target0_after_join[slot] += 1;
        }
        let t = self.now + self.one_way(attempt);
        self.at(t, Event::Reach { attempt });
        true
    }

    fn one_way(&self, attempt: u32) -> u64 {
        let a = &self.attempts[attempt as usize];
        let host = self.requests[a.request as usize].host as usize;
        let near = self.hosts[host].domain == self.targets[a.target as usize].domain;
        if near { NEAR_US } else { FAR_US }
    }

    fn choose(&mut self, request: u32) -> Option<usize> {
        let r = &self.requests[request as usize];
        if let Chooser::PerfectKnowledge = self.chooser {
            return self.choose_perfect(request);
        }
        let h = &mut self.hosts[r.host as usize];
        let tried: Vec<TargetId> = r.tried.iter().map(|t| self.ids[*t as usize]).collect();
        let exclusion = Exclusion { tried: &tried, draining: &[] };
        let now = Time::from_micros(self.now);
        let choice = h.balancer.as_mut()?.choose(&h.table, exclusion, now, &mut h.rng)?;
        self.ids.iter().position(|id| *id == choice.target)
    }

    fn choose_perfect(&mut self, request: u32) -> Option<usize> {
        let r = &self.requests[request as usize];
        let domain = self.hosts[r.host as usize].domain;
        let cost = |i: usize| {
            let t = &self.targets[i];
            let ahead = t.running.len() + t.queue.len() + t.on_wire as usize;
            let waiting = (ahead + 1).saturating_sub(SLOTS) as f64 / SLOTS as f64;
            let network = if t.domain == domain { 0.0 } else { (FAR_US - NEAR_US) as f64 * 2.0 };
            (waiting + 1.0) * SERVICE_US / t.speed(&self.m) + network
        };
        let first = usize::from(!self.joined || self.m.scenario == Scenario::FailFast);
        (first..self.m.targets)
            .filter(|i| !r.tried.contains(&(*i as u32)))
            .min_by(|a, b| cost(*a).total_cmp(&cost(*b)))
    }

    /// Brings the remaining work of the running requests up to date.
    fn advance(&mut self, target: usize) {
        let speed = self.targets[target].speed(&self.m);
        let t = &mut self.targets[target];
        let done = (self.now - t.updated) as f64 * speed;
        t.updated = self.now;
        for (_, left) in &mut t.running {
            *left -= done;
        }
    }

    /// Schedules the next completion.
    fn plan(&mut self, target: usize) {
        let speed = self.targets[target].speed(&self.m);
        let t = &mut self.targets[target];
        t.version += 1;
        let version = t.version;
        let next = t.running.iter().map(|r| r.1).min_by(f64::total_cmp);
        if let Some(left) = next {
            let t = self.now + (left.max(0.0) / speed).ceil() as u64;
            self.at(t, Event::Finish { target: target as u32, version });
        }
    }

    fn reach(&mut self, attempt: u32) {
        let target = self.attempts[attempt as usize].target as usize;
        self.targets[target].on_wire -= 1;
        if self.attempts[attempt as usize].cancelled {
            self.attempts[attempt as usize].place = Place::Gone;
            return;
        }
        if target == 0 && self.m.scenario == Scenario::FailFast {
            self.attempts[attempt as usize].place = Place::Gone;
            let t = self.now + 200 + self.one_way(attempt);
            self.at(t, Event::Answer { attempt, failed: true, running: 0, queued: 0 });
            return;
        }
        self.advance(target);
        if self.targets[target].running.len() < SLOTS {
            self.run_attempt(target, attempt);
        } else {
            self.targets[target].queue.push_back(attempt);
            self.attempts[attempt as usize].place = Place::Queue;
        }
        self.plan(target);
    }

    fn run_attempt(&mut self, target: usize, attempt: u32) {
        let a = &mut self.attempts[attempt as usize];
        a.place = Place::Running;
        let again =
            self.requests[a.request as usize].attempts.len() > 1 && self.m.redraw_service_time;
        let constant = self.m.constant_share * SERVICE_US;
        let request = a.request as usize;
        let work = if again {
            constant + self.exp(SERVICE_US - constant) as f64
        } else {
            self.requests[request].work
        };
        self.targets[target].running.push((attempt, work));
    }

    fn finish(&mut self, target: u32, version: u32) {
        let i = target as usize;
        if self.targets[i].version != version {
            return;
        }
        self.advance(i);
        while let Some(p) = self.targets[i].running.iter().position(|r| r.1 < 1.0) {
            let (attempt, _) = self.targets[i].running.swap_remove(p);
            self.attempts[attempt as usize].place = Place::Gone;
            if let Some(next) = self.targets[i].queue.pop_front() {
                self.run_attempt(i, next);
            }
            let t = &self.targets[i];
            let (mut running, mut queued) = (t.running.len() as u32, t.queue.len() as u32);
            if i == 0 && self.m.scenario == Scenario::Liar {
                (running, queued) = (0, 0);
            }
            let at = self.now + self.one_way(attempt);
            self.at(at, Event::Answer { attempt, failed: false, running, queued });
        }
        self.plan(i);
    }

    fn answer(&mut self, attempt: u32, failed: bool, report: LoadReport) {
        let (request, sent_at, cancelled) = {
            let a = &self.attempts[attempt as usize];
            (a.request, a.sent_at, a.cancelled)
        };
        if cancelled {
            return;
        }
        let end = if failed { AttemptEnd::Failed } else { AttemptEnd::Answered };
        self.end_attempt(attempt, end, Some(report));
        let host = self.requests[request as usize].host as usize;
        let r = &mut self.requests[request as usize];
        r.live -= 1;
        if r.done {
            return;
        }
        if failed {
            if r.live > 0 {
                return;
            }
            let h = &mut self.hosts[host];
            if h.retry_tokens >= 1.0 {
                h.retry_tokens -= 1.0;
                if self.send(request) {
                    return;
                }
            }
            self.figures.failed += 1;
            self.requests[request as usize].done = true;
            self.figures.latencies.push(TIMEOUT_US as u32);
            return;
        }
        r.done = true;
        let latency = self.now - r.at;
        let measured = r.at >= WARM_UP_US;
        let others: Vec<u32> = r.attempts.iter().copied().filter(|a| *a != attempt).collect();
        for other in others {
            self.cancel(other);
        }
        if measured {
            self.figures.latencies.push(latency as u32);
        }
        self.learn_p95(host, (self.now - sent_at) as u32);
    }

    fn end_attempt(&mut self, attempt: u32, end: AttemptEnd, report: Option<LoadReport>) {
        let a = &self.attempts[attempt as usize];
        let now = Time::from_micros(self.now);
        let id = self.ids[a.target as usize];
        let h = &mut self.hosts[self.requests[a.request as usize].host as usize];
        h.table.on_end(id, Time::from_micros(a.sent_at), end, report, now);
        if let Some(b) = &mut h.balancer {
            b.on_end(id, end, now);
        }
        let host = self.requests[a.request as usize].host as usize;
        if self.digests_on() {
            self.poll_digest(host);
        }
    }

    fn digests_on(&self) -> bool {
        matches!(self.chooser, Chooser::Balancer { digests: true, .. })
    }

    /// Sends the digest of a host if one is due.
    fn poll_digest(&mut self, host: usize) {
        let now = Time::from_micros(self.now);
        let peers = self.m.hosts - 1;
        let due = match &self.chooser {
            Chooser::Balancer { options, .. } if options.policy == Policy::SharedBest => None,
            _ => self.hosts[host].table.poll_digest(peers, now),
        };
        if let Some(due) = due {
            self.digest_bytes += (due.fanout * frame_len(&due.digest)) as f64;
            self.spread(host, due.digest, due.fanout);
        }
    }

    /// Sends a digest to random peers.
    fn spread(&mut self, host: usize, digest: LoadDigest, fanout: usize) {
        let index = self.digests.len() as u32;
        self.digests.push(digest);
        let peers = self.m.hosts - 1;
        let first = self.rng.random_range(0..peers);
        for k in 0..fanout {
            let peer = (host + 1 + (first + k) % peers) % self.m.hosts;
            let near = self.hosts[peer].domain == self.hosts[host].domain;
            let t = self.now + if near { NEAR_US } else { FAR_US };
            self.at(t, Event::DigestReach { host: peer as u32, digest: index });
        }
    }

    /// Cancels an attempt. The target drops it, waiting or running, when it hears of it.
    fn cancel(&mut self, attempt: u32) {
        let a = &mut self.attempts[attempt as usize];
        if a.cancelled {
            return;
        }
        a.cancelled = true;
        self.end_attempt(attempt, AttemptEnd::Cancelled, None);
        let t = self.now + self.one_way(attempt);
        self.at(t, Event::CancelReach { attempt });
    }

    fn cancel_reach(&mut self, attempt: u32) {
        let a = &mut self.attempts[attempt as usize];
        if a.place == Place::Queue {
            a.place = Place::Gone;
            let target = a.target as usize;
            self.targets[target].queue.retain(|q| *q != attempt);
        } else if a.place == Place::Running {
            a.place = Place::Gone;
            let target = a.target as usize;
            self.advance(target);
            self.targets[target].running.retain(|r| r.0 != attempt);
            if let Some(next) = self.targets[target].queue.pop_front() {
                self.run_attempt(target, next);
            }
            self.plan(target);
        }
    }

    fn hedge(&mut self, request: u32) {
        let r = &self.requests[request as usize];
        let h = &mut self.hosts[r.host as usize];
        if r.done || r.live != 1 || h.hedge_tokens < 1.0 {
            return;
        }
        h.hedge_tokens -= 1.0;
        if self.send(request) {
            self.figures.hedges += 1;
        }
    }

    /// Keeps the p95 of the host's last 500 answers.
    fn learn_p95(&mut self, host: usize, latency: u32) {
        let h = &mut self.hosts[host];
        if h.recent.len() < 500 {
            h.recent.push(latency);
        } else {
            h.recent[h.recent_next % 500] = latency;
        }
        h.recent_next += 1;
        if h.recent_next.is_multiple_of(100) {
            let mut sorted = h.recent.clone();
            sorted.sort_unstable();
            h.p95 = u64::from(sorted[(sorted.len() as f64 * self.m.hedge_quantile) as usize]);
        }
    }

    /// Sends the periodic digest of the shared-knowledge baseline, which has no byte budget.
    fn send_digest(&mut self, host: u32) {
        let now = Time::from_micros(self.now);
        let digest = self.hosts[host as usize].table.full_digest(now);
        let peers = self.m.hosts - 1;
        self.digest_bytes += (peers * frame_len(&digest)) as f64;
        self.spread(host as usize, digest, peers);
        self.at(self.now + 50_000, Event::Digest { host });
    }
}

fn frame_len(digest: &LoadDigest) -> usize {
    DIGEST_FRAME_LEN + digest.entries.len() * DIGEST_ENTRY_LEN
}
