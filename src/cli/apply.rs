//! `apply` and `diff`: targets from a file into force.

use std::time::{Duration, Instant};

use serde::Serialize;

use crate::codes::Code;
use crate::config::{Body, Declaration, Difference, Targets, WriteOutcome, differences};
use crate::settings::{FromIni, TargetsFile};
use crate::types::Generation;

use super::args::{ApplyArgs, DiffArgs};
use super::operator::{Current, new_mark};
use super::{Exit, Failure, Lag, Operator, Output, lagging, operator};

/// Time between two looks at the processes.
const ROLLOUT_PERIOD: Duration = Duration::from_millis(250);

/// What became of a change, for scripts.
#[derive(Debug, Serialize)]
struct ChangeReport<'a> {
    generation: Generation,
    changed: &'a [Difference],
    in_force: bool,
    lagging: &'a [Lag],
}

pub(super) async fn apply(args: &ApplyArgs, out: &mut Output) -> Result<Exit, Failure> {
    let declaration = Declaration::from(TargetsFile::load(&args.file)?);
    let operator = operator(&args.settings)?;
    let current = operator.current().await?;
    let targets = resolve(&operator, declaration, current.as_ref()).await?;
    let change = write(&operator, targets, current.as_ref()).await?;
    report(&operator, &change, args.wait, out).await
}

pub(super) async fn diff(args: &DiffArgs, out: &mut Output) -> Result<Exit, Failure> {
    let declaration = Declaration::from(TargetsFile::load(&args.file)?);
    let operator = operator(&args.settings)?;
    let current = operator.current().await?;
    let targets = resolve(&operator, declaration, current.as_ref()).await?;
    let changed = changes(current.as_ref(), &targets);
    out.differences(&changed);
    out.value(&changed);
    Ok(if changed.is_empty() {
        Exit::Done
    } else {
        Exit::Differs
    })
}

/// An accepted change.
#[derive(Debug)]
pub(super) struct Change {
    pub(super) generation: Generation,
    pub(super) changed: Vec<Difference>,
}

async fn resolve(
    operator: &Operator,
    declaration: Declaration,
    current: Option<&Current>,
) -> Result<Targets, Failure> {
    let mut manifests = Vec::new();
    for model in declaration.models() {
        manifests.push(operator.manifest(&model.id, &model.version).await?);
    }
    let current = current.map(|current| &current.body.targets);
    Ok(declaration.resolve(manifests, current))
}

/// Writes `targets` in place of `current`; writes nothing when they are the same.
pub(super) async fn write(
    operator: &Operator,
    targets: Targets,
    current: Option<&Current>,
) -> Result<Change, Failure> {
    let changed = changes(current, &targets);
    let base = current.map_or(0, |current| current.generation);
    if current.is_some() && changed.is_empty() {
        return Ok(Change {
            generation: base,
            changed,
        });
    }
    let body = Body::new(new_mark(), targets, current.map(|current| &current.body));
    match operator.write(&body, base).await {
        WriteOutcome::Accepted(generation) => Ok(Change {
            generation,
            changed,
        }),
        WriteOutcome::Replaced(object) => Ok(Change {
            generation: object.version,
            changed,
        }),
        WriteOutcome::RaceLost(object) => {
            let rival = Current::parse(&object)?;
            Err(Failure::RaceLost {
                generation: object.version,
                theirs: changes(current, &rival.body.targets),
                ours: changes(Some(&rival), &body.targets),
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

fn changes(current: Option<&Current>, targets: &Targets) -> Vec<Difference> {
    let nothing = Targets::default();
    let old = current.map_or(&nothing, |current| &current.body.targets);
    differences(old, targets)
}

/// Waits until a change is in force everywhere and says where it is not.
pub(super) async fn report(
    operator: &Operator,
    change: &Change,
    wait: Duration,
    out: &mut Output,
) -> Result<Exit, Failure> {
    out.differences(&change.changed);
    out.line(format!("accepted as generation {}", change.generation));
    let lags = rollout(operator, change.generation, wait).await;
    let known = lags.as_deref().unwrap_or_default();
    let in_force = lags.is_some() && known.is_empty();
    out.value(&ChangeReport {
        generation: change.generation,
        changed: &change.changed,
        in_force,
        lagging: known,
    });
    if in_force {
        out.line("in force everywhere");
        return Ok(Exit::Done);
    }
    let code = Code::NotInForce;
    out.line(format!("{code} ({})", code.number()));
    if lags.is_none() {
        out.line("the host list does not answer, so the processes are not known");
    }
    for lag in known {
        out.line(format!("  {lag}"));
    }
    Ok(Exit::NotInForce)
}

/// Looks until every process holds `generation` or `wait` is over; `None` without a host list.
async fn rollout(operator: &Operator, generation: Generation, wait: Duration) -> Option<Vec<Lag>> {
    let end = Instant::now() + wait;
    loop {
        let hosts = operator.hosts().await.ok();
        let lags = match &hosts {
            Some(hosts) => Some(lagging(generation, hosts, &operator.statuses(hosts).await)),
            None => None,
        };
        let is_over = Instant::now() >= end;
        if is_over || lags.as_ref().is_some_and(Vec::is_empty) {
            return lags;
        }
        tokio::time::sleep(ROLLOUT_PERIOD).await;
    }
}
