//! Sockets for messages between entry hosts. Every read, connect and wait has a bound.

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

/// Longest time for one TCP exchange that a peer started.
const SERVE_TIMEOUT: Duration = Duration::from_secs(2);
/// TCP exchanges of peers that are served at once.
const MAX_EXCHANGES: usize = 64;
/// Receive buffer of the UDP socket; one refresh of the fleet's usage arrives in a burst.
const RECEIVE_BUFFER: usize = 1 << 20;

/// Messages and bytes of one transport and direction.
#[derive(Debug, Default)]
pub struct Traffic {
    messages: AtomicU64,
    bytes: AtomicU64,
}

impl Traffic {
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

/// Messages and bytes since the start.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct TrafficReport {
    /// Messages.
    pub messages: u64,
    /// Bytes of payload, without the headers of UDP, TCP and IP.
    pub bytes: u64,
}

/// Traffic between this host and its peers since the start.
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
    /// Frames with a wrong tag, version or content, which were dropped.
    pub refused: u64,
    /// Datagrams that could not be sent at once and were dropped.
    pub unsent: u64,
}

/// A peer that waits for the acknowledgement of a strike.
struct CrashReportWaiter {
    id: u64,
    acks: mpsc::UnboundedSender<Arc<str>>,
}

/// Sockets, key and counters for messages between entry hosts.
pub struct PeerNet {
    codec: Codec,
    socket: OnceLock<UdpSocket>,
    /// The incarnation of this host, repeated here so that sending needs no lock.
    incarnation: AtomicU64,
    udp_sent: Traffic,
    udp_received: Traffic,
    tcp_sent: Traffic,
    tcp_received: Traffic,
    refused: AtomicU64,
    unsent: AtomicU64,
    next_crash_report: AtomicU64,
    crash_reports: Mutex<Vec<CrashReportWaiter>>,
}

impl PeerNet {
    /// Returns the state before the sockets are open.
    pub fn new(key: &[u8], incarnation: u64) -> Self {
        PeerNet {
            codec: Codec::new(key),
            socket: OnceLock::new(),
            incarnation: AtomicU64::new(incarnation),
            udp_sent: Traffic::default(),
            udp_received: Traffic::default(),
            tcp_sent: Traffic::default(),
            tcp_received: Traffic::default(),
            refused: AtomicU64::new(0),
            unsent: AtomicU64::new(0),
            next_crash_report: AtomicU64::new(0),
            crash_reports: Mutex::default(),
        }
    }

    /// Returns the traffic since the start.
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

    /// Sets the incarnation that is sent with each message.
    pub fn set_incarnation(&self, incarnation: u64) {
        self.incarnation.store(incarnation, Ordering::Relaxed);
    }

    /// Counts a message that is refused because of its content.
    pub fn refuse(&self) {
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

    /// Passes on the acknowledgement of a strike.
    pub fn crash_report_acknowledged(&self, id: u64, peer: &Arc<str>) {
        let crash_reports = self.crash_reports.lock().unwrap_or_else(|e| e.into_inner());
        if let Some(waiter) = crash_reports.iter().find(|w| w.id == id) {
            // The waiter may have given up.
            let _ = waiter.acks.send(peer.clone());
        }
    }

    /// Registers a strike; returns its number and the channel of its acknowledgements.
    pub fn expect_crash_report_acks(&self) -> (u64, mpsc::UnboundedReceiver<Arc<str>>) {
        let id = self.next_crash_report.fetch_add(1, Ordering::Relaxed) + 1;
        let (acks, rx) = mpsc::unbounded_channel();
        let mut crash_reports = self.crash_reports.lock().unwrap_or_else(|e| e.into_inner());
        crash_reports.retain(|w| !w.acks.is_closed());
        crash_reports.push(CrashReportWaiter { id, acks });
        (id, rx)
    }
}

/// Sends a datagram to a peer. It may be lost; whoever needs an answer repeats it.
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

/// Opens the sockets of `peer` and serves both until the task is dropped.
///
/// # Errors
///
/// Fails if the address is in use or not available.
pub async fn open(shared: &Shared) -> io::Result<TcpListener> {
    let addr = shared.settings.peer;
    let listener = TcpListener::bind(addr).await?;
    let socket = UdpSocket::bind(addr).await?;
    // A smaller buffer only loses datagrams that are repeated.
    let _ = socket2::SockRef::from(&socket).set_recv_buffer_size(RECEIVE_BUFFER);
    // The sockets are opened once, so the cell is empty.
    let _ = shared.control.net.socket.set(socket);
    Ok(listener)
}

/// Receives datagrams until the task is dropped.
pub async fn receive(shared: Arc<Shared>) {
    let net = &shared.control.net;
    let Some(socket) = net.socket.get() else { return };
    let mut buf = vec![0; 2_048];
    loop {
        let Ok((len, from)) = socket.recv_from(&mut buf).await else {
            // An ICMP error of an earlier sending; it concerns that peer only.
            tokio::task::yield_now().await;
            continue;
        };
        net.udp_received.add(len);
        match net.codec.decode_datagram(&buf[..len]) {
            Ok(envelope) => crate::peer_messages::datagram(&shared, from, envelope),
            Err(e) => {
                net.refuse();
                debug!(shared.log, "frame_refused"; "from" => from.to_string(), "error" => e.to_string());
            }
        }
    }
}

/// Serves stream exchanges of peers until the task is dropped.
pub async fn serve(listener: TcpListener, shared: Arc<Shared>) {
    let permits = Arc::new(Semaphore::new(MAX_EXCHANGES));
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
                let answer = crate::peer_messages::stream(&shared, envelope);
                write_frame(&shared, &mut stream, answer).await
            };
            if let Ok(Err(e)) = tokio::time::timeout(SERVE_TIMEOUT, exchange).await {
                debug!(shared.log, "exchange_failed"; "from" => from.to_string(), "error" => e.to_string());
            }
            drop(permit);
        });
    }
}

/// Sends one message to a peer over TCP and returns the answer.
///
/// # Errors
///
/// Fails if no complete and valid answer arrives within `timeout`.
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
    let refuse = |e: geraniummux_wire::Error| {
        net.refuse();
        io::Error::other(e)
    };
    let mut prefix = [0; STREAM_PREFIX_LEN];
    stream.read_exact(&mut prefix).await?;
    let len = stream_frame_len(prefix).map_err(refuse)?;
    // The buffer grows with what arrives, so that a false length reserves no memory.
    let mut frame = Vec::new();
    stream.take(len as u64).read_to_end(&mut frame).await?;
    net.tcp_received.add(STREAM_PREFIX_LEN + frame.len());
    net.codec.decode_stream(&frame).map_err(refuse)
}
