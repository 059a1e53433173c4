//! Tunnels through which a host that has lost its links to the targets reaches them by a peer.
//!
//! A host asks a peer for a tunnel to a target; the peer connects to the target itself, and then passes on
//! bytes in both directions. All decisions about requests remain with the host that received them: which
//! target is used, how often, and what an error means. The peer never asks another host in turn, so that a
//! request takes one hop at most.

use crate::host::{Host, Phase};
use crate::peers;
use crate::reach;
use crate::upstream::Connection;
use geraniummux_core::Time;
use geraniummux_core::fleet::{Candidate, TargetPath};
use geraniummux_wire::{Message, TunnelRefusal};
use slog::info;
use socket2::{SockRef, TcpKeepalive};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Time for a peer to open a tunnel. It covers [`TARGET_TIMEOUT`] and a few time slices of other processes.
const OPEN_TIMEOUT: Duration = Duration::from_millis(160);
/// Time for a target to accept the connection of a tunnel.
const TARGET_TIMEOUT: Duration = Duration::from_millis(100);
/// Maximum number of tunnels that a host serves at the same time.
pub const MAX_TUNNELS: usize = 256;
/// Time without bytes from the target after which its response counts as complete when this host stops.
const RESPONSE_QUIET_TIME: Duration = Duration::from_millis(200);
/// Size of the buffer of each direction in bytes.
const BUFFER_LEN: usize = 8 << 10;
/// TCP keepalive of tunnels, which end when the host at the other end has lost power: idle time before the
/// first probe, interval of further probes, and their number.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(5);
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(2);
const KEEPALIVE_PROBES: u32 = 3;

/// Why a peer opened no tunnel.
#[derive(Debug, thiserror::Error)]
pub enum TunnelError {
    /// The peer doesn't reach the target.
    #[error("the peer does not reach the target")]
    TargetUnreachable,
    /// The peer knows that the target must get no requests, or does not know it.
    #[error("the target is not usable for the peer")]
    TargetUnusable,
    /// The peer can't open tunnels at present.
    #[error("the peer opens no tunnels")]
    Unavailable,
    /// The exchange with the peer failed.
    #[error("no tunnel: {0}")]
    Broken(#[from] io::Error),
}

/// Asks a peer for a tunnel to a target.
///
/// # Errors
///
/// Fails if the peer refuses or does not respond in time.
pub async fn open(
    host: &Arc<Host>,
    peer: SocketAddr,
    pool: &Arc<str>,
    target: &Candidate,
) -> Result<Connection, TunnelError> {
    let message = Message::OpenTunnel { pool: pool.clone(), target: target.id.clone() };
    let exchange = async {
        let mut stream = TcpStream::connect(peer).await?;
        stream.set_nodelay(true)?;
        peers::write(host, &mut stream, message).await?;
        let answer = peers::read(host, &mut stream).await?;
        Ok::<_, io::Error>((stream, answer.message))
    };
    let (stream, answer) = timeout(OPEN_TIMEOUT, exchange).await.map_err(io::Error::from)??;
    match answer {
        Message::TunnelOpened => {
            let on_surplus = reach::on_surplus(host, target);
            Ok(Connection::relayed(target.run.addr, stream, peer, on_surplus).await?)
        }
        Message::TunnelRefused(TunnelRefusal::TargetUnreachable) => {
            Err(TunnelError::TargetUnreachable)
        }
        Message::TunnelRefused(TunnelRefusal::TargetUnusable) => Err(TunnelError::TargetUnusable),
        Message::TunnelRefused(TunnelRefusal::Unavailable) => Err(TunnelError::Unavailable),
        _ => Err(io::Error::other("the peer sent another message than an answer").into()),
    }
}

/// Opens a tunnel to a target for another host and serves it until it ends. `from` is the host's name.
///
/// # Errors
///
/// Fails if the connection to the other host breaks.
pub async fn serve(
    host: &Arc<Host>,
    mut stream: TcpStream,
    from: &str,
    pool: Arc<str>,
    target: Arc<str>,
) -> io::Result<()> {
    // A host that stops waits for its tunnels as it does for its callers.
    let _guard = host.register_caller();
    let permit = host.tunnel_permits.try_acquire();
    let opened = match &permit {
        Ok(_) => connect(host, &pool, &target).await,
        Err(_) => Err(TunnelRefusal::Unavailable),
    };
    info!(host.log, "tunnel"; "for" => from, "target" => &*target,
        "result" => opened.as_ref().err().map_or("opened", |refusal| refusal.as_str()));
    let upstream = match opened {
        Ok(upstream) => upstream,
        Err(refusal) => {
            return peers::write(host, &mut stream, Message::TunnelRefused(refusal)).await;
        }
    };
    peers::write(host, &mut stream, Message::TunnelOpened).await?;
    pass_on(host, &pool, &target, stream, upstream).await
}

async fn connect(host: &Arc<Host>, pool: &str, target: &str) -> Result<TcpStream, TunnelRefusal> {
    if host.phase() > Phase::Serving || host.reach().targets.is_cut_off() {
        return Err(TunnelRefusal::Unavailable);
    }
    let candidate = host.candidate(pool, target).ok_or(TunnelRefusal::TargetUnusable)?;
    host.metrics.connection("target");
    let result = timeout(TARGET_TIMEOUT, TcpStream::connect(candidate.run.addr)).await;
    let mut reach = host.reach();
    match result {
        Ok(Ok(upstream)) => {
            reach.targets.on_accepted(host.now());
            // A failure only delays requests.
            let _ = upstream.set_nodelay(true);
            Ok(upstream)
        }
        _ => {
            reach.targets.on_failed(host.now(), &candidate.id);
            match reach.targets.path(host.now()) {
                TargetPath::Direct => Err(TunnelRefusal::TargetUnreachable),
                // This host may be cut off, too.
                TargetPath::DirectThenRelayed | TargetPath::Relayed => {
                    Err(TunnelRefusal::Unavailable)
                }
            }
        }
    }
}

/// Passes on bytes until one side closes its connection. Between two requests, also ends the tunnel if this
/// host stops or the target must get no more requests.
async fn pass_on(
    host: &Arc<Host>,
    pool: &str,
    target: &str,
    mut stream: TcpStream,
    mut upstream: TcpStream,
) -> io::Result<()> {
    set_keepalive(&stream);
    let mut phases = host.phases();
    let stopping = async {
        let _ = phases.wait_for(|p| *p > Phase::Serving).await;
    };
    // Whether the last bytes came from the host, which has sent a request.
    let in_request = AtomicBool::new(false);
    // When the last bytes came from the target, in microseconds of the host's clock.
    let responded_at = AtomicU64::new(0);
    let ended = {
        let (mut from_host, mut to_host) = stream.split();
        let (mut from_target, mut to_target) = upstream.split();
        let requests = async {
            let mut buf = vec![0; BUFFER_LEN];
            loop {
                let len = from_host.read(&mut buf).await?;
                let may_start =
                    || host.phase() == Phase::Serving && host.candidate(pool, target).is_some();
                if len == 0 || !in_request.load(Ordering::Relaxed) && !may_start() {
                    return Ok(End::Host);
                }
                in_request.store(true, Ordering::Relaxed);
                to_target.write_all(&buf[..len]).await?;
            }
        };
        let responses = async {
            let mut buf = vec![0; BUFFER_LEN];
            loop {
                let len = match from_target.read(&mut buf).await {
                    Ok(0) => return Ok(End::Target),
                    Ok(len) => len,
                    Err(_) => return Ok(End::TargetReset),
                };
                in_request.store(false, Ordering::Relaxed);
                responded_at.store(host.now().as_micros(), Ordering::Relaxed);
                to_host.write_all(&buf[..len]).await?;
            }
        };
        let stopped = async {
            stopping.await;
            let is_responding = || {
                let last = Time::from_micros(responded_at.load(Ordering::Relaxed));
                host.now().since(last) < RESPONSE_QUIET_TIME
            };
            while in_request.load(Ordering::Relaxed) || is_responding() {
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
            End::Host
        };
        tokio::select! {
            ended = requests => ended,
            ended = responses => ended,
            ended = stopped => Ok(ended),
        }
    };
    match ended {
        Ok(End::Host | End::Target) => Ok(()),
        // The host has to see that a response is not complete.
        Ok(End::TargetReset) => SockRef::from(&stream).set_linger(Some(Duration::ZERO)),
        Err(e) => {
            SockRef::from(&stream).set_linger(Some(Duration::ZERO))?;
            Err(e)
        }
    }
}

/// Which side ended a tunnel.
enum End {
    Host,
    Target,
    TargetReset,
}

fn set_keepalive(stream: &TcpStream) {
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    // Without it, a tunnel of a host that has lost power only ends later.
    let _ = SockRef::from(stream).set_tcp_keepalive(&keepalive);
}
