//! Runs the soak test with a range of seeds and reports the guarantees that were violated.

use argh::FromArgs;
use geraniummux_soak::{Options, RouteTimes, TeamChecks, run};
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

/// Run real entry hosts, inject random faults and check what callers and targets observe.
#[derive(FromArgs)]
struct Args {
    /// first seed (default: 1)
    #[argh(option, default = "1")]
    seed: u64,
    /// number of seeds (default: 1)
    #[argh(option, default = "1")]
    seeds: u64,
    /// seconds during which faults are injected, for each seed (default: 15)
    #[argh(option, default = "15")]
    seconds: u64,
    /// entry hosts (default: 5)
    #[argh(option, default = "5")]
    hosts: u8,
    /// callers (default: 24)
    #[argh(option, default = "24")]
    callers: u64,
    /// targets (default: 6)
    #[argh(option, default = "6")]
    targets: usize,
    /// let targets make demands in their responses: limits, pauses, that they leave
    #[argh(switch)]
    demands: bool,
    /// let targets refuse requests, copy refusals late and start again under other ids
    #[argh(switch)]
    refusals: bool,
    /// restore the store from copies
    #[argh(switch)]
    restores: bool,
    /// restart one host in series while another one is frozen
    #[argh(switch)]
    restarts: bool,
    /// kill all hosts again and again, and start the seeds later than the others
    #[argh(switch)]
    seed_losses: bool,
    /// configure teams with keys and change keys; evacuate domains, make targets cold and pipeline requests as far
    /// as they are checked
    #[argh(switch)]
    teams: bool,
    /// what to check with --teams, separated by commas (default: keys,allowances,evacuations,cold,pipelining)
    #[argh(option, default = "String::from(\"keys,allowances,evacuations,cold,pipelining\")")]
    team_checks: String,
    /// give requests seconds instead of a second, so that they outlast the restart of a host
    #[argh(switch)]
    long: bool,
    /// directory for the hosts' settings and logs (default: a new one in the temporary directory)
    #[argh(option)]
    dir: Option<PathBuf>,
    /// entry host program to test (default: geraniummux-host beside this program)
    #[argh(option)]
    program: Option<PathBuf>,
    /// program of every second host, to test a fleet of two builds
    #[argh(option)]
    other_program: Option<PathBuf>,
    /// also check guarantees that set a time limit; needs a machine that is not overloaded
    #[argh(switch)]
    timed: bool,
}

#[tokio::main]
async fn main() -> anyhow::Result<ExitCode> {
    let args: Args = argh::from_env();
    let default_program = std::env::current_exe()?.with_file_name("geraniummux-host");
    let dir = args.dir.unwrap_or_else(|| {
        std::env::temp_dir().join(format!("geraniummux-soak-{}", std::process::id()))
    });
    let team_checks: TeamChecks = args.team_checks.parse()?;
    let mut violations = 0;
    for seed in args.seed..args.seed + args.seeds {
        let report = run(Options {
            seed,
            fault_duration: Duration::from_secs(args.seconds),
            hosts: args.hosts,
            targets: args.targets,
            callers: args.callers,
            timed: args.timed,
            demands: args.demands,
            refusals: args.refusals,
            restores: args.restores,
            restarts: args.restarts,
            seed_losses: args.seed_losses,
            teams: args.teams.then_some(team_checks),
            route_times: if args.long { RouteTimes::LONG } else { RouteTimes::SHORT },
            program: args.program.clone().unwrap_or_else(|| default_program.clone()),
            other_program: args.other_program.clone(),
            dir: dir.join(seed.to_string()),
        })
        .await?;
        print!("{report}");
        violations += report.violations.len();
    }
    println!("{} seeds, {violations} violations, logs in {}", args.seeds, dir.display());
    Ok(if violations == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}
