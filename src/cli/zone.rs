//! `zone out` and `zone in`: take an availability zone out of service and bring it back.

use std::collections::BTreeSet;

use crate::codes::Code;
use crate::config::Targets;
use crate::types::ZoneId;

use super::args::{Direction, ZoneArgs};
use super::{Exit, Failure, OperatorClients, Output, apply, operator_clients};

/// Maximum number of writes when other operators' changes are accepted first.
const MAX_WRITES: usize = 5;

pub(super) async fn run(args: ZoneArgs, out: &mut Output) -> Result<Exit, Failure> {
    let clients = operator_clients(&args.settings)?;
    let zone: ZoneId = args.zone.as_str().into();
    let change = write(&clients, &zone, &args).await?;
    apply::wait_and_report(&clients, &change, args.wait, out).await
}

/// Writes the change. If another operator's change is accepted first, it is kept and this change is
/// written on top of it, unless it concerns the same zone.
async fn write(
    clients: &OperatorClients,
    zone: &ZoneId,
    args: &ZoneArgs,
) -> Result<apply::Change, Failure> {
    let mut was_out = None;
    for _ in 1..MAX_WRITES {
        match write_once(clients, zone, args, &mut was_out).await {
            Err(Failure::RaceLost { .. }) => {}
            result => return result,
        }
    }
    write_once(clients, zone, args, &mut was_out).await
}

/// Writes the change once. `was_out` holds whether the zone was out before the previous write; a
/// difference means that another operator changed the same zone, and the change is refused.
async fn write_once(
    clients: &OperatorClients,
    zone: &ZoneId,
    args: &ZoneArgs,
    was_out: &mut Option<bool>,
) -> Result<apply::Change, Failure> {
    let current = clients
        .current_config()
        .await?
        .ok_or_else(|| Failure::Refused {
            code: Code::NoConfiguration,
            detail: "no targets have been applied yet".to_owned(),
        })?;
    let known = known_zones(clients, &current.body.targets).await?;
    let is_out = current.body.targets.zones_out.contains(zone);
    if was_out
        .replace(is_out)
        .is_some_and(|was_out| was_out != is_out)
    {
        return Err(Failure::Refused {
            code: Code::RaceLost,
            detail: format!("zone {zone} was changed by another operator"),
        });
    }
    let targets = with_zone_changed(
        &current.body.targets,
        zone,
        args.direction,
        &known,
        args.last,
    )?;
    apply::write_targets(clients, targets, Some(&current)).await
}

/// Returns the zones that the targets declare, or else those of the host list.
async fn known_zones(
    clients: &OperatorClients,
    targets: &Targets,
) -> Result<BTreeSet<ZoneId>, Failure> {
    if !targets.zones.is_empty() {
        return Ok(targets.zones.clone());
    }
    let hosts = clients.hosts().await?;
    Ok(hosts.into_iter().map(|host| host.zone).collect())
}

/// Returns the targets with the zone taken out of service or brought back.
///
/// # Errors
/// Refuses a zone that is neither in `known` nor out, and the last zone unless `allow_last`.
pub(super) fn with_zone_changed(
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
            "zone {zone} is unknown; expected one of {}",
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
            "zone {zone} is the last one in service; --last takes it out too"
        )));
    }
    Ok(targets)
}
