//! `zone out` and `zone in`.

use std::collections::BTreeSet;

use crate::codes::Code;
use crate::config::Targets;
use crate::types::ZoneId;

use super::args::{Direction, ZoneArgs};
use super::{Exit, Failure, Operator, Output, apply, operator};

/// Writes that are tried when other changes come first.
const MAX_RACES: usize = 5;

pub(super) async fn run(args: ZoneArgs, out: &mut Output) -> Result<Exit, Failure> {
    let operator = operator(&args.settings)?;
    let zone: ZoneId = args.zone.as_str().into();
    let change = write(&operator, &zone, &args).await?;
    apply::report(&operator, &change, args.wait, out).await
}

/// Writes the change; a rival's change to other keys is kept and this one made on top of it.
async fn write(
    operator: &Operator,
    zone: &ZoneId,
    args: &ZoneArgs,
) -> Result<apply::Change, Failure> {
    let mut seen_out = None;
    for _ in 1..MAX_RACES {
        match write_once(operator, zone, args, &mut seen_out).await {
            Err(Failure::RaceLost { .. }) => {}
            end => return end,
        }
    }
    write_once(operator, zone, args, &mut seen_out).await
}

async fn write_once(
    operator: &Operator,
    zone: &ZoneId,
    args: &ZoneArgs,
    seen_out: &mut Option<bool>,
) -> Result<apply::Change, Failure> {
    let current = operator.current().await?.ok_or_else(|| Failure::Refused {
        code: Code::NoConfiguration,
        detail: "no targets were applied yet".to_owned(),
    })?;
    let known = known_zones(operator, &current.body.targets).await?;
    let is_out = current.body.targets.zones_out.contains(zone);
    if seen_out.replace(is_out).is_some_and(|seen| seen != is_out) {
        return Err(Failure::Refused {
            code: Code::RaceLost,
            detail: format!("zone {zone} was changed by another operator"),
        });
    }
    let targets = moved(
        &current.body.targets,
        zone,
        args.direction,
        &known,
        args.last,
    )?;
    apply::write(operator, targets, Some(&current)).await
}

async fn known_zones(operator: &Operator, targets: &Targets) -> Result<BTreeSet<ZoneId>, Failure> {
    if !targets.zones.is_empty() {
        return Ok(targets.zones.clone());
    }
    let hosts = operator.hosts().await?;
    Ok(hosts.into_iter().map(|host| host.zone).collect())
}

/// Targets with the zone taken out or back.
pub(super) fn moved(
    targets: &Targets,
    zone: &ZoneId,
    direction: Direction,
    known: &BTreeSet<ZoneId>,
    allow_last: bool,
) -> Result<Targets, Failure> {
    let refused = |detail| Failure::Refused {
        code: Code::BadReference,
        detail,
    };
    let mut targets = targets.clone();
    let is_out = targets.zones_out.contains(zone);
    if !known.contains(zone) && !is_out {
        let names: Vec<&str> = known.iter().map(|zone| &**zone).collect();
        return Err(refused(format!(
            "zone {zone}; expected one of {}",
            names.join(", ")
        )));
    }
    match direction {
        Direction::Out => targets.zones_out.insert(zone.clone()),
        Direction::In => targets.zones_out.remove(zone),
    };
    let is_last = known.iter().all(|zone| targets.zones_out.contains(zone));
    if direction == Direction::Out && is_last && !allow_last {
        return Err(refused(format!(
            "zone {zone} is the last one; --last takes it out too"
        )));
    }
    Ok(targets)
}
