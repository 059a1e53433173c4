//! Command-line arguments.

use argh::FromArgs;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Read and edit the tables of geraniummux and show the state of its hosts.
#[derive(FromArgs)]
#[argh(
    note = "Nothing is changed unless the exit code of apply is 0 or 6.",
    error_code(0, "done"),
    error_code(1, "the tables differ (diff only)"),
    error_code(2, "unusable arguments or file"),
    error_code(3, "invalid table"),
    error_code(4, "the table was changed by somebody else"),
    error_code(5, "no host or platform reachable"),
    error_code(6, "undecided whether the edit took effect"),
    example = "{command_name} --admin 10.0.0.1:8081 --json get pools > pools.json\n\
               {command_name} --admin 10.0.0.1:8081 diff pools pools.json\n\
               {command_name} --admin 10.0.0.1:8081 --admin 10.0.0.2:8081 apply pools pools.json"
)]
pub struct Args {
    /// admin address of an entry host; repeat the option to add fallback hosts
    #[argh(option)]
    pub admin: Vec<SocketAddr>,
    /// print JSON instead of a table
    #[argh(switch)]
    pub json: bool,
    /// command to run
    #[argh(subcommand)]
    pub command: Command,
}

/// A command with its arguments.
#[derive(FromArgs)]
#[argh(subcommand)]
pub enum Command {
    /// Prints a table in force.
    Get(Get),
    /// Compares a file with the table in force.
    Diff(Diff),
    /// Validates table files without changing anything.
    Check(Check),
    /// Replaces a table with the content of a file.
    Apply(Apply),
    /// Prints the state of each host.
    Status(Status),
    /// Prints the number of served requests of a month.
    Usage(Usage),
}

/// Print a table in force; with --json in the form that apply takes.
#[derive(FromArgs)]
#[argh(subcommand, name = "get")]
pub struct Get {
    /// routes or pools
    #[argh(positional)]
    pub table: String,
}

/// Compare a file with the table in force, row by row. Exit code 1 if they differ.
#[derive(FromArgs)]
#[argh(subcommand, name = "diff")]
pub struct Diff {
    /// routes or pools
    #[argh(positional)]
    pub table: String,
    /// file with the table (JSON)
    #[argh(positional)]
    pub file: PathBuf,
}

/// Validate table files; a table without a file is taken from the configuration in force.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
pub struct Check {
    /// file with the routes table (JSON)
    #[argh(option)]
    pub routes: Option<PathBuf>,
    /// file with the pools table (JSON)
    #[argh(option)]
    pub pools: Option<PathBuf>,
}

/// Replace a table with the content of a file.
///
/// The edit takes effect only if the table is still at the revision that the file names (or
/// --base); otherwise the winning revision and the differences are printed and the file stays as
/// it is.
#[derive(FromArgs)]
#[argh(subcommand, name = "apply")]
pub struct Apply {
    /// routes or pools
    #[argh(positional)]
    pub table: String,
    /// file with the table (JSON)
    #[argh(positional)]
    pub file: PathBuf,
    /// revision that the file is based on (default: the file's "revision", else 0)
    #[argh(option)]
    pub base: Option<u64>,
    /// name recorded with the edit (default: $USER)
    #[argh(option)]
    pub writer: Option<String>,
    /// write id of an earlier edit that was undecided (exit code 6): reports its result, and
    /// applies it if it has not taken effect
    #[argh(option)]
    pub write_id: Option<String>,
}

/// Print the state of each host named by --admin.
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
pub struct Status {}

/// Print the number of requests served in a month, by tenant and class.
#[derive(FromArgs)]
#[argh(subcommand, name = "usage")]
pub struct Usage {
    /// month as YYYY-MM (default: the current month)
    #[argh(option)]
    pub month: Option<String>,
}
