//! Entries and engines of a simulation.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use limpetloom::delivery::RetryLimit;
use limpetloom::dispatch::{
    CallerLimits, Configuration, DispatchConfig, Dispatcher, EndpointLoad, EngineModel,
    ListedEndpoint, Mitigations, Repeat, Route, Statement, Target,
};

use super::Workload;
use super::callers::{CALLER_TIMEOUT, classes};
use super::engine::{Engine, MODEL};

/// Number of zones. Each zone is a region of its own, as at operators' sites.
pub const ZONES: usize = 3;
/// Factor and addend that turn a cold engine's declared rate into the limit on its requests in any
/// second. Operators count a day on which an engine gets more as failed.
pub const COLD_RATE_LIMIT: (f64, f64) = (1.5, 5.0);
/// Share of this limit that entries use, as in platform/entry.rs.
const COLD_RATE_SHARE: f64 = 0.7;

/// Engine parameters that operators declare.
pub fn engine_model() -> EngineModel {
    EngineModel {
        step: Duration::from_micros(6_730),
        per_request: Duration::from_nanos(21_900),
        prefill_rate: 30_600.0,
        steps_per_pass: 6,
        slots: 16,
        mean_prompt_tokens: 965.0,
        mean_answer_tokens: 119.0,
        layers: 16,
    }
}

/// Requests per second that one engine can serve while all its slots are in use.
pub fn engine_capacity() -> f64 {
    let model = engine_model();
    let classes = classes();
    let total: f64 = classes.iter().map(|class| class.share).sum();
    let mean = |of: fn(&super::Class) -> f64| {
        classes
            .iter()
            .map(|class| class.share * of(class))
            .sum::<f64>()
            / total
    };
    let passes = mean(|class| class.events.0) / f64::from(model.slots);
    let prefill = model.prefill_time(mean(|class| class.prompt.0));
    1.0 / (model.pass_duration(model.slots).mul_f64(passes) + prefill).as_secs_f64()
}

/// Name of zone `n` modulo the number of zones; also the name of its region.
pub fn zone_name(n: usize) -> String {
    format!("zone-{}", n % ZONES)
}

/// Address of an engine, unique to its index.
pub fn engine_addr(engine: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (engine / 250) as u8, (engine % 250) as u8 + 1], 80))
}

/// Creates the dispatcher of an entry, with the configuration and all engines set.
pub fn new_entry(
    now: Instant,
    n: usize,
    workload: Workload,
    mitigations: Mitigations,
    seed: u64,
) -> Dispatcher {
    let mut dispatcher = Dispatcher::new(DispatchConfig {
        zone: zone_name(n).into(),
        region: zone_name(n).into(),
        retry: RetryLimit {
            ratio: 0.12,
            slack: 70.0,
            window: Duration::from_secs(10),
        },
        cold_rate_adjustment: (
            COLD_RATE_LIMIT.0 * COLD_RATE_SHARE,
            COLD_RATE_LIMIT.1 * COLD_RATE_SHARE,
        ),
        version_grace: Duration::from_millis(7_300),
        version_start_grace: Duration::from_millis(7_700),
        mitigations,
        seed,
    });
    dispatcher.set_configuration(Arc::new(configuration(workload.cold_rate)));
    dispatcher.set_entry_count(now, workload.entries as u32);
    dispatcher.set_evacuated_zones(BTreeSet::new());
    for engine in 0..workload.engines {
        dispatcher.update_endpoint(
            now,
            listed_endpoint(engine, &Engine::new(engine_model()), Duration::ZERO),
        );
    }
    dispatcher
}

/// The engine's item in the list of endpoints.
pub fn listed_endpoint(n: usize, engine: &Engine, cold_left: Duration) -> ListedEndpoint {
    ListedEndpoint {
        id: format!("e{n}").into(),
        target: "engines".into(),
        addr: engine_addr(n),
        zone: zone_name(n).into(),
        region: zone_name(n).into(),
        slots: engine_model().slots,
        is_leaving: false,
        cold_left,
        incarnation: engine.incarnation,
        models: vec![(MODEL.into(), engine.version)],
    }
}

/// The load of an engine as its agent reports it.
pub fn endpoint_load(engine: &Engine, switch_in: Option<Duration>) -> EndpointLoad {
    let (running, waiting) = engine.load();
    EndpointLoad {
        incarnation: engine.incarnation,
        running,
        waiting,
        slowdown: 1.0,
        models: vec![(MODEL.into(), engine.version)],
        is_switching: engine.is_switching,
        switch_in,
        statement: Statement::default(),
    }
}

fn configuration(cold_rate: f64) -> Configuration {
    let routes = classes().map(|class| Route {
        name: class.name.into(),
        host: "site".into(),
        prefix: format!("/{}/", class.name).into(),
        targets: vec![("engines".into(), 1)],
        is_stream: true,
        repeat: Repeat::Resumable,
        timeout: CALLER_TIMEOUT,
        start_goal: class.start_goal,
        gap_goal: Some(Duration::from_millis(300)),
        priority: 1,
        max_attempts: 2,
        anonymous: true,
        regions: Vec::new(),
    });
    let target = Target {
        id: "engines".into(),
        engine: Some(engine_model()),
        models: vec![MODEL.into()],
        cold_rate,
    };
    let limits = CallerLimits {
        header_bytes: 16_384,
        body_bytes: 1 << 20,
        header_timeout: Duration::from_secs(3),
        idle_timeout: Duration::from_secs(15),
    };
    Configuration::new(1, routes.to_vec(), None, vec![target], limits)
}
