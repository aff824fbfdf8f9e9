use std::collections::BTreeMap;
use std::time::Duration;

use rstest::rstest;

use crate::config::{Model, Targets};
use crate::placement::{Assignment, EndpointSnapshot, Placement, PlanInputs, plan};

const REPLACE_AFTER: Duration = Duration::from_secs(30);

struct Fleet {
    targets: Targets,
    endpoints: Vec<EndpointSnapshot>,
    current: Placement,
    needed: u32,
    spare_power: u64,
}

impl Fleet {
    /// A fleet of endpoints that are ready with version `old`, spread over three zones.
    fn ready(count: usize) -> Self {
        let endpoints: Vec<EndpointSnapshot> = (0..count).map(endpoint_snapshot).collect();
        let assignments = endpoints.iter().map(|endpoint| {
            let assignment = Assignment {
                host: endpoint.host.clone(),
                model: "m".into(),
                version: "old".into(),
                next: None,
            };
            (endpoint.id.clone(), assignment)
        });
        Self {
            targets: targets("old", None),
            current: Placement {
                generation: 1,
                endpoints: assignments.collect(),
                ..Placement::default()
            },
            endpoints,
            needed: 0,
            spare_power: 1000,
        }
    }

    fn plan(&self, generation: u64) -> Placement {
        plan(PlanInputs {
            generation,
            targets: &self.targets,
            endpoints: &self.endpoints,
            current: &self.current,
            needed_replicas: &BTreeMap::from([("m".into(), self.needed)]),
            spare_power: self.spare_power,
            load_power: 10,
            replace_after: REPLACE_AFTER,
        })
    }
}

fn endpoint_snapshot(number: usize) -> EndpointSnapshot {
    EndpointSnapshot {
        id: format!("e{number}").into(),
        host: format!("h{number}").into(),
        zone: format!("z{}", number % 3).into(),
        model: "m".into(),
        ready_version: Some("old".into()),
        holds_next: false,
        since_last_reply: Duration::ZERO,
        is_leaving: false,
    }
}

fn targets(version: &str, replicas: Option<u32>) -> Targets {
    Targets {
        models: vec![Model {
            id: "m".into(),
            version: version.into(),
            manifest: version.into(),
            replicas,
        }],
        ..Targets::default()
    }
}

/// Number of endpoints that are assigned to serve `version`.
fn serving_count(placement: &Placement, version: &str) -> usize {
    let assignments = placement.endpoints.values();
    assignments.filter(|a| &*a.version == version).count()
}

#[test]
fn new_version_is_first_fetched_without_a_switch() {
    let mut fleet = Fleet::ready(6);
    fleet.targets = targets("new", None);
    let next = fleet.plan(2);
    assert_eq!(serving_count(&next, "old"), 6);
    assert_eq!(next.hosts_of("new").len(), 6);
}

#[rstest]
#[case::no_load(0, 1000, 5)]
#[case::some_load(4, 1000, 2)]
#[case::all_needed(6, 1000, 0)]
#[case::overloaded(9, 1000, 0)]
#[case::little_power(0, 25, 2)]
#[case::no_power(0, 9, 0)]
fn switches_leave_the_needed_replicas_and_respect_the_power_cap(
    #[case] needed: u32,
    #[case] spare_power: u64,
    #[case] expected: usize,
) {
    let mut fleet = Fleet::ready(6);
    fleet.targets = targets("new", None);
    fleet.current = fleet.plan(2);
    fleet
        .endpoints
        .iter_mut()
        .for_each(|endpoint| endpoint.holds_next = true);
    fleet.needed = needed;
    fleet.spare_power = spare_power;
    let next = fleet.plan(2);
    assert_eq!(serving_count(&next, "new"), expected);

    // While these endpoints load, no others switch.
    fleet.current = next;
    let loading = fleet.current.clone();
    for endpoint in &mut fleet.endpoints {
        if &*loading.endpoints[&endpoint.id].version == "new" {
            endpoint.ready_version = None;
        }
    }
    assert_eq!(serving_count(&fleet.plan(2), "new"), expected);
}

#[rstest]
#[case::one(1)]
#[case::two(2)]
#[case::many(16)]
fn every_endpoint_ends_on_the_new_version(#[case] count: usize) {
    let mut fleet = Fleet::ready(count);
    fleet.targets = targets("new", None);
    fleet.needed = (count as u32 * 7).div_ceil(10).min(count as u32 - 1);
    for _ in 0..40 {
        fleet.current = fleet.plan(2);
        for endpoint in &mut fleet.endpoints {
            let assignment = &fleet.current.endpoints[&endpoint.id];
            endpoint.holds_next = true;
            endpoint.ready_version = Some(assignment.version.clone());
        }
    }
    assert_eq!(serving_count(&fleet.current, "new"), count);
    assert_eq!(fleet.plan(2), fleet.current, "the plan still changes");
}

#[rstest]
#[case::short_silence(Duration::from_secs(29), false, true)]
#[case::long_silence(Duration::from_secs(31), false, false)]
#[case::leaving(Duration::ZERO, true, false)]
fn endpoint_is_replaced_only_after_a_long_silence_or_when_leaving(
    #[case] since_last_reply: Duration,
    #[case] is_leaving: bool,
    #[case] is_kept: bool,
) {
    let mut fleet = Fleet::ready(6);
    fleet.targets = targets("old", Some(3));
    fleet.current = fleet.plan(1);
    fleet.endpoints[1].since_last_reply = since_last_reply;
    fleet.endpoints[1].is_leaving = is_leaving;
    let next = fleet.plan(1);
    assert_eq!(next.endpoints.contains_key("e1"), is_kept);
    assert_eq!(next.endpoints.len(), 3);

    // When it is reachable again, its replacement stays assigned.
    fleet.current = next.clone();
    fleet.endpoints[1].since_last_reply = Duration::ZERO;
    fleet.endpoints[1].is_leaving = false;
    assert_eq!(fleet.plan(1), next);
}

#[test]
fn replicas_are_spread_over_zones_except_one_that_is_out() {
    let mut fleet = Fleet::ready(9);
    fleet.current.endpoints.clear();
    fleet.targets = targets("old", Some(4));
    fleet.targets.zones_out.insert("z1".into());
    let next = fleet.plan(1);
    let zones = |zone: usize| {
        let in_zone = |name: &str| name[1..].parse::<usize>().unwrap() % 3 == zone;
        next.endpoints.keys().filter(|name| in_zone(name)).count()
    };
    assert_eq!([zones(0), zones(1), zones(2)], [2, 0, 2]);
}

#[test]
fn placement_is_kept_when_the_targets_are_older() {
    let mut fleet = Fleet::ready(3);
    fleet.current.generation = 5;
    fleet.targets = targets("rolled-back", None);
    assert_eq!(fleet.plan(4), fleet.current);
}

#[test]
fn placement_does_not_depend_on_the_order_of_the_endpoints() {
    let mut fleet = Fleet::ready(9);
    fleet.targets = targets("new", Some(5));
    let expected = fleet.plan(2);
    fleet.endpoints.reverse();
    assert_eq!(fleet.plan(2), expected);
}
