//! Command-line arguments.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use argh::FromArgs;

use crate::settings::value_type::{self, ValueType};

/// Default path of the operator's settings.
const DEFAULT_SETTINGS: &str = "limpetloom.ini";
/// Default time that a command waits for a change to be in force.
const DEFAULT_WAIT: Duration = Duration::from_secs(10);

/// Weight distribution and request routing for language-model bursts under a power cap.
#[derive(Debug, FromArgs)]
pub struct Args {
    /// command to run
    #[argh(subcommand)]
    pub command: Command,
}

/// Command to run.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum Command {
    /// Run an entry.
    Entry(EntryArgs),
    /// Run an agent.
    Agent(AgentArgs),
    /// Run a process on the operators' platform.
    Platform(PlatformArgs),
    /// Check a settings or targets file.
    Check(CheckArgs),
    /// Put targets in force.
    Apply(ApplyArgs),
    /// Compare a targets file with the targets in force.
    Diff(DiffArgs),
    /// Take an availability zone out of service or bring it back.
    Zone(ZoneArgs),
    /// Show the state of the system.
    Status(StatusArgs),
    /// Print the state of one process.
    Dump(DumpArgs),
    /// Explain where a request would go now.
    Explain(ExplainArgs),
}

/// Run an entry, which accepts callers' requests.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "entry")]
pub struct EntryArgs {
    /// settings file
    #[argh(positional)]
    pub settings: PathBuf,
}

/// Run an agent, which forwards requests to the endpoints of its host.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "agent")]
pub struct AgentArgs {
    /// settings file
    #[argh(positional)]
    pub settings: PathBuf,
}

/// Run a process on the operators' platform, with the settings that the platform provides.
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
    /// Accepts callers' requests.
    Entry,
    /// Forwards requests to the engine of its host.
    Agent,
}

/// Check a settings or targets file and report every fault.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "check")]
pub struct CheckArgs {
    /// file to check; its sections determine its kind
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
    /// longest time to wait for the change to be in force, 10 s by default
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

/// Take an availability zone out of service or bring it back.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "zone")]
pub struct ZoneArgs {
    /// direction: out or in
    #[argh(positional, from_str_fn(direction))]
    pub direction: Direction,
    /// name of the zone
    #[argh(positional)]
    pub zone: String,
    /// take the zone out even if it is the last one, which leaves no zone in service
    #[argh(switch)]
    pub last: bool,
    /// operator's settings, limpetloom.ini by default
    #[argh(option, default = "DEFAULT_SETTINGS.into()")]
    pub settings: PathBuf,
    /// longest time to wait for the change to be in force, 10 s by default
    #[argh(option, default = "DEFAULT_WAIT", from_str_fn(duration))]
    pub wait: Duration,
    /// print JSON
    #[argh(switch)]
    pub json: bool,
}

/// Change of a zone's service state.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Direction {
    /// Take the zone out of service.
    Out,
    /// Bring the zone back into service.
    In,
}

/// Show classes, zones, model versions and the processes that lag.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "status")]
pub struct StatusArgs {
    /// operator's settings, limpetloom.ini by default
    #[argh(option, default = "DEFAULT_SETTINGS.into()")]
    pub settings: PathBuf,
    /// refresh every second
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

/// Explain where a request would go now, and why, without sending it.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "explain")]
pub struct ExplainArgs {
    /// status address of the entry that would take the request; its zone is the caller's
    #[argh(positional)]
    pub address: SocketAddr,
    /// host name that the caller asks for
    #[argh(option)]
    pub host: String,
    /// path that the caller asks for
    #[argh(option)]
    pub path: String,
    /// customer that the request belongs to
    #[argh(option)]
    pub customer: Option<String>,
    /// model that the request names
    #[argh(option)]
    pub model: Option<String>,
    /// length of the prompt in tokens, 0 by default
    #[argh(option, default = "0")]
    pub prompt: u32,
    /// expected length of the answer in tokens
    #[argh(option)]
    pub answer: Option<u32>,
    /// print JSON
    #[argh(switch)]
    pub json: bool,
}

impl Command {
    /// True if the command prints its result as JSON.
    pub fn is_json(&self) -> bool {
        match self {
            Self::Entry(_) | Self::Agent(_) | Self::Platform(_) => false,
            Self::Check(args) => args.json,
            Self::Apply(args) => args.json,
            Self::Diff(args) => args.json,
            Self::Zone(args) => args.json,
            Self::Status(args) => args.json,
            Self::Dump(_) => true,
            Self::Explain(args) => args.json,
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
