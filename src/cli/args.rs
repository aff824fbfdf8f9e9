//! Arguments of the commands.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use argh::FromArgs;

use crate::settings::value_type::{self, ValueType};

/// File with the operator's settings when none is named.
const DEFAULT_SETTINGS: &str = "limpetloom.ini";
/// Time for which a command waits until a change is in force.
const DEFAULT_WAIT: Duration = Duration::from_secs(10);

/// Weight distribution and request routing for language-model bursts under a power cap.
#[derive(Debug, FromArgs)]
pub struct Args {
    /// what to do
    #[argh(subcommand)]
    pub command: Command,
}

/// What to do.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum Command {
    /// Run an entry.
    Entry(EntryArgs),
    /// Run an agent.
    Agent(AgentArgs),
    /// Run on the operators' platform.
    Platform(PlatformArgs),
    /// Check a file.
    Check(CheckArgs),
    /// Apply targets.
    Apply(ApplyArgs),
    /// Compare targets.
    Diff(DiffArgs),
    /// Take a zone out or back.
    Zone(ZoneArgs),
    /// Show the system.
    Status(StatusArgs),
    /// Dump a process.
    Dump(DumpArgs),
}

/// Run an entry, which takes callers' requests.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "entry")]
pub struct EntryArgs {
    /// settings file
    #[argh(positional)]
    pub settings: PathBuf,
}

/// Run an agent, which stands beside the endpoints of its host.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "agent")]
pub struct AgentArgs {
    /// settings file
    #[argh(positional)]
    pub settings: PathBuf,
}

/// Run a process on the operators' platform, with the settings that the platform hands out.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "platform")]
pub struct PlatformArgs {
    /// role of the process: entry or agent
    #[argh(positional, from_str_fn(role))]
    pub role: Role,
}

/// Role of a process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Role {
    /// Takes callers' requests.
    Entry,
    /// Stands beside an engine.
    Agent,
}

/// Check a settings or targets file and report every fault.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "check")]
pub struct CheckArgs {
    /// file to check; its sections tell what it is
    #[argh(positional)]
    pub file: PathBuf,
    /// print JSON
    #[argh(switch)]
    pub json: bool,
}

/// Put targets in force everywhere.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "apply")]
pub struct ApplyArgs {
    /// targets file
    #[argh(positional)]
    pub file: PathBuf,
    /// operator's settings, limpetloom.ini by default
    #[argh(option, default = "DEFAULT_SETTINGS.into()")]
    pub settings: PathBuf,
    /// time to wait until the change is in force, 10 s by default
    #[argh(option, default = "DEFAULT_WAIT", from_str_fn(duration))]
    pub wait: Duration,
    /// print JSON
    #[argh(switch)]
    pub json: bool,
}

/// Show what apply would change.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "diff")]
pub struct DiffArgs {
    /// targets file
    #[argh(positional)]
    pub file: PathBuf,
    /// operator's settings, limpetloom.ini by default
    #[argh(option, default = "DEFAULT_SETTINGS.into()")]
    pub settings: PathBuf,
    /// print JSON
    #[argh(switch)]
    pub json: bool,
}

/// Take an availability zone out of service or back.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "zone")]
pub struct ZoneArgs {
    /// direction: out or in
    #[argh(positional, from_str_fn(direction))]
    pub direction: Direction,
    /// name of the zone
    #[argh(positional)]
    pub zone: String,
    /// take out the last zone too, which leaves no service
    #[argh(switch)]
    pub last: bool,
    /// operator's settings, limpetloom.ini by default
    #[argh(option, default = "DEFAULT_SETTINGS.into()")]
    pub settings: PathBuf,
    /// time to wait until the change is in force, 10 s by default
    #[argh(option, default = "DEFAULT_WAIT", from_str_fn(duration))]
    pub wait: Duration,
    /// print JSON
    #[argh(switch)]
    pub json: bool,
}

/// Direction in which a zone is taken.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Direction {
    /// Out of service.
    Out,
    /// Back into service.
    In,
}

/// Show classes, zones, versions and what lags.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "status")]
pub struct StatusArgs {
    /// operator's settings, limpetloom.ini by default
    #[argh(option, default = "DEFAULT_SETTINGS.into()")]
    pub settings: PathBuf,
    /// show again every second
    #[argh(switch)]
    pub watch: bool,
    /// print JSON
    #[argh(switch)]
    pub json: bool,
}

/// Print the state of one process as JSON.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "dump")]
pub struct DumpArgs {
    /// control address of the process
    #[argh(positional)]
    pub address: SocketAddr,
    /// operator's settings, limpetloom.ini by default
    #[argh(option, default = "DEFAULT_SETTINGS.into()")]
    pub settings: PathBuf,
}

impl Command {
    /// True when the command prints JSON.
    pub fn is_json(&self) -> bool {
        match self {
            Self::Entry(_) | Self::Agent(_) | Self::Platform(_) => false,
            Self::Check(args) => args.json,
            Self::Apply(args) => args.json,
            Self::Diff(args) => args.json,
            Self::Zone(args) => args.json,
            Self::Status(args) => args.json,
            Self::Dump(_) => true,
        }
    }
}

fn duration(text: &str) -> Result<Duration, String> {
    value_type::Duration::parse(text)
        .map_err(|_| format!("expected {}", value_type::Duration::EXPECTED))
}

fn direction(text: &str) -> Result<Direction, String> {
    match text {
        "out" => Ok(Direction::Out),
        "in" => Ok(Direction::In),
        _ => Err("expected out or in".to_owned()),
    }
}

fn role(text: &str) -> Result<Role, String> {
    match text {
        "entry" => Ok(Role::Entry),
        "agent" => Ok(Role::Agent),
        _ => Err("expected entry or agent".to_owned()),
    }
}
