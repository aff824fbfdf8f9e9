//! Explanations say what the dispatcher would do.

use std::time::Instant;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;

use super::fixture::*;
use crate::dispatch::*;
use crate::types::ChangeTime;

fn query(route: &str, customer: &str) -> ExplainQuery {
    ExplainQuery {
        host: "site.example".into(),
        path: format!("/{route}/x"),
        customer: Some(customer.into()),
        prompt_tokens: if route == "chat" { 1_000 } else { 0 },
        ..ExplainQuery::default()
    }
}

/// Brings a dispatcher into a random state.
fn disturb(core: &mut Dispatcher, now: Instant, rng: &mut SmallRng) {
    for host in [1, 2, 3] {
        let report = EndpointLoad {
            is_switching: rng.random_bool(0.2),
            models: vec![(MODEL.into(), rng.random_range(1..=2))],
            ..load(rng.random_range(0..30))
        };
        if rng.random_bool(0.7) {
            core.update_load(now, ip(host), report);
        }
    }
    if rng.random_bool(0.3) {
        let named = now - ms(rng.random_range(0..9_000));
        core.set_wanted_version(now, MODEL, 2, ChangeTime::At(named));
    }
    let zones = ["north-a", "south-a"].into_iter();
    let evacuated = zones.filter(|_| rng.random_bool(0.2)).map(Into::into);
    core.set_evacuated_zones(evacuated.collect());
    for _ in 0..rng.random_range(0..20) {
        let _ = core.admit(now, &request("chat"));
    }
    if rng.random_bool(0.5) {
        core.dispatch_waiting(now);
    }
}

/// What the dispatcher does with a request.
fn decide_on(core: &mut Dispatcher, now: Instant, req: &CallerRequest) -> Outcome {
    core.settle(now);
    let ticket = match core.admit(now, req) {
        Ok(ticket) => ticket,
        Err(refusal) => return Outcome::from(&refusal),
    };
    match decide(core, now, ticket) {
        Some(Decision::Send(assignment)) => Outcome::Sent {
            endpoint: assignment.endpoint,
        },
        Some(Decision::Refuse(refusal, _)) => Outcome::from(&refusal),
        other => {
            assert_eq!(other, None);
            let goal = core.route(ticket).unwrap().start_goal;
            Outcome::Waits {
                longest_ms: goal.as_millis() as u64 / 2,
            }
        }
    }
}

// Guards against explanations by other rules than those that decide.
#[rstest]
#[case::engines("chat", "studio", "key-1")]
#[case::plain_service("hold", "studio", "key-1")]
#[case::regions("chat", "southern", "key-2")]
#[case::unknown_route("none", "studio", "key-1")]
fn an_explanation_agrees_with_the_decision_in_random_states(
    #[case] route: &str,
    #[case] customer: &str,
    #[case] key: &str,
) {
    for seed in 0..200 {
        let rng = &mut SmallRng::seed_from_u64(seed);
        let now = Instant::now();
        let mut core = core_with_seed(now, seed);
        disturb(&mut core, now, rng);
        let requests = core.snapshot(now).requests;
        let explanation = core.explain(now, &query(route, customer));
        assert_eq!(core.snapshot(now).requests, requests, "nothing is admitted");
        let req = CallerRequest {
            key: Some(key.into()),
            fingerprint: 0,
            ..request(route)
        };
        let outcome = decide_on(&mut core, now, &req);
        assert_eq!(explanation.outcome, outcome, "seed {seed}: {explanation:?}");
        if let Outcome::Sent { endpoint } = outcome {
            let candidates = explanation.candidates.iter();
            let sent = candidates.filter(|c| c.endpoint == endpoint);
            assert_eq!(
                sent.map(|c| &c.excluded).collect::<Vec<_>>(),
                [&None],
                "seed {seed}"
            );
        }
    }
}

#[test]
fn an_explanation_names_why_endpoints_are_left_out() {
    let now = Instant::now();
    let mut core = core(now);
    core.set_evacuated_zones(["south-a".into()].into());
    core.update_load(
        now,
        ip(1),
        EndpointLoad {
            is_switching: true,
            ..load(0)
        },
    );
    let explanation = core.explain(now, &query("chat", "studio"));
    let left_out = |id: &str| {
        let candidate = explanation.candidates.iter().find(|c| &*c.endpoint == id);
        candidate.and_then(|c| c.excluded.clone())
    };
    assert_eq!(left_out("e1"), Some(Exclusion::Switching.to_string()));
    assert_eq!(left_out("e2"), None);
    assert_eq!(left_out("e3"), Some(Exclusion::OutOfService.to_string()));
}
