//! Runs the review's cases: stand-ins of the platform, callers, and the project's own processes.
//!
//! `standin CASE FOLDER` writes `FOLDER/record.txt`, and exits with 1 if the rule was broken, with 0
//! if it held and with 2 if the case couldn't run. `TROUBLE=0` leaves out the disruption.

mod cases;
mod client;
mod deploy;
mod engine;
mod http;
mod origin;
mod record;
mod sha256;
mod site;
mod store;

use std::env;
use std::panic;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;

use record::Record;

fn main() -> ExitCode {
    let mut args = env::args().skip(1);
    let (Some(case), Some(folder)) = (args.next(), args.next()) else {
        eprintln!("usage: standin CASE FOLDER");
        return ExitCode::from(2);
    };
    let has_trouble = env::var("TROUBLE").map_or(true, |trouble| trouble != "0");
    let record = match Record::create(&PathBuf::from(folder).join("record.txt")) {
        Ok(record) => Arc::new(record),
        Err(err) => {
            eprintln!("record.txt: {err}");
            return ExitCode::from(2);
        }
    };
    let temporary = env::temp_dir().join(format!("limpetloom-review-{}", std::process::id()));
    record.say(&format!("case {case}, trouble {has_trouble}"));
    let held = panic::catch_unwind(|| cases::run(&case, record.clone(), &temporary, has_trouble));
    let code = match held {
        Ok(Ok(true)) => {
            record.say("the rule held");
            0
        }
        Ok(Ok(false)) => {
            record.say("the rule was BROKEN");
            1
        }
        Ok(Err(err)) => {
            record.say(&format!("the case couldn't run: {err}"));
            2
        }
        Err(_) => {
            record.say("the case couldn't run: a stand-in panicked");
            2
        }
    };
    if env::var_os("KEEP_LOGS").is_none() {
        let _ = std::fs::remove_dir_all(&temporary);
    }
    ExitCode::from(code)
}
