//! The geraniummux daemon. Reads its settings, then serves callers until it is told to stop.

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
const EXIT_SETTINGS: u8 = 2;

/// Serve callers of this entry host until SIGTERM; a second SIGTERM ends it at once.
#[derive(FromArgs)]
#[argh(
    error_code(0, "stopped on SIGTERM, no request was cut off"),
    error_code(1, "could not start, failed, or was stopped at once"),
    error_code(2, "invalid arguments or settings")
)]
struct Args {
    /// settings file (JSON)
    #[argh(option)]
    settings: PathBuf,
    /// only check the settings file, start nothing
    #[argh(switch)]
    check: bool,
}

fn main() -> ExitCode {
    let args = match parse() {
        Ok(args) => args,
        Err(code) => return code,
    };
    let settings = match Settings::load(&args.settings) {
        Ok(settings) => settings,
        Err(e) => {
            eprintln!("geraniummuxd: {e:#}");
            return ExitCode::from(EXIT_SETTINGS);
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

/// Parses the arguments. `argh::from_env` would exit with 1, the code for a failed start.
fn parse() -> Result<Args, ExitCode> {
    let words: Vec<String> = std::env::args().skip(1).collect();
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    Args::from_args(&["geraniummuxd"], &words).map_err(|exit| match exit.status {
        Ok(()) => {
            println!("{}", exit.output);
            ExitCode::SUCCESS
        }
        Err(()) => {
            let text: Vec<&str> = exit.output.lines().map(str::trim).collect();
            eprintln!("geraniummuxd: {}", text.join(" ").trim());
            ExitCode::from(EXIT_SETTINGS)
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
    // Tasks that still run belong to callers that were given up.
    runtime.shutdown_background();
    result
}

async fn bind(field: &str, addr: SocketAddr) -> anyhow::Result<TcpListener> {
    TcpListener::bind(addr).await.with_context(|| format!("{field}: can't listen on {addr}"))
}

async fn run(shared: Arc<Shared>) -> anyhow::Result<()> {
    let settings = &shared.settings;
    let callers = bind("listen", settings.listen).await?;
    let admins = bind("admin", settings.admin).await?;
    let peers = peer_net::open(&shared)
        .await
        .with_context(|| format!("peer: can't listen on {}", settings.peer))?;
    let stop = signal(SignalKind::terminate())?;
    info!(shared.log, "started"; "listen" => settings.listen.to_string(),
        "admin" => settings.admin.to_string(), "peer" => settings.peer.to_string());
    tokio::spawn(peer_net::serve_streams(peers, shared.clone()));
    tokio::spawn(peer_net::receive_datagrams(shared.clone()));
    tokio::spawn(timers::run(shared.clone()));
    tokio::spawn(timers::report_metrics(shared.clone()));
    tokio::spawn(host_list::run(shared.clone()));
    tokio::spawn(probes::run(shared.clone()));
    tokio::spawn(usage::run(shared.clone()));
    tokio::spawn(claim_retention::run(shared.clone()));
    tokio::spawn(admin::serve(admins, shared.clone()));
    tokio::spawn(proxy::serve(callers, shared.clone()));
    tokio::spawn(proxy::sweep_connections(shared.clone()));
    tokio::spawn(digests::run(shared.clone()));
    until_stopped(&shared, stop).await
}

/// Waits for SIGTERM and for the shutdown that follows it. A second SIGTERM ends the process at
/// once.
async fn until_stopped(shared: &Arc<Shared>, mut stop: Signal) -> anyhow::Result<()> {
    let mut phase = shared.control.phase();
    let mut stopping = false;
    loop {
        tokio::select! {
            _ = stop.recv() => {
                if stopping {
                    let connections = shared.control.connections();
                    error!(shared.log, "stopped_at_once"; "connections" => connections);
                    bail!("stopped at once by a second SIGTERM, {connections} connections cut off");
                }
                stopping = true;
                timers::begin_shutdown(shared);
            }
            _ = phase.changed() => match *phase.borrow() {
                Phase::Exited => return Ok(()),
                Phase::Failed => bail!("another process took over the name of this host"),
                _ => {}
            }
        }
    }
}
