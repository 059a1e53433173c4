//! Sockets for messages between entry hosts: datagrams over UDP, and exchanges of one request and
//! one response over TCP. Every exchange has a timeout, and datagrams are sent without waiting.

use crate::shared::Shared;
use geraniummux_wire::codec::STREAM_PREFIX_LEN;
use geraniummux_wire::{Codec, Envelope, Message, stream_frame_len};
use serde::Serialize;
use slog::{debug, warn};
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, OnceLock};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::sync::{Semaphore, mpsc};

/// Timeout of a TCP exchange that a peer started.
const SERVE_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum number of TCP exchanges that are served concurrently.
const MAX_CONCURRENT_EXCHANGES: usize = 64;
/// Receive buffer of the UDP socket, in bytes. The usage reports of all hosts can arrive in one
/// burst.
const RECEIVE_BUFFER_BYTES: usize = 1 << 20;

/// Counts the messages and bytes of one transport and direction.
#[derive(Debug, Default)]
pub struct TrafficCounter {
    messages: AtomicU64,
    bytes: AtomicU64,
}

impl TrafficCounter {
    fn add(&self, bytes: usize) {
        self.messages.fetch_add(1, Ordering::Relaxed);
        self.bytes.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    fn report(&self) -> TrafficReport {
        TrafficReport {
            messages: self.messages.load(Ordering::Relaxed),
            bytes: self.bytes.load(Ordering::Relaxed),
        }
    }
}

/// Number of messages and bytes of one transport and direction since the start of the process.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct TrafficReport {
    /// Number of messages.
    pub messages: u64,
    /// Number of payload bytes, without the headers of UDP, TCP and IP.
    pub bytes: u64,
}

/// Traffic between this host and its peers since the start of the process.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct PeerTraffic {
    /// Datagrams sent.
    pub udp_sent: TrafficReport,
    /// Datagrams received.
    pub udp_received: TrafficReport,
    /// Stream frames sent.
    pub tcp_sent: TrafficReport,
    /// Stream frames received.
    pub tcp_received: TrafficReport,
    /// Received frames that were dropped because of an invalid tag, version or content.
    pub refused: u64,
    /// Datagrams that were dropped because they could not be encoded or the socket could not take
    /// them at once.
    pub unsent: u64,
}

/// A crash report whose acknowledgements are being awaited.
struct CrashReportWaiter {
    id: u64,
    /// Receives the names of the peers that acknowledge the report.
    acks: mpsc::UnboundedSender<Arc<str>>,
}

/// UDP socket, message codec and traffic counters for messages between entry hosts.
pub struct PeerNet {
    codec: Codec,
    socket: OnceLock<UdpSocket>,
    /// Copy of this host's incarnation, so that sending needs no lock.
    incarnation: AtomicU64,
    udp_sent: TrafficCounter,
    udp_received: TrafficCounter,
    tcp_sent: TrafficCounter,
    tcp_received: TrafficCounter,
    refused: AtomicU64,
    unsent: AtomicU64,
    next_crash_report: AtomicU64,
    crash_report_waiters: Mutex<Vec<CrashReportWaiter>>,
}

impl PeerNet {
    /// Returns the state before [`open`]. `key` authenticates the messages.
    pub fn new(key: &[u8], incarnation: u64) -> Self {
        PeerNet {
            codec: Codec::new(key),
            socket: OnceLock::new(),
            incarnation: AtomicU64::new(incarnation),
            udp_sent: TrafficCounter::default(),
            udp_received: TrafficCounter::default(),
            tcp_sent: TrafficCounter::default(),
            tcp_received: TrafficCounter::default(),
            refused: AtomicU64::new(0),
            unsent: AtomicU64::new(0),
            next_crash_report: AtomicU64::new(0),
            crash_report_waiters: Mutex::default(),
        }
    }

    /// Returns the traffic since the start of the process.
    pub fn traffic(&self) -> PeerTraffic {
        PeerTraffic {
            udp_sent: self.udp_sent.report(),
            udp_received: self.udp_received.report(),
            tcp_sent: self.tcp_sent.report(),
            tcp_received: self.tcp_received.report(),
            refused: self.refused.load(Ordering::Relaxed),
            unsent: self.unsent.load(Ordering::Relaxed),
        }
    }

    /// Sets the incarnation in the envelope of all further messages.
    pub fn set_incarnation(&self, incarnation: u64) {
        self.incarnation.store(incarnation, Ordering::Relaxed);
    }

    /// Counts a received message that was dropped because it is invalid.
    pub fn count_refused(&self) {
        self.refused.fetch_add(1, Ordering::Relaxed);
    }

    fn envelope(&self, shared: &Shared, message: Message) -> Envelope {
        Envelope {
            from: shared.settings.host.clone(),
            incarnation: self.incarnation.load(Ordering::Relaxed),
            generation: shared.in_force().config.generation,
            message,
        }
    }

    /// Passes a peer's acknowledgement to the task that waits for the crash report `id`.
    pub fn on_crash_report_ack(&self, id: u64, peer: &Arc<str>) {
        let waiters = self.crash_report_waiters.lock().unwrap_or_else(|e| e.into_inner());
        if let Some(waiter) = waiters.iter().find(|w| w.id == id) {
            // The waiting task may have timed out.
            let _ = waiter.acks.send(peer.clone());
        }
    }

    /// Assigns an id to a crash report. Returns it with a channel of the names of the peers that
    /// acknowledge the report.
    pub fn expect_crash_report_acks(&self) -> (u64, mpsc::UnboundedReceiver<Arc<str>>) {
        let id = self.next_crash_report.fetch_add(1, Ordering::Relaxed) + 1;
        let (acks, rx) = mpsc::unbounded_channel();
        let mut waiters = self.crash_report_waiters.lock().unwrap_or_else(|e| e.into_inner());
        waiters.retain(|w| !w.acks.is_closed());
        waiters.push(CrashReportWaiter { id, acks });
        (id, rx)
    }
}

/// Sends a datagram to a peer without waiting. It may be lost; senders that need an
/// acknowledgement retry.
pub fn send(shared: &Shared, to: SocketAddr, message: Message) {
    let net = &shared.control.net;
    let Some(socket) = net.socket.get() else { return };
    let frame = match net.codec.encode_datagram(&net.envelope(shared, message)) {
        Ok(frame) => frame,
        Err(e) => {
            net.unsent.fetch_add(1, Ordering::Relaxed);
            warn!(shared.log, "datagram_not_encoded"; "to" => to.to_string(), "error" => e.to_string());
            return;
        }
    };
    match socket.try_send_to(&frame, to) {
        Ok(_) => net.udp_sent.add(frame.len()),
        Err(_) => {
            net.unsent.fetch_add(1, Ordering::Relaxed);
        }
    }
}

/// Binds the UDP and TCP sockets of the `peer` address. Returns the TCP listener for
/// [`serve_streams`]; the UDP socket is used by [`send`] and [`receive_datagrams`].
///
/// # Errors
///
/// Returns an error if the address can't be bound.
pub async fn open(shared: &Shared) -> io::Result<TcpListener> {
    let addr = shared.settings.peer;
    let listener = TcpListener::bind(addr).await?;
    let socket = UdpSocket::bind(addr).await?;
    // With the default size, more datagrams are lost and retried.
    let _ = socket2::SockRef::from(&socket).set_recv_buffer_size(RECEIVE_BUFFER_BYTES);
    // `open` is called once, so the cell is empty.
    let _ = shared.control.net.socket.set(socket);
    Ok(listener)
}

/// Receives datagrams until the task is dropped.
pub async fn receive_datagrams(shared: Arc<Shared>) {
    let net = &shared.control.net;
    let Some(socket) = net.socket.get() else { return };
    let mut buf = vec![0; 2_048];
    loop {
        let Ok((len, from)) = socket.recv_from(&mut buf).await else {
            // An ICMP error for a datagram sent earlier, which concerns only that peer.
            tokio::task::yield_now().await;
            continue;
        };
        net.udp_received.add(len);
        match net.codec.decode_datagram(&buf[..len]) {
            Ok(envelope) => crate::peer_messages::handle_datagram(&shared, from, envelope),
            Err(e) => {
                net.count_refused();
                debug!(shared.log, "frame_refused"; "from" => from.to_string(), "error" => e.to_string());
            }
        }
    }
}

/// Serves TCP exchanges of peers until the task is dropped.
pub async fn serve_streams(listener: TcpListener, shared: Arc<Shared>) {
    let permits = Arc::new(Semaphore::new(MAX_CONCURRENT_EXCHANGES));
    loop {
        // The semaphore is never closed.
        let Ok(permit) = permits.clone().acquire_owned().await else { return };
        let Ok((mut stream, from)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        let shared = shared.clone();
        tokio::spawn(async move {
            let exchange = async {
                let envelope = read_frame(&shared, &mut stream).await?;
                let response = crate::peer_messages::handle_request(&shared, envelope);
                write_frame(&shared, &mut stream, response).await
            };
            if let Ok(Err(e)) = tokio::time::timeout(SERVE_TIMEOUT, exchange).await {
                debug!(shared.log, "exchange_failed"; "from" => from.to_string(), "error" => e.to_string());
            }
            drop(permit);
        });
    }
}

/// Sends a request to a peer over TCP and returns its response.
///
/// # Errors
///
/// Returns an error if no complete and valid response arrives within `timeout`.
pub async fn call(
    shared: &Shared,
    peer: SocketAddr,
    message: Message,
    timeout: Duration,
) -> io::Result<Envelope> {
    let exchange = async {
        let mut stream = TcpStream::connect(peer).await?;
        stream.set_nodelay(true)?;
        write_frame(shared, &mut stream, message).await?;
        read_frame(shared, &mut stream).await
    };
    tokio::time::timeout(timeout, exchange).await.map_err(|_| io::ErrorKind::TimedOut)?
}

async fn write_frame(shared: &Shared, stream: &mut TcpStream, message: Message) -> io::Result<()> {
    let net = &shared.control.net;
    let frame =
        net.codec.encode_stream(&net.envelope(shared, message)).map_err(io::Error::other)?;
    stream.write_all(&frame).await?;
    net.tcp_sent.add(frame.len());
    Ok(())
}

async fn read_frame(shared: &Shared, stream: &mut TcpStream) -> io::Result<Envelope> {
    let net = &shared.control.net;
    let on_invalid = |e: geraniummux_wire::Error| {
        net.count_refused();
        io::Error::other(e)
    };
    let mut prefix = [0; STREAM_PREFIX_LEN];
    stream.read_exact(&mut prefix).await?;
    let len = stream_frame_len(prefix).map_err(on_invalid)?;
    // The buffer grows with the received data, so that a false length allocates no memory.
    let mut frame = Vec::new();
    stream.take(len as u64).read_to_end(&mut frame).await?;
    net.tcp_received.add(STREAM_PREFIX_LEN + frame.len());
    net.codec.decode_stream(&frame).map_err(on_invalid)
}
