//! Starts the tasks of a host, and shuts it down on SIGTERM.

use crate::host::Host;
use crate::metrics::Metrics;
use crate::peers::{self, PeerNet};
use crate::protocol::Protocol;
use crate::proxy;
use crate::retention::Retention;
use crate::server::{self, Service};
use crate::settings::Settings;
use crate::signals::Signals;
use crate::stopping::Stop;
use crate::store::{ContactStore, Store};
use crate::{allowances, discovery, logs, reach, reader, replication, scheduling, tasks};
use anyhow::Context;
use slog::{Logger, info, warn};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, SystemTime};
use tokio::signal::unix::Signal;

/// Interval at which targets expire, idle connections are closed and gauges are set.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(500);
/// Interval between checks of the settings file, which may change without a signal.
const SETTINGS_CHECK_INTERVAL: Duration = Duration::from_secs(2);
/// Runs a host until it is stopped. `path` is the settings file, which is read again when it changes
/// or on SIGHUP; `store` creates the client of the platform's store.
///
/// # Errors
///
/// Fails if an address can't be bound or a signal can't be handled.
pub fn run<S, F>(
    path: PathBuf,
    settings: Settings,
    protocol: Arc<dyn Protocol>,
    store: F,
) -> anyhow::Result<()>
where
    S: Store + ContactStore,
    F: FnOnce(&Settings, Logger) -> S,
{
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .context("starting the runtime")?;
    runtime.block_on(async {
        let signals = Signals::handle()?;
        let (log, _guard) = logs::start(&settings.host).context("starting the log writer")?;
        let metrics = Metrics::new()?;
        let net = PeerNet::open(settings.peer, &settings.peer_key).await?;
        let store = Arc::new(store(&settings, log.clone()));
        let host = Arc::new(Host::new(settings, log, metrics, protocol, net));
        serve(path, host, store, signals).await
    })
}

async fn serve<S>(
    path: PathBuf,
    host: Arc<Host>,
    store: Arc<S>,
    signals: Signals,
) -> anyhow::Result<()>
where
    S: Store + ContactStore,
{
    let settings = host.settings.load_full();
    let mut listeners = vec![
        (Service::Requests, settings.listen),
        (Service::Directory, settings.directory),
        (Service::Readiness, settings.readiness),
    ];
    listeners.extend(settings.metrics.map(|addr| (Service::Metrics, addr)));
    for (service, addr) in listeners {
        let listener = server::listen(service, addr)?;
        let listener = Arc::new(listener);
        let task = move |host| server::serve(host, service, listener.clone());
        tasks::spawn(&host, service.as_str(), task);
    }
    let peers = tokio::net::TcpListener::bind(settings.peer).await;
    let peers = peers.with_context(|| format!("peer: can't listen on {}", settings.peer))?;
    info!(host.log, "started"; "listen" => settings.listen.to_string(),
        "peer" => settings.peer.to_string(), "store" => settings.store.to_string(),
        "failure_domain" => &*settings.failure_domain);
    let peers = Arc::new(peers);
    tasks::spawn(&host, "serve_peers", move |host| peers::serve(host, peers.clone()));
    tasks::spawn(&host, "receive_datagrams", peers::receive);
    tasks::spawn(&host, "membership", peers::run);
    tasks::spawn(&host, "follow", replication::follow);
    tasks::spawn(&host, "scheduling", scheduling::run);
    tasks::spawn(&host, "scheduler_passes", scheduling::run_passes);
    tasks::spawn(&host, "reach", reach::run);
    tasks::spawn(&host, "maintenance", run_maintenance);
    // Whatever it can't read is read by the reader or comes from a peer.
    tokio::spawn(reader::read_once(host.clone(), store.clone()));
    let s = store.clone();
    tasks::spawn(&host, "discovery", move |host| discovery::run(host, s.clone()));
    let s = store.clone();
    tasks::spawn(&host, "reader", move |host| reader::run(host, s.clone()));
    tasks::spawn(&host, "confirm_config", move |host| reader::confirm_config(host, store.clone()));
    until_stopped(path, host, signals).await;
    Ok(())
}

async fn run_maintenance(host: Arc<Host>) {
    let mut retention = Retention::default();
    loop {
        tokio::time::sleep(MAINTENANCE_INTERVAL).await;
        let now = host.now();
        host.tick(now);
        host.upstream.set_idle_limit(host.idle_connection_limit());
        proxy::recheck_leaving(&host);
        allowances::tick(&host);
        retention.tick(&host, now);
        let fleet = host.fleet();
        host.upstream.sweep(now, |addr| fleet.table.contains_addr(addr));
        host.metrics.set_state("config_version", host.config_version() as i64);
        host.metrics.set_state("callers", host.caller_count() as i64);
        host.metrics.set_state("alone", i64::from(host.members().is_alone()));
        host.metrics.set_state("cut_off", i64::from(host.reach().targets.is_cut_off()));
        host.metrics.set_state("knowledge_age_ms", host.freshness().age(now).as_millis() as i64);
    }
}

async fn until_stopped(path: PathBuf, host: Arc<Host>, signals: Signals) {
    let Signals { mut stop, mut reload } = signals;
    let mut last_modified = modified(&path);
    loop {
        tokio::select! {
            _ = stop.recv() => break,
            _ = reload.recv() => read_settings(&path, &host, "signal"),
            () = tokio::time::sleep(SETTINGS_CHECK_INTERVAL) => {
                let current = modified(&path);
                if current != last_modified {
                    last_modified = current;
                    read_settings(&path, &host, "file");
                }
            }
        }
    }
    if modified(&path) != last_modified {
        // The grace period may have changed.
        read_settings(&path, &host, "stop");
    }
    shut_down(&host, stop).await;
}

fn modified(path: &Path) -> Option<SystemTime> {
    std::fs::metadata(path).and_then(|m| m.modified()).ok()
}

/// Reads the settings again. Changes of addresses and names take effect only at a restart.
fn read_settings(path: &Path, host: &Arc<Host>, trigger: &str) {
    match Settings::load(path) {
        Ok(settings) => {
            let changed = settings != **host.settings.load();
            info!(host.log, "settings_read"; "why" => trigger, "changed" => changed);
            host.members().set_seeds(settings.seed_peers());
            host.bodies.set_capacity(settings.body_memory());
            host.settings.store(Arc::new(settings));
        }
        Err(e) => {
            warn!(host.log, "settings_refused"; "why" => trigger, "error" => format!("{e:#}"));
        }
    }
}

/// Stops the host gracefully. Further SIGTERMs change nothing, as they must not cut requests in flight.
async fn shut_down(host: &Arc<Host>, mut signal: Signal) {
    let grace = Duration::from_secs_f64(host.settings.load().promises.grace_s);
    let stop = Stop::begin(host, grace);
    let stopped = async {
        stop.until_callers_have_moved().await;
        stop.drain(host).await;
    };
    tokio::pin!(stopped);
    loop {
        tokio::select! {
            () = &mut stopped => return,
            Some(()) = signal.recv() => {
                info!(host.log, "stopping_already"; "callers" => host.caller_count());
            }
        }
    }
}
