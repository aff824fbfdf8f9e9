use std::sync::Arc;
use std::time::Instant;

use rstest::rstest;

use super::fixture::*;
use crate::codes::Code;
use crate::dispatch::*;

#[test]
fn requests_are_refused_without_a_configuration() {
    let refusal = empty_core()
        .admit(Instant::now(), &request("chat"))
        .unwrap_err();
    assert_eq!(refusal.code, Code::NoConfiguration);
    assert!(refusal.retry_after.is_some());
}

#[test]
fn an_older_configuration_is_ignored() {
    let mut core = core(Instant::now());
    assert!(core.set_configuration(Arc::new(configuration(5, routes()))));
    assert!(!core.set_configuration(Arc::new(configuration(4, Vec::new()))));
    assert_eq!(core.configuration().unwrap().version, 5);
}

#[rstest]
#[case::unknown_path("nowhere", Some("key-1"), Code::UnknownRoute)]
#[case::no_key("chat", None, Code::KeyNotHeld)]
#[case::unknown_key("chat", Some("key-9"), Code::KeyNotHeld)]
fn a_request_outside_the_configuration_is_refused(
    #[case] route: &str,
    #[case] key: Option<&str>,
    #[case] code: Code,
) {
    let now = Instant::now();
    let req = CallerRequest {
        key: key.map(Into::into),
        ..request(route)
    };
    assert_eq!(core(now).admit(now, &req).unwrap_err().code, code);
}

#[test]
fn a_revoked_key_is_refused() {
    let now = Instant::now();
    let mut core = core(now);
    assert!(core.admit(now, &request("chat")).is_ok());
    let mut without = configuration(2, routes());
    without = Configuration::new(
        2,
        routes(),
        Some(Vec::new()),
        without.targets.values().map(|t| Target::clone(t)).collect(),
        without.limits,
    );
    core.set_configuration(Arc::new(without));
    assert!(core.admit(now, &request("chat")).is_err());
}

#[test]
fn the_longest_matching_prefix_of_the_host_is_chosen() {
    let mut all = routes();
    let mut deep = route("chat", "desk", Repeat::Safe);
    deep.name = "deep".into();
    deep.prefix = "/chat/deep/".into();
    all.push(deep);
    let configuration = configuration(1, all);
    let name = |path: &str| {
        configuration
            .route("site.example", path)
            .map(|r| r.name.clone())
    };
    assert_eq!(name("/chat/deep/x").as_deref(), Some("deep"));
    assert_eq!(name("/chat/x").as_deref(), Some("chat"));
    assert_eq!(name("/chatter"), None);
    assert!(configuration.route("other.example", "/chat/x").is_none());
}

#[rstest]
#[case::route(true, false)]
#[case::customer(false, true)]
#[case::both(true, true)]
fn regions_of_route_and_customer_both_apply(#[case] by_route: bool, #[case] by_customer: bool) {
    let now = Instant::now();
    for _ in 0..20 {
        let mut core = core(now);
        if by_route {
            let mut all = routes();
            all[0].regions = vec!["south".into()];
            core.set_configuration(Arc::new(configuration(2, all)));
        }
        let key = match by_customer {
            true => "key-2",
            false => "key-1",
        };
        let req = CallerRequest {
            key: Some(key.into()),
            ..request("chat")
        };
        let (_, assignment) = send(&mut core, now, &req);
        assert_eq!(&*assignment.endpoint, "e3");
    }
}

// Regression: requests went to a target of weight 0 while none of the others had an endpoint.
#[rstest]
#[case::without_endpoint_of_the_other(&[("engines", 0), ("elsewhere", 5)], Some("elsewhere"))]
#[case::weight_with_endpoint(&[("engines", 0), ("desk", 5)], Some("desk"))]
#[case::all_zero(&[("engines", 0), ("desk", 0)], None)]
#[case::alone_with_zero(&[("desk", 0)], None)]
fn a_target_of_weight_zero_gets_no_requests(
    #[case] targets: &[(&str, u32)],
    #[case] expected: Option<&str>,
) {
    let now = Instant::now();
    let mut core = core(now);
    let weighted = Route {
        targets: targets
            .iter()
            .map(|(id, weight)| ((*id).into(), *weight))
            .collect(),
        ..route("look", "desk", Repeat::Safe)
    };
    let all = configuration(2, Vec::new());
    let mut declared: Vec<_> = all.targets.values().map(|t| Target::clone(t)).collect();
    declared.push(Target {
        id: "elsewhere".into(),
        engine: None,
        models: Vec::new(),
        cold_rate: 0.0,
    });
    let next = Configuration::new(2, vec![weighted], None, declared, all.limits);
    assert!(core.set_configuration(Arc::new(next)));
    for _ in 0..20 {
        let admitted = core.admit(now, &request("look"));
        let Some(expected) = expected else {
            assert_eq!(admitted.unwrap_err().code, Code::NoEndpoint);
            continue;
        };
        let decision = decide(&mut core, now, admitted.unwrap());
        let sent_to = match &decision {
            Some(Decision::Send(assignment)) => core
                .fleet()
                .get(&assignment.endpoint)
                .map(|endpoint| endpoint.listed.target.clone()),
            _ => None,
        };
        let has_endpoint = expected == "desk";
        assert_eq!(sent_to.as_deref(), has_endpoint.then_some(expected));
    }
}
