//! The link between one host and one server, which can be cut: open connections are reset, new ones refused.

use std::net::SocketAddr;
use std::time::Duration;
use socket2::SockRef;
use tokio::io::copy_bidirectional;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Opens a link to a server at an IP address; it is cut while `cut` is set.
pub async fn open(ip: &str, server: SocketAddr, cut: watch::Receiver<bool>) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind((ip, 0)).await?;
    let addr = listener.local_addr()?;
    tokio::spawn(run(listener, addr, server, cut));
    Ok(addr)
}

async fn run(mut listener: TcpListener, addr: SocketAddr, server: SocketAddr, mut cut: watch::Receiver<bool>) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => Some(accepted),
            _ = cut.wait_for(|cut| *cut) => None,
        };
        let Some(accepted) = accepted else {
            drop(listener);
            let _ = cut.wait_for(|cut| !*cut).await;
            listener = loop {
                match TcpListener::bind(addr).await {
                    Ok(listener) => break listener,
                    Err(_) => tokio::time::sleep(Duration::from_millis(20)).await,
                }
            };
            continue;
        };
        let Ok((mut client, _)) = accepted else { continue };
        let mut cut = cut.clone();
        tokio::spawn(async move {
            let Ok(mut upstream) = TcpStream::connect(server).await else { return };
            let _ = client.set_nodelay(true);
            let _ = upstream.set_nodelay(true);
            let is_cut = tokio::select! {
                _ = copy_bidirectional(&mut client, &mut upstream) => false,
                _ = cut.wait_for(|cut| *cut) => true,
            };
            if is_cut {
                let _ = SockRef::from(&client).set_linger(Some(Duration::ZERO));
                let _ = SockRef::from(&upstream).set_linger(Some(Duration::ZERO));
            }
        });
    }
}
