//! The geraniummux daemon. Reads its settings, then serves callers until SIGTERM.

use anyhow::{Context, bail};
use argh::FromArgs;
use geraniummuxd::control::Phase;
use geraniummuxd::settings::Settings;
use geraniummuxd::shared::Shared;
use geraniummuxd::telemetry::Telemetry;
use geraniummuxd::{
    admin, claim_retention, digests, host_list, logging, peer_net, probes, proxy, timers, usage,
};
use slog::{error, info};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use tokio::net::TcpListener;
use tokio::signal::unix::{Signal, SignalKind, signal};

/// Exit code for invalid arguments or settings; any other failure exits with 1.
const EXIT_INVALID_SETTINGS: u8 = 2;

/// Serve callers of this entry host until SIGTERM; a second SIGTERM stops the process immediately.
#[derive(FromArgs)]
#[argh(
    error_code(0, "stopped by SIGTERM, requests in flight were finished or ran out of time"),
    error_code(1, "could not start, failed, or was stopped by a second SIGTERM"),
    error_code(2, "invalid arguments or settings")
)]
struct Args {
    /// settings file (JSON)
    #[argh(option)]
    settings: PathBuf,
    /// validate the settings file and exit
    #[argh(switch)]
    check: bool,
}

fn main() -> ExitCode {
    let args = match parse_args() {
        Ok(args) => args,
        Err(code) => return code,
    };
    let settings = match Settings::load(&args.settings) {
        Ok(settings) => settings,
        Err(e) => {
            eprintln!("geraniummuxd: {e:#}");
            return ExitCode::from(EXIT_INVALID_SETTINGS);
        }
    };
    if args.check {
        println!("{}: valid", args.settings.display());
        return ExitCode::SUCCESS;
    }
    match start(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("geraniummuxd: {e:#}");
            ExitCode::FAILURE
        }
    }
}

/// Parses the arguments. `argh::from_env` would exit with 1, which stands for a failed start.
fn parse_args() -> Result<Args, ExitCode> {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    Args::from_args(&["geraniummuxd"], &args).map_err(|exit| match exit.status {
        Ok(()) => {
            println!("{}", exit.output);
            ExitCode::SUCCESS
        }
        Err(()) => {
            let text: Vec<&str> = exit.output.lines().map(str::trim).collect();
            eprintln!("geraniummuxd: {}", text.join(" ").trim());
            ExitCode::from(EXIT_INVALID_SETTINGS)
        }
    })
}

fn start(settings: Settings) -> anyhow::Result<()> {
    let (log, _guard) = logging::start(settings.log_level, &settings.host);
    let telemetry = Telemetry::start(settings.metrics)?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .context("starting the runtime")?;
    let shared = Arc::new(Shared::new(settings, log, telemetry));
    let result = runtime.block_on(run(shared));
    // Tasks that still run serve requests that were aborted.
    runtime.shutdown_background();
    result
}

async fn bind(field: &str, addr: SocketAddr) -> anyhow::Result<TcpListener> {
    TcpListener::bind(addr).await.with_context(|| format!("{field}: can't listen on {addr}"))
}

async fn run(shared: Arc<Shared>) -> anyhow::Result<()> {
    let settings = &shared.settings;
    let caller_listener = bind("listen", settings.listen).await?;
    let admin_listener = bind("admin", settings.admin).await?;
    let peer_listener = peer_net::open(&shared)
        .await
        .with_context(|| format!("peer: can't listen on {}", settings.peer))?;
    let sigterm = signal(SignalKind::terminate())?;
    info!(shared.log, "started"; "listen" => settings.listen.to_string(),
        "admin" => settings.admin.to_string(), "peer" => settings.peer.to_string());
    tokio::spawn(peer_net::serve_streams(peer_listener, shared.clone()));
    tokio::spawn(peer_net::receive_datagrams(shared.clone()));
    tokio::spawn(timers::run(shared.clone()));
    tokio::spawn(timers::report_metrics(shared.clone()));
    tokio::spawn(host_list::run(shared.clone()));
    tokio::spawn(probes::run(shared.clone()));
    tokio::spawn(usage::run(shared.clone()));
    tokio::spawn(claim_retention::run(shared.clone()));
    tokio::spawn(admin::serve(admin_listener, shared.clone()));
    tokio::spawn(proxy::serve(caller_listener, shared.clone()));
    tokio::spawn(proxy::sweep_connections(shared.clone()));
    tokio::spawn(digests::run(shared.clone()));
    wait_for_shutdown(&shared, sigterm).await
}

/// Waits for SIGTERM and for the end of the graceful shutdown that it starts.
///
/// # Errors
///
/// Returns an error on a second SIGTERM, which ends the process immediately, and if another process
/// has taken over the name of this host.
async fn wait_for_shutdown(shared: &Arc<Shared>, mut sigterm: Signal) -> anyhow::Result<()> {
    let mut phase = shared.control.phase();
    let mut stopping = false;
    loop {
        tokio::select! {
            _ = sigterm.recv() => {
                if stopping {
                    let connections = shared.control.connections();
                    error!(shared.log, "stopped_at_once"; "connections" => connections);
                    bail!("stopped by a second SIGTERM with {connections} open connections");
                }
                stopping = true;
                timers::begin_shutdown(shared);
            }
            _ = phase.changed() => match *phase.borrow() {
                Phase::Exited => return Ok(()),
                Phase::Failed => bail!("another process has taken over the name of this host"),
                _ => {}
            }
        }
    }
}
