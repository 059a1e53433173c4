//! Runs one stand-in process: a platform, a target or a caller.

use anyhow::Context;
use argh::FromArgs;
use bytes::Bytes;
use geraniummux_standin::{caller, platform, target};
use std::net::SocketAddr;
use std::process::ExitCode;
use tokio::net::TcpListener;

/// Stand-ins for tests of geraniummux: platform, target and caller.
#[derive(FromArgs)]
struct Args {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Platform(PlatformArgs),
    Target(TargetArgs),
    Call(CallArgs),
}

/// Serve the object API from memory.
#[derive(FromArgs)]
#[argh(subcommand, name = "platform")]
struct PlatformArgs {
    /// address to listen on
    #[argh(option)]
    listen: SocketAddr,
}

/// Serve requests as a target with six slots.
#[derive(FromArgs)]
#[argh(subcommand, name = "target")]
struct TargetArgs {
    /// address to listen on
    #[argh(option)]
    listen: SocketAddr,
    /// name that responses mention
    #[argh(option)]
    name: String,
    /// time that a request occupies a slot, in milliseconds (default 2)
    #[argh(option, default = "2")]
    service_ms: u64,
}

/// Look up the entry hosts, then send requests to them in turn.
#[derive(FromArgs)]
#[argh(subcommand, name = "call")]
struct CallArgs {
    /// an entry host that is asked for the entry hosts; repeat for more
    #[argh(option)]
    seed: Vec<SocketAddr>,
    /// failure domain of the caller (default empty)
    #[argh(option, default = "String::new()")]
    domain: String,
    /// request method (default GET)
    #[argh(option, default = "http::Method::GET")]
    method: http::Method,
    /// request path
    #[argh(option)]
    path: String,
    /// value of the idempotency-key header
    #[argh(option)]
    key: Option<String>,
    /// number of requests (default 1)
    #[argh(option, default = "1")]
    count: u32,
}

#[tokio::main]
async fn main() -> ExitCode {
    match run(argh::from_env()).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("geraniummux-standin: {e:#}");
            ExitCode::FAILURE
        }
    }
}

async fn run(args: Args) -> anyhow::Result<()> {
    match args.command {
        Command::Platform(a) => platform::run(bind(a.listen).await?).await,
        Command::Target(a) => {
            let behaviour =
                target::Behaviour { service_ms: a.service_ms, ..target::Behaviour::default() };
            target::run(bind(a.listen).await?, a.name, behaviour).await;
        }
        Command::Call(a) => call(a).await?,
    }
    Ok(())
}

async fn bind(addr: SocketAddr) -> anyhow::Result<TcpListener> {
    TcpListener::bind(addr).await.with_context(|| format!("can't listen on {addr}"))
}

async fn call(args: CallArgs) -> anyhow::Result<()> {
    let entry = caller::entry_hosts(&args.seed, &args.domain).await?;
    let hosts: Vec<String> =
        entry.hosts.iter().map(|h| format!("{} ({})", h.addr, h.failure_domain)).collect();
    println!("entry hosts for {} ms: {}", entry.ttl_ms, hosts.join(", "));
    let mut headers = Vec::new();
    if let Some(key) = &args.key {
        headers.push(("idempotency-key", key.as_str()));
    }
    for (_, host) in (0..args.count).zip(entry.hosts.iter().cycle()) {
        let rsp = caller::send(host.addr, args.method.clone(), &args.path, &headers, Bytes::new())
            .await?;
        println!(
            "via {}: status {} outcome {} target {}",
            host.addr,
            rsp.status.as_u16(),
            rsp.header("geraniummux-outcome"),
            rsp.header("x-target-name"),
        );
        anyhow::ensure!(rsp.status.is_success(), "request failed with status {}", rsp.status);
    }
    Ok(())
}
