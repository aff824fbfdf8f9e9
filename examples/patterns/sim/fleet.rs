//! Entries and engines of a play.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use limpetloom::delivery::RetryLimit;
use limpetloom::dispatch::{
    CallerLimits, Configuration, DispatchConfig, Dispatcher, EndpointLoad, EngineModel,
    ListedEndpoint, Mitigations, Repeat, Route, Target,
};

use super::Workload;
use super::callers::{PATIENCE, classes};
use super::engine::{Engine, MODEL};

/// Zones; each is a region of its own, as on the operators' sites.
pub const ZONES: usize = 3;
/// Factor and addend on that rate beyond which a day is lost.
pub const COLD_EXCESS: (f64, f64) = (1.5, 5.0);
/// Part of the bounds that entries use, as the platform's entries do.
const COLD_USED: f64 = 0.7;

/// The engines of the operators' sheets.
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

/// Requests a second that one engine can serve while all its places are taken.
pub fn capacity() -> f64 {
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
    let strides = mean(|class| class.events.0) / f64::from(model.slots);
    let reading = model.prefill_time(mean(|class| class.prompt.0));
    1.0 / (model.pass_duration(model.slots).mul_f64(strides) + reading).as_secs_f64()
}

/// Name of a zone, and of its region.
pub fn zone(n: usize) -> String {
    format!("zone-{}", n % ZONES)
}

/// Address of an engine.
pub fn addr(engine: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (engine / 250) as u8, (engine % 250) as u8 + 1], 80))
}

/// An entry that knows what is wanted and which engines there are.
pub fn entry(
    now: Instant,
    n: usize,
    load: Workload,
    tactics: Mitigations,
    seed: u64,
) -> Dispatcher {
    let mut core = Dispatcher::new(DispatchConfig {
        zone: zone(n).into(),
        region: zone(n).into(),
        retry: RetryLimit {
            ratio: 0.12,
            slack: 70.0,
            window: Duration::from_secs(10),
        },
        cold_rate_adjustment: (COLD_EXCESS.0 * COLD_USED, COLD_EXCESS.1 * COLD_USED),
        version_grace: Duration::from_millis(7_300),
        mitigations: tactics,
        seed,
    });
    core.set_configuration(Arc::new(configuration(load.cold_rate)));
    core.set_entry_count(load.entries as u32);
    core.set_evacuated_zones(BTreeSet::new());
    for engine in 0..load.engines {
        core.update_endpoint(
            now,
            listed(engine, &Engine::new(engine_model()), Duration::ZERO),
        );
    }
    core
}

/// An engine as the list of endpoints shows it.
pub fn listed(n: usize, engine: &Engine, cold_left: Duration) -> ListedEndpoint {
    ListedEndpoint {
        id: format!("e{n}").into(),
        target: "engines".into(),
        addr: addr(n),
        zone: zone(n).into(),
        region: zone(n).into(),
        slots: engine_model().slots,
        is_leaving: false,
        cold_left,
        incarnation: engine.incarnation,
        models: vec![(MODEL.into(), engine.version)],
    }
}

/// An engine as its agent reports it.
pub fn report(engine: &Engine, switch_in: Option<Duration>) -> EndpointLoad {
    let (running, waiting) = engine.load();
    EndpointLoad {
        incarnation: engine.incarnation,
        running,
        waiting,
        slowdown: 1.0,
        models: vec![(MODEL.into(), engine.version)],
        is_switching: engine.is_changing,
        switch_in,
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
        timeout: PATIENCE,
        start_goal: class.goal,
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
