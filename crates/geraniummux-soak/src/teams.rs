//! Callers' teams and keys, evacuated domains and cold targets: what is configured and changed during a run, and the
//! checks of what targets were sent.

use crate::callers::{Outcome, RequestRecord};
use crate::harness::{Harness, ZONES};
use crate::report::Report;
use anyhow::bail;
use geraniummux_standin::registered_target::{LateRun, Run};
use http::StatusCode;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::{Value, json};
use std::collections::HashMap;
use std::str::FromStr;
use std::sync::{Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// Key that is valid during the whole run.
pub const STABLE_KEY: &str = "key-0";
/// Requests a second that a cold target accepts.
pub const WARM_UP_PER_S: f64 = 7.1;
/// Factor and number of requests by which a cold target may get more than [`WARM_UP_PER_S`] in a second.
const WARM_UP_OVERAGE: f64 = 1.5;
const WARM_UP_SLACK: f64 = 8.0;
/// Time in which a configuration takes effect, and in which hosts learn that a target has become cold.
const CHANGE_LIMIT: Duration = Duration::from_millis(2_500);
/// Time after which targets of an evacuated domain get no more requests, as in the settings of the hosts.
pub const EVACUATION_LIMIT: Duration = Duration::from_secs(5);
/// Window of allowances, as in the settings of the hosts.
pub const WINDOW: Duration = Duration::from_secs(5);
/// Share by which a team may exceed its allowance in a window.
pub const OVERAGE: f64 = 0.1;
/// Requests by which a team may exceed its allowance in a window.
pub const SLACK: f64 = 20.0;
/// Longest time from when a caller sends a request until a host looks up its key, for requests that wait behind others
/// on a connection.
const LOOKUP_LIMIT: Duration = Duration::from_secs(12);
/// Time between the moment when an evacuation is in force and the first fault.
const CALM_MARGIN: Duration = Duration::from_millis(500);
const PAUSE_STEP: Duration = Duration::from_millis(50);

struct Team {
    name: &'static str,
    priority: Option<u32>,
    /// Requests a second; 0 for no limit.
    per_s: f64,
    burst: f64,
}

const TEAMS: [Team; 4] = [
    Team { name: "ash", priority: Some(1), per_s: 25.0, burst: 10.0 },
    Team { name: "birch", priority: None, per_s: 8.0, burst: 4.0 },
    Team { name: "cedar", priority: None, per_s: 0.0, burst: 0.0 },
    Team { name: "elm", priority: Some(2), per_s: 40.0, burst: 0.0 },
];

/// The parts that a run checks beside keys and names of teams.
#[derive(Clone, Copy, Debug, Default)]
pub struct TeamChecks {
    /// Keys, and the names of teams that targets get.
    pub keys: bool,
    /// Allowances.
    pub allowances: bool,
    /// Evacuations of failure domains.
    pub evacuations: bool,
    /// Limits of cold targets.
    pub cold: bool,
    /// Order of responses to pipelined requests.
    pub pipelining: bool,
}

impl FromStr for TeamChecks {
    type Err = anyhow::Error;

    fn from_str(list: &str) -> anyhow::Result<Self> {
        let mut checks = TeamChecks::default();
        for name in list.split(',') {
            match name {
                "keys" => checks.keys = true,
                "allowances" => checks.allowances = true,
                "evacuations" => checks.evacuations = true,
                "cold" => checks.cold = true,
                "pipelining" => checks.pipelining = true,
                _ => bail!("unknown check {name:?}"),
            }
        }
        Ok(checks)
    }
}

struct Key {
    text: String,
    team: &'static Team,
    /// When it was added; `None` if it is there from the start.
    added: Option<Instant>,
    removed: Option<Instant>,
}

/// The headers by which a request belongs to a team, and what follows from them.
#[derive(Clone, Debug)]
pub struct Credential {
    /// Headers that the caller sends.
    pub headers: Vec<(&'static str, String)>,
    /// Whether the request's route needs no key.
    pub public: bool,
    /// Number of the key, of those that teams have or had; `None` for no key, several, or one that no team ever has.
    key: Option<usize>,
    sent: Instant,
}

/// The teams of a run.
pub struct Teams {
    /// What is checked.
    pub checks: TeamChecks,
    keys: Mutex<Vec<Key>>,
}

impl Teams {
    /// Returns the teams with a key for each.
    pub fn new(checks: TeamChecks) -> Self {
        let key = |(i, team)| Key { text: format!("key-{i}"), team, added: None, removed: None };
        Teams { checks, keys: Mutex::new(TEAMS.iter().enumerate().map(key).collect()) }
    }

    fn keys(&self) -> MutexGuard<'_, Vec<Key>> {
        self.keys.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Returns the time before the first fault in which an evacuation takes effect and a cold target becomes known.
    pub fn calm_start(&self) -> Duration {
        let is_needed = self.checks.evacuations || self.checks.cold;
        if is_needed { EVACUATION_LIMIT + CALM_MARGIN } else { Duration::ZERO }
    }

    /// Returns the teams as the configuration lists them.
    pub fn tenants(&self) -> Value {
        let keys = self.keys();
        let tenant = |team: &Team| {
            let valid = keys.iter().filter(|k| k.team.name == team.name && k.removed.is_none());
            let valid: Vec<&str> = valid.map(|k| &*k.text).collect();
            json!({"name": team.name, "api-keys": valid, "priority": team.priority,
                "rate-per-s": team.per_s, "burst": team.burst})
        };
        TEAMS.iter().map(tenant).collect()
    }

    /// Draws the credential of a request: mostly a valid key, and often a forged name of a team.
    pub fn draw(&self, rng: &mut StdRng, public: bool) -> Credential {
        let mut headers = Vec::new();
        let keys = self.keys();
        let number = rng.random_range(0..keys.len());
        let text = keys[number].text.clone();
        let kind = rng.random_range(0..12);
        match kind {
            0 => {}
            1 => headers.push(("key", format!("key-of-nobody-{}", rng.random::<u32>()))),
            2 => headers.extend([("key", text), ("key", STABLE_KEY.to_owned())]),
            _ => headers.push(("key", text)),
        }
        let key = (kind > 2).then_some(number);
        for _ in 0..rng.random_range(0..3) {
            headers.push(("tenant-id", TEAMS[rng.random_range(0..TEAMS.len())].name.to_owned()));
        }
        Credential { headers, public, key, sent: Instant::now() }
    }

    /// Adds a key to a team or removes one that was added.
    fn change_keys(&self, rng: &mut StdRng) -> String {
        let mut keys = self.keys();
        let now = Instant::now();
        let removable = |k: &&mut Key| k.added.is_some() && k.removed.is_none();
        if rng.random_bool(0.5)
            && let Some(key) = keys.iter_mut().find(removable)
        {
            key.removed = Some(now);
            return format!("{} removed", key.text);
        }
        let text = format!("key-{}", keys.len());
        let team = &TEAMS[rng.random_range(0..TEAMS.len())];
        keys.push(Key { text: text.clone(), team, added: Some(now), removed: None });
        format!("{text} added")
    }
}

async fn pause(end: Instant, time: Duration) {
    let until = end.min(Instant::now() + time);
    while Instant::now() < until {
        tokio::time::sleep(PAUSE_STEP).await;
    }
}

/// Changes keys, evacuates domains and makes targets cold until `end`, each as far as it is checked. The first evacuation
/// and the first cold target come at once, so that faults follow when they are known everywhere. What happens is drawn from
/// generators of its own, so that the other faults of a seed stay the same. Returns what happened.
pub async fn change(harness: &Harness, teams: &Teams, seed: u64, end: Instant) -> Vec<String> {
    let rng = |turn| StdRng::seed_from_u64(!seed.rotate_left(turn));
    let keys = async {
        let (mut rng, mut changes) = (rng(8), Vec::new());
        while Instant::now() < end {
            changes.push(teams.change_keys(&mut rng));
            harness.publish_config();
            pause(end, Duration::from_millis(rng.random_range(300..2_500))).await;
        }
        changes
    };
    let evacuations = async {
        let (mut rng, mut changes) = (rng(16), Vec::new());
        while teams.checks.evacuations && Instant::now() < end {
            let zone = rng.random_range(0..ZONES.len());
            changes.push(format!("{} evacuated", ZONES[zone]));
            harness.set_evacuated(zone, true);
            let time = EVACUATION_LIMIT + Duration::from_millis(rng.random_range(2_000..8_000));
            pause(end, time).await;
            harness.set_evacuated(zone, false);
            pause(end, Duration::from_millis(rng.random_range(0..2_000))).await;
        }
        changes
    };
    let cold = async {
        let (mut rng, mut changes) = (rng(24), Vec::new());
        while teams.checks.cold && Instant::now() < end {
            let i = rng.random_range(0..harness.targets.len());
            let time = Duration::from_millis(rng.random_range(3_000..8_000));
            changes.push(format!("target {i} cold for {time:?}"));
            harness.targets[i].set_cold(time);
            harness.register(i);
            pause(end, time.mul_f64(rng.random_range(0.5..1.5))).await;
        }
        changes
    };
    let (mut changes, evacuations, cold) = tokio::join!(keys, evacuations, cold);
    changes.extend(evacuations);
    changes.extend(cold);
    changes
}

/// Checks what targets were sent against what callers sent and what was configured.
pub fn check(harness: &Harness, teams: &Teams, records: &[RequestRecord], report: &mut Report) {
    let mut runs: HashMap<String, Vec<Run>> = HashMap::new();
    for run in harness.targets.iter().flat_map(|t| t.runs()) {
        runs.entry(run.id.clone()).or_default().push(run);
    }
    let checks = teams.checks;
    let mut add = |is_checked: bool, (observed, violations): (String, Vec<String>)| {
        if is_checked {
            report.checks += 1;
            report.observed.push(observed);
            report.violations.extend(violations);
        }
    };
    add(checks.keys, key_violations(harness, teams, records, &runs));
    add(checks.allowances, allowance_violations(teams, records, &runs));
    add(checks.evacuations && harness.is_timed(), evacuation_violations(harness));
    add(checks.cold && harness.is_timed(), cold_violations(harness));
}

fn evacuation_violations(harness: &Harness) -> (String, Vec<String>) {
    let late: Vec<LateRun> = harness.targets.iter().flat_map(|t| t.evacuated_runs()).collect();
    // What happens to a host later does not excuse it.
    let is_violation = |l: &&LateRun| harness.is_undisturbed(l.since, l.since + EVACUATION_LIMIT);
    let violations = late.iter().filter(is_violation).count();
    let violation =
        || format!("{violations} requests reached targets of evacuated domains too late");
    let observed = format!("evacuations: {} late requests", late.len());
    (observed, (violations > 0).then(violation).into_iter().collect())
}

fn key_violations(
    harness: &Harness,
    teams: &Teams,
    records: &[RequestRecord],
    runs: &HashMap<String, Vec<Run>>,
) -> (String, Vec<String>) {
    let mut violations = Vec::new();
    let key_count: u32 = harness.targets.iter().map(|t| t.key_count()).sum();
    if key_count > 0 {
        violations.push(format!("targets got {key_count} requests with a key"));
    }
    // Whether each host has had the time to learn of a change.
    let is_settled = |changed: Instant, sent: Instant| {
        let settled = changed + CHANGE_LIMIT;
        harness.is_timed() && sent > settled && harness.is_undisturbed(changed, settled)
    };
    let keys = teams.keys();
    for record in records {
        let Some(credential) = &record.credential else { continue };
        let (public, sent) = (credential.public, credential.sent);
        let key = credential.key.map(|n| &keys[n]);
        // What the hosts may hold of the key while it is being added or removed.
        let may_be_known = key.is_some_and(|k| k.removed.is_none_or(|r| !is_settled(r, sent)));
        let may_be_unknown = key.is_none_or(|k| {
            k.added.is_some_and(|a| !is_settled(a, sent))
                || k.removed.is_some_and(|r| r < sent + LOOKUP_LIMIT)
        });
        let is_right = |run: &Run| match &run.teams[..] {
            [] => public && may_be_unknown,
            [team] => may_be_known && key.is_some_and(|k| k.team.name == team),
            _ => false,
        };
        let runs = runs.get(&record.id).map_or(&[][..], |r| &r[..]);
        let is_refused = record.outcome == Outcome::Response(StatusCode::UNAUTHORIZED);
        if is_refused && (public || !may_be_unknown) || !runs.iter().all(is_right) {
            let told: Vec<_> = runs.iter().map(|r| &r.teams).collect();
            violations.push(format!(
                "{} at {}: {credential:?}, {:?}, targets were told {told:?}",
                record.id, record.host, record.outcome
            ));
        }
    }
    let refused =
        records.iter().filter(|r| r.outcome == Outcome::Response(StatusCode::UNAUTHORIZED)).count();
    (format!("keys: {} that teams have or had, {refused} requests got 401", keys.len()), violations)
}

/// Requests that ran more than once count once, at their first run.
fn allowance_violations(
    teams: &Teams,
    records: &[RequestRecord],
    runs: &HashMap<String, Vec<Run>>,
) -> (String, Vec<String>) {
    let (mut observed, mut violations) = (String::from("allowances:"), Vec::new());
    let keys = teams.keys();
    for team in TEAMS.iter().filter(|t| t.per_s > 0.0) {
        let first_run = |record: &RequestRecord| {
            let credential = record.credential.as_ref()?;
            let key = &keys[credential.key?];
            let first = runs.get(&record.id)?.iter().min_by_key(|r| r.start)?;
            // A public request whose key the host does not know belongs to no team.
            let counts =
                key.team.name == team.name && !(credential.public && first.teams.is_empty());
            counts.then_some(first.start)
        };
        let mut starts: Vec<Instant> = records.iter().filter_map(first_run).collect();
        let limit = (team.per_s * WINDOW.as_secs_f64() + team.burst) * (1.0 + OVERAGE) + SLACK;
        let most = most_within(&mut starts, WINDOW);
        observed += &format!(" {} {most} of {limit:.1};", team.name);
        if most as f64 > limit {
            violations.push(format!(
                "{most} requests of {} ran within {WINDOW:?}, limit {limit}",
                team.name
            ));
        }
    }
    (observed, violations)
}

fn cold_violations(harness: &Harness) -> (String, Vec<String>) {
    let limit = WARM_UP_PER_S * WARM_UP_OVERAGE + WARM_UP_SLACK;
    let (mut checked, mut highest, mut violations) = (0, 0, Vec::new());
    for target in &harness.targets {
        let arrivals = target.cold_arrivals();
        for times in arrivals.chunk_by(|a, b| a.since == b.since) {
            let known = times[0].since + CHANGE_LIMIT;
            let counts =
                |l: &&LateRun| l.run_start > known && harness.is_undisturbed(l.since, l.run_start);
            let mut times: Vec<Instant> =
                times.iter().filter(counts).map(|l| l.run_start).collect();
            let most = most_within(&mut times, Duration::from_secs(1));
            checked += times.len();
            highest = highest.max(most);
            if most as f64 > limit {
                violations.push(format!(
                    "{} got {most} requests within a second while it was cold, limit {limit}",
                    target.id()
                ));
            }
        }
    }
    let observed = format!(
        "cold targets: {checked} requests, at most {highest} within a second of {limit:.1}"
    );
    (observed, violations)
}

/// Returns the largest number of times that lie within any window.
fn most_within(times: &mut [Instant], window: Duration) -> usize {
    times.sort_unstable();
    let mut first = 0;
    let mut most = 0;
    for (i, time) in times.iter().enumerate() {
        while *time - times[first] >= window {
            first += 1;
        }
        most = most.max(i + 1 - first);
    }
    most
}
