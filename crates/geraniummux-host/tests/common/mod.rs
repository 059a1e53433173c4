//! Sets up a host on loopback without a store, callers or targets.

pub mod peer;
pub mod targets;

use bytes::Bytes;
use geraniummux_core::fleet::{TargetDemand, TargetReport};
use geraniummux_host::metrics::Metrics;
use geraniummux_host::peers::PeerNet;
use geraniummux_host::{CallerLocation, HeaderNames, Host, InvalidHeader, Protocol, Settings};
use http::{HeaderMap, HeaderName, Uri};
use slog::{Discard, Logger, o};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Key of the messages between hosts.
pub const PEER_KEY: &str = "0123456789abcdef";

struct NoProtocol(HeaderNames);

impl Protocol for NoProtocol {
    fn headers(&self) -> &HeaderNames {
        &self.0
    }
    fn target_report(&self, _: &HeaderMap) -> Result<Option<TargetReport>, InvalidHeader> {
        Ok(None)
    }
    fn target_demand(&self, headers: &HeaderMap) -> Result<TargetDemand, InvalidHeader> {
        let limit = headers.get("limit").and_then(|v| v.to_str().ok());
        Ok(TargetDemand {
            limit_per_s: limit.and_then(|v| v.parse().ok()),
            leaving: headers.contains_key("leaving"),
        })
    }
    fn warm_up_left(&self, headers: &HeaderMap) -> Result<Option<Duration>, InvalidHeader> {
        let left = headers.get("cold-ms").and_then(|v| v.to_str().ok());
        Ok(left.and_then(|v| v.parse().ok()).map(Duration::from_millis))
    }
    fn is_readiness_request(&self, _: &Uri) -> bool {
        true
    }
    fn parse_host_list_request(&self, _: &Uri) -> Option<CallerLocation> {
        None
    }
    fn host_list_response(&self, _: &[SocketAddr], _: Duration) -> (&'static str, Bytes) {
        ("text/plain", Bytes::new())
    }
}

/// Returns the header names of the tests.
pub fn header_names() -> HeaderNames {
    let name = HeaderName::from_static;
    HeaderNames {
        request_id: name("a"),
        time_left_ms: name("b"),
        expected_target: name("c"),
        answering_target: name("d"),
        not_executed: name("e"),
        digest: name("f"),
        caller_key: name("key"),
        team: name("team"),
    }
}

/// Returns a host with the peer address `peer`. `seeds` is a JSON array of other hosts' addresses.
pub async fn host(peer: SocketAddr, seeds: &str) -> Arc<Host> {
    named_host("h", peer, seeds).await
}

/// Returns a host with a name.
pub async fn named_host(name: &str, peer: SocketAddr, seeds: &str) -> Arc<Host> {
    host_in("a", name, peer, seeds).await
}

/// Returns a host in a failure domain.
pub async fn host_in(domain: &str, name: &str, peer: SocketAddr, seeds: &str) -> Arc<Host> {
    host_with_log(domain, name, peer, seeds, Logger::root(Discard, o!())).await
}

/// Returns a host that logs to `log`.
pub async fn host_with_log(
    domain: &str,
    name: &str,
    peer: SocketAddr,
    seeds: &str,
    log: Logger,
) -> Arc<Host> {
    let settings = format!(
        r#"{{"host": "{name}", "failure_domain": "{domain}", "listen": "127.9.9.1:1", "readiness": "127.9.9.1:2",
            "directory": "127.9.9.1:3", "peer": "{peer}", "peer_key": "{PEER_KEY}",
            "store": "127.9.9.1:5", "seeds": {seeds}}}"#
    );
    let settings = Settings::parse(&settings).unwrap();
    let names = header_names();
    let net = PeerNet::open(peer, &settings.peer_key).await.unwrap();
    Arc::new(Host::new(settings, log, Metrics::new().unwrap(), Arc::new(NoProtocol(names)), net))
}
