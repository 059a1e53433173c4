//! A loopback link that passes connections on and can be disturbed.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Bytes that are read at once.
const CHUNK: usize = 16 << 10;

/// What a link does to the bytes that it carries.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Disturbance {
    /// Passes them on.
    #[default]
    None,
    /// Passes them on later.
    Delay(Duration),
    /// Passes on only what goes to the server; answers are held back.
    CutAnswers,
    /// Passes nothing on in open connections for good; new ones work.
    SilenceOpen,
    /// Holds everything back, in new connections as well.
    Cut,
}

/// A link to one server.
#[derive(Debug)]
pub struct Link {
    /// Where connections are accepted.
    pub addr: SocketAddr,
    server: Mutex<SocketAddr>,
    disturbance: watch::Sender<Disturbance>,
    /// Rises when all open connections are to be reset, or silenced.
    resets: watch::Sender<u64>,
    silences: watch::Sender<u64>,
}

impl Link {
    /// Opens a link at `addr` to `server` and carries connections until the returned link is dropped
    /// by all owners and the runtime ends.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be bound.
    pub async fn open(addr: SocketAddr, server: SocketAddr) -> std::io::Result<Arc<Self>> {
        let listener = TcpListener::bind(addr).await?;
        let link = Arc::new(Link {
            addr: listener.local_addr()?,
            server: Mutex::new(server),
            disturbance: watch::channel(Disturbance::None).0,
            resets: watch::channel(0).0,
            silences: watch::channel(0).0,
        });
        let owned = link.clone();
        tokio::spawn(async move {
            while let Ok((caller, _)) = listener.accept().await {
                let link = owned.clone();
                tokio::spawn(async move { link.carry(caller).await });
            }
        });
        Ok(link)
    }

    /// Leads new connections to another server.
    pub fn lead_to(&self, server: SocketAddr) {
        *self.server.lock().unwrap_or_else(|e| e.into_inner()) = server;
    }

    /// Begins or ends a disturbance.
    pub fn disturb(&self, disturbance: Disturbance) {
        if disturbance == Disturbance::SilenceOpen {
            self.silences.send_modify(|n| *n += 1);
        } else {
            self.disturbance.send_replace(disturbance);
        }
    }

    /// Closes all open connections at once.
    pub fn reset(&self) {
        self.resets.send_modify(|n| *n += 1);
    }

    async fn carry(self: Arc<Self>, caller: TcpStream) {
        let server = *self.server.lock().unwrap_or_else(|e| e.into_inner());
        self.until_undisturbed(|d| d != Disturbance::Cut).await;
        let Ok(server) = TcpStream::connect(server).await else { return };
        let mut resets = self.resets.subscribe();
        resets.borrow_and_update();
        let (from_caller, to_caller) = caller.into_split();
        let (from_server, to_server) = server.into_split();
        tokio::select! {
            () = async {
                tokio::join!(
                    self.pass(from_caller, to_server, |d| d != Disturbance::Cut),
                    self.pass(from_server, to_caller, |d| {
                        d != Disturbance::Cut && d != Disturbance::CutAnswers
                    }),
                );
            } => {}
            _ = resets.changed() => {}
        }
    }

    async fn until_undisturbed<F>(&self, passes: F)
    where
        F: Fn(Disturbance) -> bool,
    {
        let mut disturbance = self.disturbance.subscribe();
        // The sender lives as long as the link.
        let _ = disturbance.wait_for(|d| passes(*d)).await;
    }

    async fn pass<F>(&self, mut from: OwnedReadHalf, mut to: OwnedWriteHalf, passes: F)
    where
        F: Fn(Disturbance) -> bool,
    {
        let mut silences = self.silences.subscribe();
        silences.borrow_and_update();
        let mut buf = vec![0; CHUNK];
        while let Ok(n @ 1..) = from.read(&mut buf).await {
            if silences.has_changed().unwrap_or(false) {
                std::future::pending::<()>().await;
            }
            let delay = match *self.disturbance.borrow() {
                Disturbance::Delay(delay) => delay,
                _ => Duration::ZERO,
            };
            tokio::time::sleep(delay).await;
            self.until_undisturbed(&passes).await;
            if to.write_all(&buf[..n]).await.is_err() {
                return;
            }
        }
        // The other side is told of the end; if it is gone already, that is the end as well.
        let _ = to.shutdown().await;
    }
}
