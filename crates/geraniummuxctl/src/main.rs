//! `geraniummuxctl`, the command-line tool for operators of geraniummux.

use argh::FromArgs;
use geraniummuxctl::{Args, commands};
use std::process::ExitCode;

/// Exit code of `diff` when the tables differ.
const EXIT_DIFFERS: u8 = 1;
/// Exit code for invalid arguments.
const EXIT_USAGE: u8 = 2;

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let args = match parse() {
        Ok(args) => args,
        Err(code) => return code,
    };
    match commands::run(&args).await {
        Ok(output) => {
            print!("{}", output.text);
            if output.differs { ExitCode::from(EXIT_DIFFERS) } else { ExitCode::SUCCESS }
        }
        Err(e) => {
            eprintln!("geraniummuxctl: {e}");
            ExitCode::from(e.exit_code())
        }
    }
}

/// Parses the arguments. `argh::from_env` is not used because it exits with 1 on invalid arguments,
/// which is the exit code for differing tables.
fn parse() -> Result<Args, ExitCode> {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    Args::from_args(&["geraniummuxctl"], &args).map_err(|exit| match exit.status {
        Ok(()) => {
            println!("{}", exit.output);
            ExitCode::SUCCESS
        }
        Err(()) => {
            let text: Vec<&str> = exit.output.lines().map(str::trim).collect();
            eprintln!("geraniummuxctl: {}", text.join(" ").trim());
            ExitCode::from(EXIT_USAGE)
        }
    })
}
