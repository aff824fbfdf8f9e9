//! Test fixture: three engines in two regions, and two endpoints of a plain service ("desk").

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::codes::Code;
use crate::delivery::RetryLimit;
use crate::dispatch::*;

pub const MODEL: &str = "llama";

pub const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

pub fn engine_model() -> EngineModel {
    EngineModel {
        step: Duration::from_micros(6_730),
        per_request: Duration::from_micros(22),
        prefill_rate: 30_600.0,
        steps_per_pass: 6,
        slots: 16,
        mean_prompt_tokens: 964.0,
        mean_answer_tokens: 119.0,
        layers: 16,
    }
}

pub fn route(name: &str, target: &str, repeat: Repeat) -> Route {
    Route {
        name: name.into(),
        host: "site.example".into(),
        prefix: format!("/{name}/").into(),
        targets: vec![(target.into(), 1)],
        is_stream: target == "engines",
        repeat,
        timeout: ms(6_000),
        start_goal: ms(400),
        gap_goal: Some(ms(300)),
        priority: 1,
        max_attempts: 2,
        anonymous: false,
        regions: Vec::new(),
    }
}

/// Customers with their keys: key-1 for all regions and key-2 for the south only.
pub fn customers() -> Vec<(Customer, Vec<Arc<str>>)> {
    let customer = |name: &str, regions: Vec<Arc<str>>| Customer {
        id: name.into(),
        priority: None,
        regions,
    };
    vec![
        (customer("studio", Vec::new()), vec!["key-1".into()]),
        (
            customer("southern", vec!["south".into()]),
            vec!["key-2".into()],
        ),
    ]
}

pub fn configuration(version: u64, routes: Vec<Route>) -> Configuration {
    let target = |id: &str, engine: Option<EngineModel>, models: Vec<Arc<str>>| Target {
        id: id.into(),
        engine,
        models,
        cold_rate: 36.0,
    };
    let limits = CallerLimits {
        header_bytes: 16_384,
        body_bytes: 1 << 20,
        header_timeout: ms(3_000),
        idle_timeout: ms(15_000),
    };
    Configuration::new(
        version,
        routes,
        Some(customers()),
        vec![
            target("engines", Some(engine_model()), vec![MODEL.into()]),
            target("desk", None, Vec::new()),
        ],
        limits,
    )
}

/// One route for each [`Repeat`]: chat is resumable, look is safe, hold must not be repeated.
pub fn routes() -> Vec<Route> {
    vec![
        route("chat", "engines", Repeat::Resumable),
        route("look", "desk", Repeat::Safe),
        route("hold", "desk", Repeat::Never),
    ]
}

/// Address of an endpoint. It is on loopback, since tests of the relay connect to it.
pub fn addr(host: u8) -> SocketAddr {
    SocketAddr::from(([127, 199, 0, host], 8_000))
}

pub fn ip(host: u8) -> IpAddr {
    addr(host).ip()
}

/// List entry of an endpoint in zone `{region}-a`.
pub fn listed(id: &str, target: &str, host: u8, region: &str) -> ListedEndpoint {
    let models = match target {
        "engines" => vec![(MODEL.into(), 1)],
        _ => Vec::new(),
    };
    ListedEndpoint {
        id: id.into(),
        target: target.into(),
        addr: addr(host),
        zone: format!("{region}-a").into(),
        region: region.into(),
        slots: 16,
        is_leaving: false,
        cold_left: Duration::ZERO,
        incarnation: 1,
        models,
    }
}

/// Load report of an engine with `running` requests.
pub fn load(running: u32) -> EndpointLoad {
    EndpointLoad {
        incarnation: 1,
        running,
        waiting: 0,
        slowdown: 1.0,
        models: vec![(MODEL.into(), 1)],
        is_switching: false,
        switch_in: None,
        statement: Statement::default(),
    }
}

/// Dispatcher without configuration and endpoints.
pub fn empty_core() -> Dispatcher {
    empty_core_with_seed(7)
}

fn empty_core_with_seed(seed: u64) -> Dispatcher {
    empty_core_with_retries(seed, 0.2, 100.0)
}

fn empty_core_with_retries(seed: u64, ratio: f64, slack: f64) -> Dispatcher {
    empty_core_with(seed, ratio, slack, Mitigations::default())
}

fn empty_core_with(seed: u64, ratio: f64, slack: f64, mitigations: Mitigations) -> Dispatcher {
    Dispatcher::new(DispatchConfig {
        zone: "north-a".into(),
        region: "north".into(),
        retry: RetryLimit {
            ratio,
            slack,
            window: ms(10_000),
        },
        cold_rate_adjustment: (1.0, 0.0),
        version_grace: ms(7_000),
        version_start_grace: ms(7_500),
        mitigations,
        seed,
    })
}

/// Dispatcher with engines e1 and e2 in the north region, e3 in the south, and desks d1 and d2 in
/// the north, on hosts 1, 2, 3, 11 and 12.
pub fn core(now: Instant) -> Dispatcher {
    core_with_seed(now, 7)
}

/// The same with another seed, as for one of several entries.
pub fn core_with_seed(now: Instant, seed: u64) -> Dispatcher {
    filled(now, empty_core_with_seed(seed))
}

/// The same with one retry every ten seconds.
pub fn core_with_one_retry(now: Instant) -> Dispatcher {
    let mut core = filled(now, empty_core_with_retries(7, 0.0, 1.0));
    core.set_entry_count(now, 1);
    core
}

/// The same with other mitigations.
pub fn core_with_mitigations(now: Instant, mitigations: Mitigations) -> Dispatcher {
    filled(now, empty_core_with(7, 0.2, 100.0, mitigations))
}

fn filled(now: Instant, mut core: Dispatcher) -> Dispatcher {
    core.set_configuration(Arc::new(configuration(1, routes())));
    for (id, host, region) in [("e1", 1, "north"), ("e2", 2, "north"), ("e3", 3, "south")] {
        core.update_endpoint(now, listed(id, "engines", host, region));
    }
    for (id, host) in [("d1", 11), ("d2", 12)] {
        core.update_endpoint(now, listed(id, "desk", host, "north"));
    }
    core
}

pub fn request(route: &str) -> CallerRequest {
    CallerRequest {
        request_id: "req".into(),
        host: "site.example".into(),
        path: format!("/{route}/x").into(),
        key: Some("key-1".into()),
        timeout: Some(ms(6_000)),
        model: None,
        prompt_tokens: match route {
            "chat" => 1_000,
            _ => 0,
        },
        answer_tokens: None,
        prompt_parts: [].into(),
        fingerprint: 99,
    }
}

/// Admits a request, which must be sent at once.
pub fn send(core: &mut Dispatcher, now: Instant, req: &CallerRequest) -> (TicketId, Assignment) {
    let ticket = core.admit(now, req).unwrap();
    match decide(core, now, ticket) {
        Some(Decision::Send(assignment)) => (ticket, assignment),
        other => panic!("{other:?}"),
    }
}

/// Dispatches waiting requests and returns the decision for one ticket.
pub fn decide(core: &mut Dispatcher, now: Instant, ticket: TicketId) -> Option<Decision> {
    let decided = core.dispatch_waiting(now);
    decided
        .into_iter()
        .find(|(id, _)| *id == ticket)
        .map(|p| p.1)
}

/// Code of a decision to refuse.
pub fn refusal_code(decision: Option<Decision>) -> Option<Code> {
    match decision {
        Some(Decision::Refuse(refusal, _)) => Some(refusal.code),
        _ => None,
    }
}
