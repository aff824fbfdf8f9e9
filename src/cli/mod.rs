//! Command line: the processes, and the commands of operators.
//!
//! Exit codes are those of [`Exit`]; the page for operators is `docs/operate/commands.md`.

mod apply;
mod args;
mod check;
mod dump;
mod exit;
mod operator;
mod output;
mod rollout;
mod serve;
mod status;
#[cfg(test)]
mod tests;
mod zone;

use std::io::{self, IsTerminal};
use std::path::Path;
use std::process::ExitCode;

pub use args::{Args, Command};
pub use exit::{Exit, Failure};
pub use operator::Operator;
pub use output::Output;
pub use rollout::{Lag, Reason, lagging};
pub use status::{ClassView, FleetView, ModelView, ZoneView};

use tokio::runtime::{Builder, Runtime};

use crate::codes::Code;
use crate::settings::{FromIni, OperatorSettings};

/// Runs the command line of this process.
pub fn main() -> ExitCode {
    let args: Args = argh::from_env();
    let is_json = args.command.is_json();
    let colour = io::stdout().is_terminal();
    let mut out = Output::new(io::stdout(), io::stderr(), is_json, colour);
    let end = runtime(&args.command)
        .map(|runtime| runtime.block_on(run(args.command, &mut out)))
        .map_err(|e| Failure::NotStarted {
            code: Code::NotStarted,
            detail: e.to_string(),
        });
    finish(end, &mut out).into()
}

/// Processes carry traffic on several threads; a command needs one.
fn runtime(command: &Command) -> io::Result<Runtime> {
    match command {
        Command::Entry(_) | Command::Agent(_) => Builder::new_multi_thread().enable_all().build(),
        _ => Builder::new_current_thread().enable_all().build(),
    }
}

/// Runs a process, or a command of an operator, and prints what became of it.
pub async fn run(command: Command, out: &mut Output) -> Exit {
    let end = match command {
        Command::Entry(args) => serve::run_entry(&args).await,
        Command::Agent(args) => serve::run_agent(&args).await,
        Command::Platform(args) => serve::run_platform(&args).await,
        Command::Check(args) => check::run(&args, out),
        Command::Apply(args) => apply::apply(&args, out).await,
        Command::Diff(args) => apply::diff(&args, out).await,
        Command::Zone(args) => zone::run(args, out).await,
        Command::Status(args) => status::run(&args, out).await,
        Command::Dump(args) => dump::run(&args, out).await,
    };
    finish(end, out)
}

fn finish(end: Result<Exit, Failure>, out: &mut Output) -> Exit {
    end.unwrap_or_else(|failure| {
        out.failure(&failure);
        failure.exit()
    })
}

/// Reads the operator's settings and makes the clients.
fn operator(settings: &Path) -> Result<Operator, Failure> {
    Ok(Operator::new(&OperatorSettings::load(settings)?))
}
