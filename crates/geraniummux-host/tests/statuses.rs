//! Targets whose responses have a status that is no final status.

mod common;

use common::targets::{
    COMPLETE_BODY, Reply, ScriptedTarget, call_as, complete_response, registered, serve_pool,
    start_host_with,
};
use geraniummux_core::MemberState;
use geraniummux_core::fleet::RegistryChange;
use geraniummux_host::{peers, reach};
use http::StatusCode;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;

/// Time that callers have for a request, in milliseconds.
const TIME_LEFT_MS: u64 = 2_000;
/// Requests in each case.
const REQUESTS: usize = 6;
const STATUSES: [&str; 10] =
    ["000", "001", "099", "101", "600", "700", "999", "1000", "2000", "+20"];

fn with_status(addr: SocketAddr, id: &str, status: &str) -> Reply {
    Reply::Keep(complete_response(addr, id).replacen("200 OK", &format!("{status} None"), 1))
}

fn broken(status: &'static str) -> impl Fn(Option<usize>, SocketAddr, &str) -> Reply + Clone {
    move |n, addr, id| match n {
        Some(_) => with_status(addr, id, status),
        None => Reply::Keep(complete_response(addr, id)),
    }
}

fn plain(_: Option<usize>, addr: SocketAddr, id: &str) -> Reply {
    Reply::Keep(complete_response(addr, id))
}

fn runs(targets: &[&ScriptedTarget], id: &str) -> usize {
    let count =
        |t: &&ScriptedTarget| t.requests.lock().unwrap().iter().filter(|r| *r == id).count();
    targets.iter().map(count).sum()
}

/// Guards against a response with a status that is none and that a caller gets as it is, or without a retry: from
/// the only target, and from one of two.
#[tokio::test]
async fn host_status_that_is_none_is_no_response() {
    for (net, status) in (200..).step_by(2).zip(STATUSES) {
        let only = ScriptedTarget::start(broken(status)).await;
        let (_host, addr) = start_host_with(&[only.addr], &format!("127.9.9.{net}:7009")).await;
        let (got, _) = call_as(addr, "once", "first", TIME_LEFT_MS).await;
        assert_eq!((got, only.count()), (StatusCode::BAD_GATEWAY, 1), "{status}, once");
        let (got, _) = call_as(addr, "safe", "second", TIME_LEFT_MS).await;
        assert!(got.is_server_error(), "{status}, safe: {got}");

        let one = ScriptedTarget::start(broken(status)).await;
        let other = ScriptedTarget::start(plain).await;
        let peer = format!("127.9.9.{}:7009", net + 1);
        let (_host, addr) = start_host_with(&[one.addr, other.addr], &peer).await;
        for n in 0..REQUESTS {
            let (id, route) = (format!("r-{n}"), ["safe", "once"][n % 2]);
            let (got, body) = call_as(addr, route, &id, TIME_LEFT_MS).await;
            let case = format!("{status}, {route}, request {n}: {got}");
            match route {
                "safe" => assert_eq!((got, &*body), (StatusCode::OK, COMPLETE_BODY.as_bytes())),
                _ => {
                    assert!(matches!(got, StatusCode::OK | StatusCode::BAD_GATEWAY), "{case}");
                    assert_eq!(runs(&[&one, &other], &id), 1, "{case}");
                }
            }
        }
    }
}

/// Guards against a probe that is answered with a status that is none and whose statements are believed: here, that
/// the target leaves.
#[tokio::test]
async fn host_probe_with_status_that_is_none_failed() {
    for (net, status) in (220..).zip(["101", "600", "999"]) {
        let probed = move |n: Option<usize>, addr: SocketAddr, id: &str| match n {
            Some(_) => plain(n, addr, id),
            None => {
                let text = complete_response(addr, id).replacen("200 OK", status, 1);
                Reply::Keep(text.replacen("f: digest", "leaving: 1", 1))
            }
        };
        let targets = [ScriptedTarget::start(probed).await, ScriptedTarget::start(plain).await];
        let addrs = targets.each_ref().map(|t| t.addr);
        let (host, addr) = start_host_with(&addrs, &format!("127.9.9.{net}:7009")).await;
        // The host selects targets itself, by probes.
        host.members().leave();
        for n in 0..REQUESTS {
            let (got, _) = call_as(addr, "safe", &format!("r-{n}"), TIME_LEFT_MS).await;
            assert_eq!(got, StatusCode::OK, "{status}");
        }
        let closed = {
            let fleet = host.fleet();
            fleet.demands.closed(host.now(), "pool", |t| fleet.registry.run(t)).len()
        };
        assert_eq!(closed, 0, "{status}");
        let metrics = host.metrics.text().unwrap();
        let probes = |result: &str| {
            metrics.contains(&format!("probes_total{{pool=\"pool\",result=\"{result}\"}}"))
        };
        assert!(!probes(status) && probes("failed") && probes("200"), "{status}: {metrics}");
    }
}

/// Guards against a response with a status that is none and that comes through a peer.
#[tokio::test]
async fn host_status_that_is_none_through_a_peer_is_no_response() {
    for (net, status) in (230..).step_by(2).zip(["101", "700"]) {
        let targets = [
            ScriptedTarget::start(broken(status)).await,
            ScriptedTarget::start(broken(status)).await,
        ];
        let peers = [net, net + 1].map(|n| format!("127.9.9.{n}:7009"));
        let mut hosts = Vec::new();
        for (i, domain) in ["a", "b"].into_iter().enumerate() {
            let seeds = format!("[\"{}\"]", peers[1 - i]);
            let peer: SocketAddr = peers[i].parse().unwrap();
            let host = common::host_in(domain, &format!("host-{i}"), peer, &seeds).await;
            let listener = Arc::new(TcpListener::bind(peer).await.unwrap());
            tokio::spawn(peers::serve(host.clone(), listener));
            tokio::spawn(peers::receive(host.clone()));
            tokio::spawn(peers::run(host.clone()));
            tokio::spawn(reach::run(host.clone()));
            let entry = |t: &ScriptedTarget| {
                let (revision, mut change) = registered("pool", t.addr);
                if let RegistryChange::Put(target) = &mut change
                    && i == 0
                {
                    // Nothing listens there, so that the first host is cut off.
                    target.addr.set_ip(IpAddr::V4(Ipv4Addr::new(127, 9, 9, 99)));
                }
                (revision, change)
            };
            let mut entries: Vec<_> = targets.iter().map(entry).collect();
            entries.sort_by_key(|(_, change)| match change {
                RegistryChange::Put(t) => t.id.clone(),
                _ => unreachable!(),
            });
            let addr = serve_pool(&host, entries, &peers[i]).await;
            hosts.push((host, addr));
        }
        let knows = |i: usize| hosts[i].0.members().peers().any(|m| m.state == MemberState::Alive);
        while !(knows(0) && knows(1)) {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        let ran = || targets.iter().map(ScriptedTarget::count).sum::<usize>();
        let asked = async {
            for n in 0.. {
                let (id, route) = (format!("r-{n}"), ["once", "safe"][n % 2]);
                let (got, _) = call_as(hosts[0].1, route, &id, TIME_LEFT_MS).await;
                assert!(got.is_server_error(), "{status}, {route}: {got}");
                let runs = runs(&[&targets[0], &targets[1]], &id);
                assert!(route == "safe" || runs <= 1, "{status}: {runs} runs");
                assert!(runs == 0 || got == StatusCode::BAD_GATEWAY, "{status}, {route}: {got}");
                if ran() >= REQUESTS {
                    return;
                }
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        };
        tokio::time::timeout(Duration::from_secs(20), asked).await.expect("requests that ran");
    }
}
