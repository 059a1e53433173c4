//! A TCP proxy between hosts and one server that can delay, hold back, stall or reset connections.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Size of the read buffer of each direction of a connection, in bytes.
const READ_BUFFER_LEN: usize = 16 << 10;

/// A fault of a [`Link`].
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum LinkFault {
    /// Forwards all bytes at once.
    #[default]
    None,
    /// Forwards all bytes after this delay.
    Delay(Duration),
    /// Forwards requests, but holds back responses until the fault ends.
    HoldResponses,
    /// Stalls the connections that are open now: they stay open but never forward another byte, even after
    /// the fault ends. New connections work.
    StallOpen,
    /// Holds back all bytes until the fault ends, on new connections as well.
    HoldAll,
}

/// A link to one server. It forwards each connection that it accepts.
#[derive(Debug)]
pub struct Link {
    /// Address on which the link accepts connections.
    pub addr: SocketAddr,
    server: Mutex<SocketAddr>,
    fault: watch::Sender<LinkFault>,
    /// Incremented to close all open connections.
    resets: watch::Sender<u64>,
    /// Incremented to stall all open connections.
    stalls: watch::Sender<u64>,
}

impl Link {
    /// Opens a link at `addr` to `server`. It accepts connections until the runtime ends, even after the
    /// returned link is dropped.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be bound.
    pub async fn open(addr: SocketAddr, server: SocketAddr) -> std::io::Result<Arc<Self>> {
        let listener = TcpListener::bind(addr).await?;
        let link = Arc::new(Link {
            addr: listener.local_addr()?,
            server: Mutex::new(server),
            fault: watch::channel(LinkFault::None).0,
            resets: watch::channel(0).0,
            stalls: watch::channel(0).0,
        });
        let shared = link.clone();
        tokio::spawn(async move {
            while let Ok((client, _)) = listener.accept().await {
                let link = shared.clone();
                tokio::spawn(async move { link.proxy_connection(client).await });
            }
        });
        Ok(link)
    }

    /// Sets the server to which new connections are forwarded.
    pub fn set_server(&self, server: SocketAddr) {
        *self.server.lock().unwrap_or_else(|e| e.into_inner()) = server;
    }

    /// Sets the fault, which replaces the one before it; [`LinkFault::None`] ends it.
    ///
    /// [`LinkFault::StallOpen`] only stalls the open connections and leaves the fault in force unchanged.
    pub fn set_fault(&self, fault: LinkFault) {
        if fault == LinkFault::StallOpen {
            self.stalls.send_modify(|n| *n += 1);
        } else {
            self.fault.send_replace(fault);
        }
    }

    /// Closes all connections that are open now.
    pub fn reset(&self) {
        self.resets.send_modify(|n| *n += 1);
    }

    async fn proxy_connection(self: Arc<Self>, client: TcpStream) {
        let server = *self.server.lock().unwrap_or_else(|e| e.into_inner());
        self.wait_until_passing(|f| f != LinkFault::HoldAll).await;
        let Ok(server) = TcpStream::connect(server).await else { return };
        let mut resets = self.resets.subscribe();
        resets.borrow_and_update();
        let (from_client, to_client) = client.into_split();
        let (from_server, to_server) = server.into_split();
        tokio::select! {
            () = async {
                tokio::join!(
                    self.forward(from_client, to_server, |f| f != LinkFault::HoldAll),
                    self.forward(from_server, to_client, |f| {
                        f != LinkFault::HoldAll && f != LinkFault::HoldResponses
                    }),
                );
            } => {}
            _ = resets.changed() => {}
        }
    }

    async fn wait_until_passing<F>(&self, passes: F)
    where
        F: Fn(LinkFault) -> bool,
    {
        let mut fault = self.fault.subscribe();
        // This can't fail: the sender lives as long as the link.
        let _ = fault.wait_for(|f| passes(*f)).await;
    }

    async fn forward<F>(&self, mut from: OwnedReadHalf, mut to: OwnedWriteHalf, passes: F)
    where
        F: Fn(LinkFault) -> bool,
    {
        let mut stalls = self.stalls.subscribe();
        stalls.borrow_and_update();
        let mut buf = vec![0; READ_BUFFER_LEN];
        while let Ok(n @ 1..) = from.read(&mut buf).await {
            if stalls.has_changed().unwrap_or(false) {
                std::future::pending::<()>().await;
            }
            let delay = match *self.fault.borrow() {
                LinkFault::Delay(delay) => delay,
                _ => Duration::ZERO,
            };
            tokio::time::sleep(delay).await;
            self.wait_until_passing(&passes).await;
            if to.write_all(&buf[..n]).await.is_err() {
                return;
            }
        }
        // Forwards the end of the stream. An error means that the other side has closed already.
        let _ = to.shutdown().await;
    }
}
