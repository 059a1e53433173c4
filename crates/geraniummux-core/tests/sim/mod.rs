//! A discrete-event simulation of entry hosts and targets, for benchmarks of balancing policies.
//!
//! A target has slots and a FIFO queue, and slows down at random. Hosts use the real load table and
//! balancer. Time is virtual, in microseconds from the start, and all randomness comes from the
//! seed.
//!
//! The defaults reproduce the trial figures of the design page: service times of 5 ms plus an
//! exponential part with a mean of 5 ms, and slowdowns to 0.3 of the speed for 30 ms every 200 ms,
//! both means of exponential distributions. The load is a fraction of the capacity without
//! slowdowns.

use geraniummux_core::balance::{Balancer, BalancerOptions, Exclusion, Policy};
use geraniummux_core::load::{
    AttemptEnd, DIGEST_ENTRY_LEN, DIGEST_OVERHEAD_LEN, LoadDigest, LoadOptions, LoadReport,
    LoadTable, PeerReports, TargetId,
};
use geraniummux_core::{Pool, Time};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

/// Requests that a target runs concurrently.
pub const SLOTS: usize = 6;
/// Number of failure domains, over which hosts and targets are spread evenly.
const DOMAINS: usize = 3;
/// One-way network delays within and between failure domains.
const SAME_DOMAIN_DELAY_US: u64 = 50;
const CROSS_DOMAIN_DELAY_US: u64 = 500;
/// Mean service time at full speed.
pub const SERVICE_US: f64 = 10_000.0;
/// Time before which arriving requests are not measured.
const WARM_UP_US: u64 = 2_000_000;
/// Timeout of the caller, recorded as the latency of a failed request.
const CALLER_TIMEOUT_US: u64 = 1_000_000;

/// The policy that chooses the target of an attempt.
#[derive(Clone, Debug)]
pub enum Chooser {
    /// The balancer under test, with or without load digests between hosts.
    Balancer { options: BalancerOptions, load: LoadOptions, digests: bool },
    /// A reference that uses the queues (including requests in transit) and the speeds of all
    /// targets at the time of the choice, but neither future events nor service times.
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

/// A disturbance of target 0 or of a failure domain, in addition to the random slowdowns.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Scenario {
    None,
    /// Target 0 runs at 0.3 of its speed throughout.
    Straggler,
    /// Target 0 fails each request at once and reports that it is idle.
    FailFast,
    /// Target 0 joins after 4 s, and its speed rises from 0.2 to 1 within 2 s.
    ColdStart,
    /// All targets of a failure domain slow down to 0.5 together, for 20 to 100 ms.
    NoisyNeighbours,
    /// Target 0 always reports that it is idle, whatever its load.
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

/// The parameters of a run.
#[derive(Clone, Debug)]
pub struct Model {
    pub targets: usize,
    pub hosts: usize,
    /// Offered load as a fraction of the capacity that is available without slowdowns.
    pub load: f64,
    pub scenario: Scenario,
    /// Mean time between two slowdowns of a target.
    pub slowdown_interval_us: f64,
    /// Mean duration of a slowdown.
    pub slowdown_us: f64,
    /// Speed of a target during a slowdown; 1 is full speed.
    pub slowdown_speed: f64,
    /// Fraction of the mean service time that is constant; the rest is exponential.
    pub constant_share: f64,
    pub duration: Duration,
    /// Hedges allowed per request, 0 to 1; 0 disables hedging.
    pub hedge_budget: f64,
    /// Whether the attempts of a retried or hedged request draw new service times or share one.
    pub redraw_service_time: bool,
    /// Quantile of the host's recent latencies after which a hedge is sent.
    pub hedge_quantile: f64,
    /// Probes per second and target; 0 disables probes.
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

/// The statistics of a run, or of several merged runs.
#[derive(Clone, Debug, Default)]
pub struct RunStats {
    /// Latencies of the measured requests and the caller's timeout for each failed request, in
    /// microseconds, sorted.
    pub latencies: Vec<u32>,
    /// Attempts of measured requests at target 0.
    pub target0_attempts: u64,
    /// Attempts of measured requests at all targets.
    pub attempts: u64,
    pub requests: u64,
    pub hedges: u64,
    pub failed: u64,
    /// Bytes of digests that a host sends per second; the maximum of merged runs.
    pub digest_bytes_per_s: f64,
    /// Attempts at target 0 in each 100 ms after it joined.
    pub target0_after_join: Vec<u32>,
}

impl RunStats {
    /// Returns the percentile `p`, 0 to 100, of the latencies, in milliseconds.
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

/// Requests, attempts, hosts and targets are identified by their index.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    /// A caller's request arrives at a host.
    Arrive {
        host: u32,
    },
    ArriveAtTarget {
        attempt: u32,
    },
    /// The running attempt with the least remaining work completes.
    Finish {
        target: u32,
        schedule_version: u32,
    },
    /// A response, with a load report, arrives at the host.
    Response {
        attempt: u32,
        failed: bool,
        running: u32,
        queued: u32,
    },
    CancelArrive {
        attempt: u32,
    },
    HedgeDue {
        request: u32,
    },
    Slowdown {
        target: u32,
    },
    SlowdownEnd {
        target: u32,
    },
    DomainSlowdown,
    DomainSlowdownEnd {
        domain: u32,
    },
    Digest {
        host: u32,
    },
    DigestArrive {
        host: u32,
        digest: u32,
    },
    Probe {
        target: u32,
    },
    ProbeResult {
        target: u32,
        running: u32,
        queued: u32,
    },
    /// Target 0 joins the pool.
    Join,
    /// The speed of target 0 rises by one step after it joined.
    WarmUp,
}

struct Target {
    domain: usize,
    /// Running attempts and their remaining work, in microseconds at full speed.
    running: Vec<(u32, f64)>,
    queue: VecDeque<u32>,
    /// Number of current random slowdowns.
    slowdowns: u32,
    /// 1 during a slowdown of the failure domain, else 0.
    domain_slowdown: u32,
    /// Speed without slowdowns; 1 is full speed.
    base_speed: f64,
    /// Time up to which the remaining work is computed.
    advanced_at: u64,
    /// Version of the scheduled completion; a `Finish` event with another version is obsolete.
    schedule_version: u32,
    /// Attempts on the network between a host and this target.
    in_transit: u32,
}

impl Target {
    fn speed(&self, m: &Model) -> f64 {
        let slowdown = if self.slowdowns > 0 { m.slowdown_speed } else { 1.0 };
        let domain_slowdown = if self.domain_slowdown > 0 { 0.5 } else { 1.0 };
        self.base_speed * slowdown * domain_slowdown
    }
}

struct Host {
    domain: usize,
    table: LoadTable,
    balancer: Option<Balancer>,
    rng: SmallRng,
    /// Ring buffer of the latest latencies.
    recent_latencies: Vec<u32>,
    latency_count: usize,
    /// Time after which a request is hedged; `u64::MAX` until enough latencies are known.
    hedge_delay_us: u64,
    hedge_tokens: f64,
    retry_tokens: f64,
}

struct Request {
    host: u32,
    arrived_at: u64,
    /// Service time at full speed, in microseconds.
    work: f64,
    /// Whether the caller received a response or a failure.
    done: bool,
    live_attempts: u32,
    /// Targets of all attempts.
    tried: Vec<u32>,
    attempts: Vec<u32>,
}

#[derive(Clone, Copy, Eq, PartialEq)]
enum AttemptState {
    InTransit,
    Queued,
    Running,
    Ended,
}

struct Attempt {
    request: u32,
    target: u32,
    sent_at: u64,
    state: AttemptState,
    cancelled: bool,
}

pub struct Sim {
    model: Model,
    chooser: Chooser,
    now: u64,
    seq: u64,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    targets: Vec<Target>,
    hosts: Vec<Host>,
    target_ids: Vec<TargetId>,
    requests: Vec<Request>,
    attempts: Vec<Attempt>,
    digests: Vec<LoadDigest>,
    rng: SmallRng,
    stats: RunStats,
    pool: Pool,
    target0_joined: bool,
    digest_bytes: f64,
}

/// Returns a pool of targets that are spread evenly over the failure domains.
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
    fn new(model: Model, chooser: Chooser) -> Self {
        let full_pool = pool(model.targets);
        let mut initial_pool = full_pool.clone();
        let joins = model.scenario == Scenario::ColdStart;
        if joins {
            initial_pool.targets.remove(0);
        }
        let (options, load) = match &chooser {
            Chooser::Balancer { options, load, .. } => (Some(options.clone()), load.clone()),
            Chooser::PerfectKnowledge => (None, LoadOptions::default()),
        };
        let hosts = (0..model.hosts)
            .map(|h| {
                let table = LoadTable::new(std::slice::from_ref(&initial_pool), load.clone());
                let domain: Arc<str> = format!("d{}", h % DOMAINS).into();
                let balancer =
                    options.clone().map(|o| Balancer::new(&initial_pool, &table, domain, o));
                Host {
                    domain: h % DOMAINS,
                    table,
                    balancer,
                    rng: SmallRng::seed_from_u64(model.seed * 1000 + h as u64),
                    recent_latencies: Vec::new(),
                    latency_count: 0,
                    hedge_delay_us: u64::MAX,
                    hedge_tokens: 0.0,
                    retry_tokens: 10.0,
                }
            })
            .collect();
        let targets = (0..model.targets)
            .map(|i| Target {
                domain: i % DOMAINS,
                running: Vec::new(),
                queue: VecDeque::new(),
                slowdowns: 0,
                domain_slowdown: 0,
                base_speed: match (i, model.scenario) {
                    (0, Scenario::Straggler) => 0.3,
                    (0, Scenario::ColdStart) => 0.2,
                    _ => 1.0,
                },
                advanced_at: 0,
                schedule_version: 0,
                in_transit: 0,
            })
            .collect();
        let seed = model.seed;
        let mut sim = Sim {
            model,
            chooser,
            now: 0,
            seq: 0,
            events: BinaryHeap::new(),
            targets,
            hosts,
            target_ids: Vec::new(),
            requests: Vec::new(),
            attempts: Vec::new(),
            digests: Vec::new(),
            rng: SmallRng::seed_from_u64(seed),
            stats: RunStats::default(),
            pool: full_pool,
            target0_joined: !joins,
            digest_bytes: 0.0,
        };
        sim.update_target_ids();
        sim
    }

    /// Looks up the ids of the targets in the first host's table. The tables of all hosts go through
    /// the same updates, so the ids are the same in all of them.
    fn update_target_ids(&mut self) {
        let table = &self.hosts[0].table;
        let names = self.pool.targets.iter().map(|t| &*t.name);
        self.target_ids = names.map(|n| table.id("p", n).unwrap_or(TargetId(u32::MAX))).collect();
    }

    fn schedule(&mut self, time: u64, event: Event) {
        self.seq += 1;
        self.events.push(Reverse((time, self.seq, event)));
    }

    /// Draws from an exponential distribution.
    fn sample_exp(&mut self, mean: f64) -> u64 {
        let u: f64 = self.rng.random();
        (-(1.0 - u).ln() * mean) as u64
    }

    /// Returns the fraction of the targets' capacity to which the load refers: the loss of target 0
    /// in the scenario is subtracted, that of the random and domain slowdowns is not.
    fn available_capacity(&self) -> f64 {
        let targets = self.model.targets as f64;
        match self.model.scenario {
            Scenario::None | Scenario::Liar | Scenario::NoisyNeighbours => 1.0,
            Scenario::Straggler => (targets - 0.7) / targets,
            Scenario::FailFast | Scenario::ColdStart => (targets - 1.0) / targets,
        }
    }

    fn schedule_initial_events(&mut self) {
        for target in 0..self.model.targets as u32 {
            let t = self.sample_exp(self.model.slowdown_interval_us);
            self.schedule(t, Event::Slowdown { target });
        }
        for host in 0..self.model.hosts as u32 {
            let t = self.sample_exp(self.mean_arrival_interval_us());
            self.schedule(t, Event::Arrive { host });
            if self.sends_full_digests() {
                let t = self.sample_exp(50_000.0);
                self.schedule(t, Event::Digest { host });
            }
        }
        match self.model.scenario {
            Scenario::NoisyNeighbours => self.schedule(0, Event::DomainSlowdown),
            Scenario::ColdStart => self.schedule(4_000_000, Event::Join),
            _ => {}
        }
        if self.model.probes_per_s > 0.0 {
            for target in 0..self.model.targets as u32 {
                let t = self.sample_exp(1e6 / self.model.probes_per_s);
                self.schedule(t, Event::Probe { target });
            }
        }
    }

    fn sends_full_digests(&self) -> bool {
        match &self.chooser {
            Chooser::Balancer { options, .. } => options.policy == Policy::SharedBest,
            Chooser::PerfectKnowledge => false,
        }
    }

    /// Returns the mean time between two arrivals at one host.
    fn mean_arrival_interval_us(&self) -> f64 {
        let capacity = (self.model.targets * SLOTS) as f64 / SERVICE_US * self.available_capacity();
        self.model.hosts as f64 / (capacity * self.model.load)
    }

    fn run(mut self) -> RunStats {
        self.schedule_initial_events();
        let end = self.model.duration.as_micros() as u64;
        while let Some(Reverse((time, _, event))) = self.events.pop() {
            if time > end {
                break;
            }
            self.now = time;
            self.handle(event);
        }
        // A request that is not answered at the end of the run counts with its age.
        for r in &self.requests {
            if !r.done && r.arrived_at >= WARM_UP_US && end - r.arrived_at > 100_000 {
                self.stats.latencies.push((end - r.arrived_at) as u32);
            }
        }
        self.stats.latencies.sort_unstable();
        let seconds = self.model.duration.as_secs_f64();
        self.stats.digest_bytes_per_s = self.digest_bytes / self.model.hosts as f64 / seconds;
        self.stats
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive { host } => self.on_arrive(host),
            Event::ArriveAtTarget { attempt } => self.on_arrive_at_target(attempt),
            Event::Finish { target, schedule_version } => self.on_finish(target, schedule_version),
            Event::Response { attempt, failed, running, queued } => {
                self.on_response(attempt, failed, LoadReport { in_flight: running, queued });
            }
            Event::CancelArrive { attempt } => self.on_cancel(attempt),
            Event::HedgeDue { request } => self.send_hedge(request),
            Event::Slowdown { target } => {
                self.advance(target as usize);
                self.targets[target as usize].slowdowns += 1;
                let t = self.sample_exp(self.model.slowdown_us);
                self.schedule(self.now + t, Event::SlowdownEnd { target });
                self.schedule_finish(target as usize);
            }
            Event::SlowdownEnd { target } => {
                self.advance(target as usize);
                self.targets[target as usize].slowdowns -= 1;
                let t = self.sample_exp(self.model.slowdown_interval_us);
                self.schedule(self.now + t, Event::Slowdown { target });
                self.schedule_finish(target as usize);
            }
            Event::DomainSlowdown => {
                let domain = self.rng.random_range(0..DOMAINS as u32);
                self.set_domain_slowdown(domain, 1);
                let t = self.rng.random_range(20_000..100_000);
                self.schedule(self.now + t, Event::DomainSlowdownEnd { domain });
            }
            Event::DomainSlowdownEnd { domain } => {
                self.set_domain_slowdown(domain, 0);
                let t = self.sample_exp(500_000.0);
                self.schedule(self.now + t, Event::DomainSlowdown);
            }
            Event::Digest { host } => self.send_full_digest(host),
            Event::DigestArrive { host, digest } => {
                let now = Time::from_micros(self.now);
                self.hosts[host as usize].table.on_digest(&self.digests[digest as usize], now);
            }
            Event::Probe { target } => {
                let t = &self.targets[target as usize];
                let (running, queued) = (t.running.len() as u32, t.queue.len() as u32);
                self.schedule(
                    self.now + CROSS_DOMAIN_DELAY_US,
                    Event::ProbeResult { target, running, queued },
                );
                let next = (1e6 / self.model.probes_per_s) as u64;
                self.schedule(self.now + next, Event::Probe { target });
            }
            Event::ProbeResult { target, running, queued } => {
                let now = Time::from_micros(self.now);
                let id = self.target_ids[target as usize];
                let report = LoadReport { in_flight: running, queued };
                // The probing host sends its results to all peers.
                for h in &mut self.hosts {
                    h.table.on_probe(id, Some(report), now);
                }
            }
            Event::Join => self.on_join(),
            Event::WarmUp => {
                self.advance(0);
                let base_speed = &mut self.targets[0].base_speed;
                *base_speed = (*base_speed + 0.08).min(1.0);
                if *base_speed < 1.0 {
                    self.schedule(self.now + 200_000, Event::WarmUp);
                }
                self.schedule_finish(0);
            }
        }
    }

    fn set_domain_slowdown(&mut self, domain: u32, domain_slowdown: u32) {
        for i in 0..self.targets.len() {
            if self.targets[i].domain == domain as usize {
                self.advance(i);
                self.targets[i].domain_slowdown = domain_slowdown;
                self.schedule_finish(i);
            }
        }
    }

    fn on_join(&mut self) {
        self.target0_joined = true;
        let now = Time::from_micros(self.now);
        for h in &mut self.hosts {
            h.table.update(std::slice::from_ref(&self.pool));
            if let Some(b) = &mut h.balancer {
                b.update(&self.pool, &h.table, now);
            }
        }
        self.update_target_ids();
        self.schedule(self.now + 200_000, Event::WarmUp);
    }

    fn on_arrive(&mut self, host: u32) {
        let t = self.sample_exp(self.mean_arrival_interval_us());
        self.schedule(self.now + t, Event::Arrive { host });
        let constant = self.model.constant_share * SERVICE_US;
        let work = constant + self.sample_exp(SERVICE_US - constant) as f64;
        let request = self.requests.len() as u32;
        self.requests.push(Request {
            host,
            arrived_at: self.now,
            work,
            done: false,
            live_attempts: 0,
            tried: Vec::new(),
            attempts: Vec::new(),
        });
        self.stats.requests += 1;
        let budget = self.model.hedge_budget;
        let h = &mut self.hosts[host as usize];
        h.hedge_tokens = (h.hedge_tokens + budget).min(20.0);
        h.retry_tokens = (h.retry_tokens + 0.1).min(10.0);
        let hedge_delay_us = h.hedge_delay_us;
        self.send(request);
        if budget > 0.0 && hedge_delay_us < u64::MAX {
            self.schedule(self.now + hedge_delay_us, Event::HedgeDue { request });
        }
    }

    fn send(&mut self, request: u32) -> bool {
        let Some(target) = self.choose(request) else { return false };
        let now = Time::from_micros(self.now);
        let r = &mut self.requests[request as usize];
        let h = &mut self.hosts[r.host as usize];
        h.table.on_sent(self.target_ids[target], now);
        r.tried.push(target as u32);
        r.live_attempts += 1;
        let attempt = self.attempts.len() as u32;
        r.attempts.push(attempt);
        self.attempts.push(Attempt {
            request,
            target: target as u32,
            sent_at: self.now,
            state: AttemptState::InTransit,
            cancelled: false,
        });
        self.targets[target].in_transit += 1;
        if r.arrived_at >= WARM_UP_US {
            self.stats.attempts += 1;
            self.stats.target0_attempts += u64::from(target == 0);
        }
        if target == 0 && self.model.scenario == Scenario::ColdStart {
            let slot = ((self.now - 4_000_000) / 100_000) as usize;
            if self.stats.target0_after_join.len() <= slot {
                self.stats.target0_after_join.resize(slot + 1, 0);
            }
            self.stats.target0_after_join[slot] += 1;
        }
        let t = self.now + self.one_way_us(attempt);
        self.schedule(t, Event::ArriveAtTarget { attempt });
        true
    }

    fn one_way_us(&self, attempt: u32) -> u64 {
        let a = &self.attempts[attempt as usize];
        let host = self.requests[a.request as usize].host as usize;
        let same_domain = self.hosts[host].domain == self.targets[a.target as usize].domain;
        if same_domain { SAME_DOMAIN_DELAY_US } else { CROSS_DOMAIN_DELAY_US }
    }

    fn choose(&mut self, request: u32) -> Option<usize> {
        let r = &self.requests[request as usize];
        if let Chooser::PerfectKnowledge = self.chooser {
            return self.choose_perfect(request);
        }
        let h = &mut self.hosts[r.host as usize];
        let tried: Vec<TargetId> = r.tried.iter().map(|t| self.target_ids[*t as usize]).collect();
        let exclusion = Exclusion { tried: &tried, leaving: &[] };
        let now = Time::from_micros(self.now);
        let choice = h.balancer.as_mut()?.choose(&h.table, exclusion, now, &mut h.rng)?;
        self.target_ids.iter().position(|id| *id == choice.target)
    }

    fn choose_perfect(&mut self, request: u32) -> Option<usize> {
        let r = &self.requests[request as usize];
        let domain = self.hosts[r.host as usize].domain;
        let cost = |i: usize| {
            let t = &self.targets[i];
            let ahead = t.running.len() + t.queue.len() + t.in_transit as usize;
            let waiting = (ahead + 1).saturating_sub(SLOTS) as f64 / SLOTS as f64;
            let network = if t.domain == domain {
                0.0
            } else {
                (CROSS_DOMAIN_DELAY_US - SAME_DOMAIN_DELAY_US) as f64 * 2.0
            };
            (waiting + 1.0) * SERVICE_US / t.speed(&self.model) + network
        };
        let first = usize::from(!self.target0_joined || self.model.scenario == Scenario::FailFast);
        (first..self.model.targets)
            .filter(|i| !r.tried.contains(&(*i as u32)))
            .min_by(|a, b| cost(*a).total_cmp(&cost(*b)))
    }

    /// Updates the remaining work of the running attempts to the current time.
    fn advance(&mut self, target: usize) {
        let speed = self.targets[target].speed(&self.model);
        let t = &mut self.targets[target];
        let done = (self.now - t.advanced_at) as f64 * speed;
        t.advanced_at = self.now;
        for (_, left) in &mut t.running {
            *left -= done;
        }
    }

    /// Schedules the next completion at a target, and makes the one scheduled before obsolete.
    fn schedule_finish(&mut self, target: usize) {
        let speed = self.targets[target].speed(&self.model);
        let t = &mut self.targets[target];
        t.schedule_version += 1;
        let schedule_version = t.schedule_version;
        let next = t.running.iter().map(|r| r.1).min_by(f64::total_cmp);
        if let Some(left) = next {
            let t = self.now + (left.max(0.0) / speed).ceil() as u64;
            self.schedule(t, Event::Finish { target: target as u32, schedule_version });
        }
    }

    fn on_arrive_at_target(&mut self, attempt: u32) {
        let target = self.attempts[attempt as usize].target as usize;
        self.targets[target].in_transit -= 1;
        if self.attempts[attempt as usize].cancelled {
            self.attempts[attempt as usize].state = AttemptState::Ended;
            return;
        }
        if target == 0 && self.model.scenario == Scenario::FailFast {
            self.attempts[attempt as usize].state = AttemptState::Ended;
            let t = self.now + 200 + self.one_way_us(attempt);
            self.schedule(t, Event::Response { attempt, failed: true, running: 0, queued: 0 });
            return;
        }
        self.advance(target);
        if self.targets[target].running.len() < SLOTS {
            self.run_attempt(target, attempt);
        } else {
            self.targets[target].queue.push_back(attempt);
            self.attempts[attempt as usize].state = AttemptState::Queued;
        }
        self.schedule_finish(target);
    }

    fn run_attempt(&mut self, target: usize, attempt: u32) {
        let a = &mut self.attempts[attempt as usize];
        a.state = AttemptState::Running;
        let redraw =
            self.requests[a.request as usize].attempts.len() > 1 && self.model.redraw_service_time;
        let constant = self.model.constant_share * SERVICE_US;
        let request = a.request as usize;
        let work = if redraw {
            constant + self.sample_exp(SERVICE_US - constant) as f64
        } else {
            self.requests[request].work
        };
        self.targets[target].running.push((attempt, work));
    }

    fn on_finish(&mut self, target: u32, schedule_version: u32) {
        let i = target as usize;
        if self.targets[i].schedule_version != schedule_version {
            return;
        }
        self.advance(i);
        while let Some(p) = self.targets[i].running.iter().position(|r| r.1 < 1.0) {
            let (attempt, _) = self.targets[i].running.swap_remove(p);
            self.attempts[attempt as usize].state = AttemptState::Ended;
            if let Some(next) = self.targets[i].queue.pop_front() {
                self.run_attempt(i, next);
            }
            let t = &self.targets[i];
            let (mut running, mut queued) = (t.running.len() as u32, t.queue.len() as u32);
            if i == 0 && self.model.scenario == Scenario::Liar {
                (running, queued) = (0, 0);
            }
            let at = self.now + self.one_way_us(attempt);
            self.schedule(at, Event::Response { attempt, failed: false, running, queued });
        }
        self.schedule_finish(i);
    }

    fn on_response(&mut self, attempt: u32, failed: bool, report: LoadReport) {
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
        r.live_attempts -= 1;
        if r.done {
            return;
        }
        if failed {
            if r.live_attempts > 0 {
                return;
            }
            let h = &mut self.hosts[host];
            if h.retry_tokens >= 1.0 {
                h.retry_tokens -= 1.0;
                if self.send(request) {
                    return;
                }
            }
            self.stats.failed += 1;
            self.requests[request as usize].done = true;
            self.stats.latencies.push(CALLER_TIMEOUT_US as u32);
            return;
        }
        r.done = true;
        let latency = self.now - r.arrived_at;
        let measured = r.arrived_at >= WARM_UP_US;
        let others: Vec<u32> = r.attempts.iter().copied().filter(|a| *a != attempt).collect();
        for other in others {
            self.cancel(other);
        }
        if measured {
            self.stats.latencies.push(latency as u32);
        }
        self.update_hedge_delay(host, (self.now - sent_at) as u32);
    }

    fn end_attempt(&mut self, attempt: u32, end: AttemptEnd, report: Option<LoadReport>) {
        let a = &self.attempts[attempt as usize];
        let now = Time::from_micros(self.now);
        let id = self.target_ids[a.target as usize];
        let h = &mut self.hosts[self.requests[a.request as usize].host as usize];
        h.table.on_end(id, Time::from_micros(a.sent_at), end, report, now);
        if let Some(b) = &mut h.balancer {
            b.on_end(id, end, now);
        }
        let host = self.requests[a.request as usize].host as usize;
        if self.sends_digests() {
            self.poll_digest(host);
        }
    }

    fn sends_digests(&self) -> bool {
        matches!(self.chooser, Chooser::Balancer { digests: true, .. })
    }

    /// Sends a host's digest if one is due.
    fn poll_digest(&mut self, host: usize) {
        let now = Time::from_micros(self.now);
        let peers = self.model.hosts - 1;
        let due = match &self.chooser {
            Chooser::Balancer { options, .. } if options.policy == Policy::SharedBest => None,
            _ => self.hosts[host].table.poll_digest(peers, now),
        };
        if let Some(due) = due {
            self.digest_bytes += (due.fanout * frame_len(&due.digest)) as f64;
            self.send_digest(host, due.digest, due.fanout);
        }
    }

    /// Sends a digest to random peers.
    fn send_digest(&mut self, host: usize, digest: LoadDigest, fanout: usize) {
        let index = self.digests.len() as u32;
        self.digests.push(digest);
        let peers = self.model.hosts - 1;
        let first = self.rng.random_range(0..peers);
        for k in 0..fanout {
            let peer = (host + 1 + (first + k) % peers) % self.model.hosts;
            let same_domain = self.hosts[peer].domain == self.hosts[host].domain;
            let t =
                self.now + if same_domain { SAME_DOMAIN_DELAY_US } else { CROSS_DOMAIN_DELAY_US };
            self.schedule(t, Event::DigestArrive { host: peer as u32, digest: index });
        }
    }

    /// Cancels an attempt. The target removes it, queued or running, when the cancellation arrives.
    fn cancel(&mut self, attempt: u32) {
        let a = &mut self.attempts[attempt as usize];
        if a.cancelled {
            return;
        }
        a.cancelled = true;
        self.end_attempt(attempt, AttemptEnd::Cancelled, None);
        let t = self.now + self.one_way_us(attempt);
        self.schedule(t, Event::CancelArrive { attempt });
    }

    fn on_cancel(&mut self, attempt: u32) {
        let a = &mut self.attempts[attempt as usize];
        if a.state == AttemptState::Queued {
            a.state = AttemptState::Ended;
            let target = a.target as usize;
            self.targets[target].queue.retain(|q| *q != attempt);
        } else if a.state == AttemptState::Running {
            a.state = AttemptState::Ended;
            let target = a.target as usize;
            self.advance(target);
            self.targets[target].running.retain(|r| r.0 != attempt);
            if let Some(next) = self.targets[target].queue.pop_front() {
                self.run_attempt(target, next);
            }
            self.schedule_finish(target);
        }
    }

    fn send_hedge(&mut self, request: u32) {
        let r = &self.requests[request as usize];
        let h = &mut self.hosts[r.host as usize];
        if r.done || r.live_attempts != 1 || h.hedge_tokens < 1.0 {
            return;
        }
        h.hedge_tokens -= 1.0;
        if self.send(request) {
            self.stats.hedges += 1;
        }
    }

    /// Records a latency and updates the hedge delay to the hedge quantile of the host's last 500
    /// latencies.
    fn update_hedge_delay(&mut self, host: usize, latency: u32) {
        let h = &mut self.hosts[host];
        if h.recent_latencies.len() < 500 {
            h.recent_latencies.push(latency);
        } else {
            h.recent_latencies[h.latency_count % 500] = latency;
        }
        h.latency_count += 1;
        if h.latency_count.is_multiple_of(100) {
            let mut sorted = h.recent_latencies.clone();
            sorted.sort_unstable();
            h.hedge_delay_us =
                u64::from(sorted[(sorted.len() as f64 * self.model.hedge_quantile) as usize]);
        }
    }

    /// Sends the periodic digest of the shared-best baseline, which has no byte budget.
    fn send_full_digest(&mut self, host: u32) {
        let now = Time::from_micros(self.now);
        let digest = self.hosts[host as usize].table.full_digest(now);
        let peers = self.model.hosts - 1;
        self.digest_bytes += (peers * frame_len(&digest)) as f64;
        self.send_digest(host as usize, digest, peers);
        self.schedule(self.now + 50_000, Event::Digest { host });
    }
}

fn frame_len(digest: &LoadDigest) -> usize {
    DIGEST_OVERHEAD_LEN + digest.entries.len() * DIGEST_ENTRY_LEN
}
