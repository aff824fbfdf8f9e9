//! Command line: starts the processes and runs the commands of operators.
//!
//! [`Exit`] lists the exit codes; `docs/operate/commands.md` documents the commands for operators.

mod apply;
mod args;
mod check;
mod dump;
mod exit;
mod explain;
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
pub use operator::OperatorClients;
pub use output::Output;
pub use rollout::{Lag, LagReason, lagging_processes};
pub use status::{ClassView, FleetView, ModelView, ZoneView};

use tokio::runtime::{Builder, Runtime};

use crate::codes::Code;
use crate::settings::{FromIni, OperatorSettings};

/// Parses the arguments of this process and runs its command.
pub fn main() -> ExitCode {
    let args: Args = argh::from_env();
    let is_json = args.command.is_json();
    let colour = io::stdout().is_terminal();
    let mut out = Output::new(io::stdout(), io::stderr(), is_json, colour);
    let result = runtime(&args.command)
        .map(|runtime| runtime.block_on(run(args.command, &mut out)))
        .map_err(|e| Failure::NotStarted {
            code: Code::NotStarted,
            detail: e.to_string(),
        });
    finish(result, &mut out).into()
}

/// Builds the runtime: multi-threaded for `entry` and `agent`, which serve traffic, and
/// single-threaded for everything else.
fn runtime(command: &Command) -> io::Result<Runtime> {
    match command {
        Command::Entry(_) | Command::Agent(_) => Builder::new_multi_thread().enable_all().build(),
        _ => Builder::new_current_thread().enable_all().build(),
    }
}

/// Runs a process or an operator's command, prints the failure if there is one, and returns the
/// exit code.
pub async fn run(command: Command, out: &mut Output) -> Exit {
    let result = match command {
        Command::Entry(args) => serve::run_entry(&args).await,
        Command::Agent(args) => serve::run_agent(&args).await,
        Command::Platform(args) => serve::run_platform(&args).await,
        Command::Check(args) => check::run(&args, out),
        Command::Apply(args) => apply::apply(&args, out).await,
        Command::Diff(args) => apply::diff(&args, out).await,
        Command::Zone(args) => zone::run(args, out).await,
        Command::Status(args) => status::run(&args, out).await,
        Command::Dump(args) => dump::run(&args, out).await,
        Command::Explain(args) => explain::run(args, out).await,
    };
    finish(result, out)
}

fn finish(result: Result<Exit, Failure>, out: &mut Output) -> Exit {
    result.unwrap_or_else(|failure| {
        out.print_failure(&failure);
        failure.exit()
    })
}

/// Loads the operator's settings and creates the clients.
fn operator_clients(settings: &Path) -> Result<OperatorClients, Failure> {
    Ok(OperatorClients::new(&OperatorSettings::load(settings)?))
}
