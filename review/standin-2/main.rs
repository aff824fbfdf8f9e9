//! Stand-ins for the platform's store, the origin of the weights, model engines and requesters, and the
//! scenarios of the review's scripts. Standard library only; see `../build-2.sh`.
//!
//! `standin-2 SCENARIO PROGRAM FOLDER` starts the program's entry and agents as separate processes on
//! loopback addresses, plays the scenario, writes `record.txt` into the folder, and exits with 1 if the
//! rule was broken, 0 if it held, 2 if the case could not run. With `TROUBLE=0` the disruption is left out.

mod crowd;
mod deployment;
mod engine;
mod http;
mod origin;
mod plain;
mod record;
mod requester;
mod scenarios;
mod sha256;
mod store;

use std::path::PathBuf;

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let [_, scenario, program, folder] = &args[..] else {
        eprintln!("usage: standin-2 SCENARIO PROGRAM FOLDER");
        std::process::exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let folder = PathBuf::from(folder);
    let code = scenarios::run(scenario, PathBuf::from(program), &folder, trouble);
    std::process::exit(code);
}
