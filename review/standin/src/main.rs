//! Runs one case of the review: `review-standin CASE ROOT FOLDER TEMPORARY`. Exits with 1 if the rule was broken, with 0 if
//! it held, and with 2 if the case could not run. With `TROUBLE=0`, leaves the disruption out.

mod backend;
mod cases;
mod hosts;
mod http;
mod record;
mod store;

use std::process::ExitCode;

/// Result of a case.
pub enum Verdict {
    Broken,
    Held,
    CouldNotRun,
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, root, folder, temporary] = args.as_slice() else {
        eprintln!("usage: review-standin CASE ROOT FOLDER TEMPORARY");
        return ExitCode::from(2);
    };
    let run = match case.as_str() {
        "foreign-entry" => cases::foreign_entry::run,
        "same-id" => cases::same_id::run,
        "lost-watch" => cases::lost_watch::run,
        "late-stop" => cases::late_stop::run,
        "lone-host" => cases::lone_host::run,
        "load-header" => cases::load_header::run,
        _ => {
            eprintln!("no case {case}");
            return ExitCode::from(2);
        }
    };
    let cx = cases::Context {
        root: root.into(),
        folder: folder.into(),
        temporary: temporary.into(),
        trouble: std::env::var("TROUBLE").map_or(true, |v| v != "0"),
    };
    match run(&cx) {
        Verdict::Broken => ExitCode::from(1),
        Verdict::Held => ExitCode::SUCCESS,
        Verdict::CouldNotRun => ExitCode::from(2),
    }
}
