//! The geraniummux daemon. Reads its settings, then serves callers until it is told to stop.

use anyhow::Context;
use argh::FromArgs;
use geraniummuxd::settings::Settings;
use geraniummuxd::shared::Shared;
use geraniummuxd::telemetry::Telemetry;
use geraniummuxd::{admin, config_sync, logging, proxy};
use slog::info;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};

/// Exit code for invalid settings; any other failure to start exits with 1.
const EXIT_SETTINGS: u8 = 2;

/// Serve callers of this entry host. Exit codes: 0 stopped on SIGTERM, 1 could not start or
/// failed, 2 invalid settings.
#[derive(FromArgs)]
struct Args {
    /// settings file (JSON)
    #[argh(option)]
    settings: PathBuf,
    /// only check the settings file, start nothing
    #[argh(switch)]
    check: bool,
}

fn main() -> ExitCode {
    let args: Args = argh::from_env();
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

fn start(settings: Settings) -> anyhow::Result<()> {
    let (log, _guard) = logging::start(settings.log_level, &settings.host);
    let telemetry = Telemetry::start(settings.metrics)?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .context("starting the runtime")?;
    let shared = Arc::new(Shared::new(settings, log, telemetry));
    runtime.block_on(run(shared))
}

async fn bind(field: &str, addr: SocketAddr) -> anyhow::Result<TcpListener> {
    TcpListener::bind(addr).await.with_context(|| format!("{field}: can't listen on {addr}"))
}

async fn run(shared: Arc<Shared>) -> anyhow::Result<()> {
    let callers = bind("listen", shared.settings.listen).await?;
    let admins = bind("admin", shared.settings.admin).await?;
    let mut stop = signal(SignalKind::terminate())?;
    tokio::spawn(config_sync::follow(shared.clone()));
    tokio::spawn(admin::serve(admins, shared.clone()));
    tokio::spawn(proxy::serve(callers, shared.clone()));
    tokio::spawn(proxy::sweep_connections(shared.clone()));
    info!(shared.log, "started"; "listen" => shared.settings.listen.to_string(),
        "admin" => shared.settings.admin.to_string());
    stop.recv().await;
    info!(shared.log, "stopped");
    Ok(())
}
