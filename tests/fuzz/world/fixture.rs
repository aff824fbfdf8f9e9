//! Names, targets and settings of the simulated site.

use super::*;

/// Power cap in milliwatts, too low for both engines to run at their limit at the same time.
const SITE_POWER_MW: u64 = 2_400;

pub(super) fn entry_name(n: usize) -> Arc<str> {
    format!("entry-{n}").into()
}

pub(super) fn host_name(n: usize) -> Arc<str> {
    format!("host-{n}").into()
}

pub(super) fn host_number(host: &str) -> usize {
    host["host-".len()..]
        .parse()
        .expect("a host name ends in its number")
}

pub(super) fn endpoint_name(n: usize) -> Arc<str> {
    format!("endpoint-{n}").into()
}

pub(super) fn agent_zone(n: usize) -> &'static str {
    ZONES[n % 2]
}

pub(super) fn endpoint_config(n: usize) -> EndpointConfig {
    let model = n < AGENTS / 2;
    EndpointConfig {
        id: endpoint_name(n),
        target: if model { "clay" } else { "seats" }.into(),
        kind: if model {
            EndpointKind::Model
        } else {
            EndpointKind::Service
        },
        cold_limit: 2,
        warm_up_answers: 0,
        limit: 5,
        checks_fencing: true,
        idle_power_mw: 100,
        millijoules_per_token: if model { 10 } else { 0 },
    }
}

pub(super) fn class(id: &str, target: &str, priority: u8) -> Class {
    Class {
        id: id.into(),
        target: target.into(),
        first_token: Duration::from_secs(1),
        power: 10_000,
        priority,
        keyed: id == "booking",
        deferrable: id == "batch",
    }
}

pub(super) fn targets() -> Targets {
    let customer = |id: &str| Customer {
        id: id.into(),
        weight: 1,
    };
    Targets {
        site_power: SITE_POWER_MW,
        classes: vec![
            class("chat", "clay", 1),
            class("batch", "clay", 5),
            class("booking", "seats", 0),
        ],
        customers: vec![customer("studio"), customer("office")],
        models: vec![Model {
            id: "clay".into(),
            version: "one".into(),
            manifest: "v1".into(),
            replicas: None,
        }],
        services: vec![Service { id: "seats".into() }],
        zones: ZONES.iter().map(|zone| (*zone).into()).collect(),
        zones_out: BTreeSet::new(),
    }
}

pub(super) fn host_list() -> Vec<HostEntry> {
    let address = |n: usize| ([127, 0, 0, 1], 9_000 + n as u16).into();
    let host_entry = |host: Arc<str>, zone: &str, role, n| HostEntry {
        host,
        zone: zone.into(),
        region: "kerala".into(),
        role,
        control: address(n),
        traffic: address(n + 50),
        leaving: false,
    };
    let entries = (0..ENTRIES).map(|n| host_entry(entry_name(n), ZONES[n % 2], HostRole::Entry, n));
    let agents =
        (0..AGENTS).map(|n| host_entry(host_name(n), agent_zone(n), HostRole::Agent, n + ENTRIES));
    entries.chain(agents).collect()
}

pub(super) fn offer(entry: usize, dispatch: Dispatch, meta: RequestMeta) -> Offer {
    Offer {
        attempt: dispatch.attempt,
        entry: entry_name(entry),
        endpoint: dispatch.endpoint,
        agent_instance: dispatch.agent_instance,
        generation: dispatch.generation,
        class: meta.class,
        customer: meta.customer,
        key: meta.key,
        fingerprint: meta.fingerprint,
        version: dispatch.version,
        tokens: meta.tokens,
        start_budget: dispatch.start_budget,
        suspect: dispatch.suspect,
    }
}
