//! `apply` puts the targets of a file in force; `diff` shows what `apply` would change.

use std::time::{Duration, Instant};

use serde::Serialize;

use crate::codes::Code;
use crate::config::{Body, Declaration, Difference, Targets, WriteOutcome, differences};
use crate::settings::{FromIni, TargetsFile};
use crate::types::Generation;

use super::args::{ApplyArgs, DiffArgs};
use super::operator::{CurrentConfig, new_writer_id};
use super::{Exit, Failure, Lag, OperatorClients, Output, lagging_processes, operator_clients};

/// Interval at which the processes are polled for the generation that they hold.
const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// JSON result of an accepted change.
#[derive(Debug, Serialize)]
struct ChangeReport<'a> {
    generation: Generation,
    changed: &'a [Difference],
    in_force: bool,
    lagging: &'a [Lag],
}

pub(super) async fn apply(args: &ApplyArgs, out: &mut Output) -> Result<Exit, Failure> {
    let declaration = Declaration::from(TargetsFile::load(&args.file)?);
    let clients = operator_clients(&args.settings)?;
    let current = clients.current_config().await?;
    let targets = resolve_targets(&clients, declaration, current.as_ref()).await?;
    let change = write_targets(&clients, targets, current.as_ref()).await?;
    wait_and_report(&clients, &change, args.wait, out).await
}

pub(super) async fn diff(args: &DiffArgs, out: &mut Output) -> Result<Exit, Failure> {
    let declaration = Declaration::from(TargetsFile::load(&args.file)?);
    let clients = operator_clients(&args.settings)?;
    let current = clients.current_config().await?;
    let targets = resolve_targets(&clients, declaration, current.as_ref()).await?;
    let changed = changed_keys(current.as_ref(), &targets);
    out.print_differences(&changed);
    out.print_json(&changed);
    Ok(if changed.is_empty() {
        Exit::Done
    } else {
        Exit::Differs
    })
}

/// A change that the object API accepted, or that was in place already.
#[derive(Debug)]
pub(super) struct Change {
    pub(super) generation: Generation,
    pub(super) changed: Vec<Difference>,
}

/// Resolves the version of each declared model to the digest of its manifest.
async fn resolve_targets(
    clients: &OperatorClients,
    declaration: Declaration,
    current: Option<&CurrentConfig>,
) -> Result<Targets, Failure> {
    let mut manifests = Vec::new();
    for model in declaration.models() {
        manifests.push(clients.manifest_digest(&model.id, &model.version).await?);
    }
    let current = current.map(|current| &current.body.targets);
    Ok(declaration.resolve(manifests, current))
}

/// Replaces `current` by `targets`; writes nothing if they are equal.
pub(super) async fn write_targets(
    clients: &OperatorClients,
    targets: Targets,
    current: Option<&CurrentConfig>,
) -> Result<Change, Failure> {
    let changed = changed_keys(current, &targets);
    let base = current.map_or(0, |current| current.generation);
    if current.is_some() && changed.is_empty() {
        return Ok(Change {
            generation: base,
            changed,
        });
    }
    let body = Body::new(
        new_writer_id(),
        targets,
        current.map(|current| &current.body),
    );
    match clients.write_config(&body, base).await {
        WriteOutcome::Accepted(generation) => Ok(Change {
            generation,
            changed,
        }),
        WriteOutcome::Replaced(object) => Ok(Change {
            generation: object.version,
            changed,
        }),
        WriteOutcome::RaceLost(object) => {
            let concurrent = CurrentConfig::parse(&object)?;
            Err(Failure::RaceLost {
                generation: object.version,
                theirs: changed_keys(current, &concurrent.body.targets),
                ours: changed_keys(Some(&concurrent), &body.targets),
            })
        }
        WriteOutcome::Refused(e) => Err(Failure::Unreachable {
            code: Code::ObjectApiDown,
            detail: e.to_string(),
        }),
        WriteOutcome::Unsettled(e) => Err(Failure::Unsettled {
            code: Code::WriteUnsettled,
            detail: e.to_string(),
        }),
    }
}

/// Lists the keys in which `targets` differs from the current configuration.
fn changed_keys(current: Option<&CurrentConfig>, targets: &Targets) -> Vec<Difference> {
    let empty = Targets::default();
    let old = current.map_or(&empty, |current| &current.body.targets);
    differences(old, targets)
}

/// Waits until a change is in force everywhere, at most `wait`, and prints the processes that lag.
pub(super) async fn wait_and_report(
    clients: &OperatorClients,
    change: &Change,
    wait: Duration,
    out: &mut Output,
) -> Result<Exit, Failure> {
    out.print_differences(&change.changed);
    out.print_line(format!("accepted as generation {}", change.generation));
    let lags = wait_for_rollout(clients, change.generation, wait).await;
    let known_lags = lags.as_deref().unwrap_or_default();
    let in_force = lags.is_some() && known_lags.is_empty();
    out.print_json(&ChangeReport {
        generation: change.generation,
        changed: &change.changed,
        in_force,
        lagging: known_lags,
    });
    if in_force {
        out.print_line("in force everywhere");
        return Ok(Exit::Done);
    }
    let code = Code::NotInForce;
    out.print_line(format!("{code} ({})", code.number()));
    if lags.is_none() {
        out.print_line("the host list does not answer, so it is not known which processes lag");
    }
    for lag in known_lags {
        out.print_line(format!("  {lag}"));
    }
    Ok(Exit::NotInForce)
}

/// Polls until every process holds `generation` or `wait` has passed. Returns the processes that
/// still lag, or `None` if the host list does not answer.
async fn wait_for_rollout(
    clients: &OperatorClients,
    generation: Generation,
    wait: Duration,
) -> Option<Vec<Lag>> {
    let deadline = Instant::now() + wait;
    loop {
        let hosts = clients.hosts().await.ok();
        let lags = match &hosts {
            Some(hosts) => Some(lagging_processes(
                generation,
                hosts,
                &clients.entry_statuses(hosts).await,
            )),
            None => None,
        };
        let is_timed_out = Instant::now() >= deadline;
        if is_timed_out || lags.as_ref().is_some_and(Vec::is_empty) {
            return lags;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
