//! Teams and their keys on the way of a request to its targets.

mod common;

use common::peer::Peer;
use common::targets::{
    Head, Reply, ScriptedTarget, complete_response, identity, read_head, registered, serve_pool,
};
use geraniummux_core::fleet::{ApiKey, Authentication, FleetConfig, Revision, SlotDecision, Team};
use geraniummux_host::{Host, peers};
use geraniummux_wire::Message;
use slog::{Drain, Key, Logger, Never, OwnedKVList, Record, Serializer, o};
use std::fmt;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const KEY: &str = "s3cret-red";
const UNKNOWN_KEY: &str = "s3cret-unknown";
/// Header lines with names of teams that the caller has no key of.
const FORGED: &str = "team: blue\r\nTEAM: red\r\nTeAm: green\r\n";
/// Priority of the team "red"; that of the routes is 1.
const PRIORITY: u32 = 7;
/// Time for which a target works on a request that is hedged.
const SERVICE_TIME: Duration = Duration::from_millis(500);
const POLL_INTERVAL: Duration = Duration::from_millis(5);
const GIVE_UP_AFTER: Duration = Duration::from_secs(20);

/// Collects the lines of a log.
#[derive(Clone, Default)]
struct Lines(Arc<Mutex<Vec<String>>>);

impl Lines {
    fn logger(&self) -> Logger {
        Logger::root(self.clone(), o!())
    }

    fn text(&self) -> String {
        self.0.lock().unwrap().join("\n")
    }
}

impl Drain for Lines {
    type Ok = ();
    type Err = Never;

    fn log(&self, record: &Record<'_>, values: &OwnedKVList) -> Result<(), Never> {
        let mut line = Line(record.msg().to_string());
        slog::KV::serialize(&record.kv(), record, &mut line).unwrap();
        slog::KV::serialize(values, record, &mut line).unwrap();
        self.0.lock().unwrap().push(line.0);
        Ok(())
    }
}

struct Line(String);

impl Serializer for Line {
    fn emit_arguments(&mut self, key: Key, value: &fmt::Arguments<'_>) -> slog::Result {
        self.0 += &format!(" {key}={value}");
        Ok(())
    }
}

fn team(name: &str, key: &str, priority: Option<u32>) -> Arc<Team> {
    Arc::new(Team { name: name.into(), keys: vec![ApiKey::new(key)], priority, allowance: None })
}

/// Puts the next version of the configuration in force, with changes by `alter`.
fn reconfigure<F>(host: &Host, alter: F)
where
    F: FnOnce(&mut FleetConfig),
{
    let mut config = FleetConfig::clone(&host.config().unwrap());
    config.version += 1;
    alter(&mut config);
    let revision = Revision::new(1, config.version);
    host.adopt_config(config, revision, "store");
}

/// Starts a host that reads the store, with the teams "red" and "blue" and a public route "once".
async fn start(targets: &[&ScriptedTarget], peer: &str, log: &Lines) -> (Arc<Host>, SocketAddr) {
    let host = common::host_with_log("a", "h", peer.parse().unwrap(), "[]", log.logger()).await;
    let changes = targets.iter().map(|t| registered("pool", t.addr)).collect();
    let addr = serve_pool(&host, changes, peer).await;
    let now = host.now();
    host.freshness().set_watching_targets(now, true);
    host.freshness().set_watching_config(now, true);
    reconfigure(&host, |config| {
        config.authentication = Authentication::Teams(vec![
            team("blue", "s3cret-blue", None),
            team("red", KEY, Some(PRIORITY)),
        ]);
        config.routes.iter_mut().for_each(|r| r.public = &*r.name == "once");
    });
    (host, addr)
}

async fn sound_target() -> ScriptedTarget {
    ScriptedTarget::start(|_, addr, id| Reply::Keep(complete_response(addr, id))).await
}

/// Sends a request with further header lines on a connection, and returns the status and the head of the response.
async fn exchange(stream: &mut TcpStream, route: &str, lines: &str) -> (u16, Head) {
    let id = rand::random::<u64>();
    let head = format!(
        "GET /{route}/x HTTP/1.1\r\nhost: a.example\r\na: r-{id}\r\nb: 4000\r\n{lines}\r\n"
    );
    stream.write_all(head.as_bytes()).await.unwrap();
    let head = read_head(stream).await.expect("a response");
    let status = head.0[9..12].parse().unwrap();
    let len = head.value("content-length").map_or(0, |len| len.parse().unwrap());
    stream.read_exact(&mut vec![0; len]).await.unwrap();
    (status, head)
}

async fn call(host: SocketAddr, route: &str, lines: &str) -> (u16, Head) {
    exchange(&mut TcpStream::connect(host).await.unwrap(), route, lines).await
}

fn key_line(key: &str) -> String {
    format!("KEY: {key}\r\n")
}

/// Checks that each request that a target got names only this team, and has no key.
fn check_heads(target: &ScriptedTarget, teams: &[&str]) {
    for head in &*target.heads.lock().unwrap() {
        assert_eq!(head.values("team"), teams, "{}", head.0);
        assert!(head.values("key").is_empty() && !head.0.contains("s3cret"), "{}", head.0);
    }
}

/// Guards against requests without exactly one known key that reach a target.
#[tokio::test]
async fn request_without_one_known_key_is_refused() {
    let log = Lines::default();
    let target = sound_target().await;
    let (host, addr) = start(&[&target], "127.9.9.160:7009", &log).await;
    let key = key_line(KEY);
    for (lines, reason) in [
        (String::from(FORGED), "no_key"),
        (key_line(UNKNOWN_KEY), "unknown_key"),
        (key_line(""), "unknown_key"),
        (key_line(&format!("{KEY}, {KEY}")), "unknown_key"),
        (key.repeat(2), "several_keys"),
        (key.clone() + &key_line(UNKNOWN_KEY), "several_keys"),
    ] {
        let (status, head) = call(addr, "safe", &lines).await;
        assert_eq!((status, head.value("content-length")), (401, Some("0")), "{reason}");
        let last = log.0.lock().unwrap().last().unwrap().clone();
        assert!(last.contains("refused") && last.contains(&format!("reason={reason}")), "{last}");
    }
    assert_eq!(target.count(), 0);
    assert!(!log.text().contains("s3cret"));
    assert!(!host.metrics.text().unwrap().contains("s3cret"));
}

/// Guards against keys in logs and metrics, and against requests that are not counted by team.
#[tokio::test]
async fn request_with_key_is_logged_and_counted_by_team() {
    let log = Lines::default();
    let target = sound_target().await;
    let (host, addr) = start(&[&target], "127.9.9.161:7009", &log).await;
    assert_eq!(call(addr, "safe", &key_line(KEY)).await.0, 200);
    assert_eq!(call(addr, "once", "").await.0, 200);
    let text = log.text();
    assert!(text.contains("team=red"), "{text}");
    assert_eq!(text.lines().filter(|l| l.starts_with("request ")).count(), 2, "{text}");
    let metrics = host.metrics.text().unwrap();
    let counters: Vec<&str> =
        metrics.lines().filter(|l| l.starts_with("geraniummux_team_requests_total")).collect();
    let expected = r#"geraniummux_team_requests_total{outcome="served",team="red"} 1"#;
    assert_eq!(counters, [expected]);
    assert!(!text.contains("s3cret") && !metrics.contains("s3cret"));
}

/// Guards against a name of a team that the caller sent and the target believes.
#[tokio::test]
async fn forged_team_is_replaced() {
    let target = sound_target().await;
    let (_host, addr) = start(&[&target], "127.9.9.162:7009", &Lines::default()).await;
    for connection in ["", "connection: team\r\n", "connection: key, team\r\n"] {
        let lines = format!("{FORGED}{}{connection}", key_line(KEY));
        assert_eq!(call(addr, "safe", &lines).await.0, 200);
    }
    assert_eq!(target.count(), 3);
    check_heads(&target, &["red"]);
}

/// Guards against the same on a retry.
#[tokio::test]
async fn forged_team_is_replaced_on_a_retry() {
    let attempts = Arc::new(AtomicUsize::new(0));
    let mut targets = Vec::new();
    for _ in 0..2 {
        let attempts = attempts.clone();
        let reply = move |number: Option<usize>, addr: SocketAddr, id: &str| match number {
            Some(_) if attempts.fetch_add(1, Ordering::Relaxed) == 0 => Reply::Close(String::new()),
            _ => Reply::Keep(complete_response(addr, id)),
        };
        targets.push(ScriptedTarget::start(reply).await);
    }
    let targets: Vec<&ScriptedTarget> = targets.iter().collect();
    let (_host, addr) = start(&targets, "127.9.9.163:7009", &Lines::default()).await;
    let lines = format!("{FORGED}{}", key_line(KEY));
    assert_eq!(call(addr, "safe", &lines).await.0, 200);
    assert_eq!(attempts.load(Ordering::Relaxed), 2);
    targets.iter().for_each(|t| check_heads(t, &["red"]));
}

/// Guards against the same on a hedge, and against a slot request with the priority of the route instead of that of
/// the team.
#[tokio::test]
async fn forged_team_is_replaced_on_a_hedge() {
    let slow = |number: Option<usize>, addr: SocketAddr, id: &str| match number {
        Some(_) => Reply::Later(SERVICE_TIME, complete_response(addr, id)),
        None => Reply::Keep(complete_response(addr, id)),
    };
    let targets = [ScriptedTarget::start(slow).await, ScriptedTarget::start(slow).await];
    let peer = "127.9.9.164:7009";
    let (host, addr) = start(&[&targets[0], &targets[1]], peer, &Lines::default()).await;
    tokio::spawn(peers::receive(host.clone()));
    let scheduler = Peer::start(peer.parse().unwrap()).await;
    scheduler.become_scheduler(&host);
    let request =
        tokio::spawn(
            async move { call(addr, "safe", &format!("{FORGED}{}", key_line(KEY))).await.0 },
        );
    let asked = scheduler.receive(|message| match message {
        Message::TeamSlotRequest { number, request, team, .. } => {
            Some((number, request.priority, team.team))
        }
        _ => None,
    });
    let (number, priority, team) = asked.await;
    assert_eq!((priority, &*team), (PRIORITY, "red"));
    let target = |i: usize| identity(targets[i].addr).into();
    let grant = SlotDecision::Grant { target: target(0), latency_factor: 1.0 };
    scheduler.decide(number, grant).await;
    let running = async {
        while targets[0].count() == 0 {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    };
    tokio::time::timeout(GIVE_UP_AFTER, running).await.expect("the first target gets no request");
    let hedge = SlotDecision::Hedge { target: target(1), latency_factor: 1.0 };
    scheduler.decide(number, hedge).await;
    assert_eq!(request.await.unwrap(), 200);
    assert_eq!(targets.each_ref().map(ScriptedTarget::count), [1, 1]);
    targets.iter().for_each(|t| check_heads(t, &["red"]));
}

/// Guards against public routes that need a key, that pass on a key or a forged name, or that ignore a known key.
#[tokio::test]
async fn public_route_needs_no_key() {
    let target = sound_target().await;
    let (_host, addr) = start(&[&target], "127.9.9.165:7009", &Lines::default()).await;
    let key = key_line(KEY);
    for (lines, teams) in [
        (String::from(FORGED), &[][..]),
        (format!("{FORGED}{}", key_line(UNKNOWN_KEY)), &[]),
        (format!("{FORGED}{key}{key}"), &[]),
        (format!("{FORGED}{key}"), &["red"]),
    ] {
        target.heads.lock().unwrap().clear();
        assert_eq!(call(addr, "once", &lines).await.0, 200);
        check_heads(&target, teams);
    }
    assert_eq!(target.count(), 4);
}

/// Guards against keys that are looked up once for each connection.
#[tokio::test]
async fn key_is_looked_up_for_each_request_of_a_connection() {
    let target = sound_target().await;
    let (host, addr) = start(&[&target], "127.9.9.166:7009", &Lines::default()).await;
    let mut stream = TcpStream::connect(addr).await.unwrap();
    let key = key_line(KEY);
    assert_eq!(exchange(&mut stream, "safe", &key).await.0, 200);
    reconfigure(&host, |config| {
        config.authentication = Authentication::Teams(vec![team("blue", "s3cret-blue", None)]);
    });
    assert_eq!(exchange(&mut stream, "safe", &key).await.0, 401);
    reconfigure(&host, |config| {
        config.authentication = Authentication::Teams(vec![team("green", KEY, None)]);
    });
    assert_eq!(exchange(&mut stream, "safe", &key).await.0, 200);
    assert_eq!(target.heads.lock().unwrap().last().unwrap().values("team"), ["green"]);
}

/// Guards against the final refusal of a key that a newer configuration of the peers may hold.
#[tokio::test]
async fn unknown_key_behind_peers_may_be_sent_again() {
    let log = Lines::default();
    let target = sound_target().await;
    let (host, addr) = start(&[&target], "127.9.9.167:7009", &log).await;
    host.on_peer_config_version(host.config_version() + 2);
    let unknown = key_line(UNKNOWN_KEY);
    let (status, head) = call(addr, "safe", &unknown).await;
    assert_eq!((status, head.value("retry-after")), (503, Some("0.300")));
    assert!(log.text().contains("reason=key_unconfirmed"));
    assert_eq!(call(addr, "safe", &key_line(KEY)).await.0, 200);
    // The version in between may lack the key as well.
    reconfigure(&host, |_| {});
    assert_eq!(call(addr, "safe", &unknown).await.0, 503);
    reconfigure(&host, |_| {});
    assert_eq!(call(addr, "safe", &unknown).await.0, 401);
}

/// Guards against requests that run, with foreign keys and forged names of teams, once the last team is removed: an
/// empty list of teams is not the absence of a list.
#[tokio::test]
async fn request_after_the_last_team_is_removed_is_refused() {
    let log = Lines::default();
    let target = sound_target().await;
    let (host, addr) = start(&[&target], "127.9.9.169:7009", &log).await;
    let mut stream = TcpStream::connect(addr).await.unwrap();
    let lines = format!("{FORGED}{}", key_line(KEY));
    assert_eq!(exchange(&mut stream, "safe", &lines).await.0, 200);
    reconfigure(&host, |config| config.authentication = Authentication::Teams(vec![]));
    for lines in [&lines, &key_line(UNKNOWN_KEY), FORGED, ""] {
        assert_eq!(exchange(&mut stream, "safe", lines).await.0, 401);
    }
    assert_eq!(target.count(), 1);
    target.heads.lock().unwrap().clear();
    assert_eq!(exchange(&mut stream, "once", &lines).await.0, 200);
    check_heads(&target, &[]);
}

/// Guards against requests that run, or are finally refused, while it is unknown whether callers need keys.
#[tokio::test]
async fn request_while_authentication_is_unknown_may_be_sent_again() {
    let log = Lines::default();
    let target = sound_target().await;
    let (host, addr) = start(&[&target], "127.9.9.170:7009", &log).await;
    reconfigure(&host, |config| config.authentication = Authentication::Unknown);
    for lines in [&key_line(KEY), FORGED, ""] {
        let (status, head) = call(addr, "safe", lines).await;
        assert_eq!((status, head.value("retry-after")), (503, Some("0.300")));
    }
    assert_eq!(target.count(), 0);
    assert_eq!(call(addr, "once", &format!("{FORGED}{}", key_line(KEY))).await.0, 200);
    check_heads(&target, &[]);
    // The same version from a host that knows takes its place.
    let mut config = FleetConfig::clone(&host.config().unwrap());
    config.authentication = Authentication::Disabled;
    let revision = Revision::new(1, config.version);
    host.adopt_config(config, revision, "host-2");
    assert_eq!(call(addr, "safe", "").await.0, 200);
}

/// Guards against keys and forged names that reach targets while a host does not know whether there are teams, and
/// against changed requests if there are none.
#[tokio::test]
async fn headers_without_teams() {
    let target = sound_target().await;
    let (host, addr) = start(&[&target], "127.9.9.168:7009", &Lines::default()).await;
    let lines = format!("{FORGED}{}", key_line(KEY));
    reconfigure(&host, |config| {
        config.authentication = Authentication::PresumedDisabled;
        config.is_complete = false;
    });
    assert_eq!(call(addr, "safe", &lines).await.0, 200);
    check_heads(&target, &[]);
    reconfigure(&host, |config| {
        config.authentication = Authentication::Disabled;
        config.is_complete = true;
    });
    assert_eq!(call(addr, "safe", &lines).await.0, 200);
    let heads = target.heads.lock().unwrap();
    let last = heads.last().unwrap();
    assert_eq!(last.values("team"), ["blue", "red", "green"]);
    assert_eq!(last.values("key"), [KEY]);
}
