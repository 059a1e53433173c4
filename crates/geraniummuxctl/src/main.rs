//! The operators' command-line tool of geraniummux.

use geraniummuxctl::{Args, commands};
use std::process::ExitCode;

/// Exit code of `diff` when the tables differ.
const EXIT_DIFFERS: u8 = 1;

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let args: Args = argh::from_env();
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
