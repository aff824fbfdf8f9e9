//! Engines that ask an entry for rest, and engines that announce that they leave.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use hyper::StatusCode;
use limpetloom_fakes::site::{SiteEngine, SiteEngineFaults};
use rstest::rstest;

use super::site::{Answer, Site, WAIT_LIMIT, request, send};

/// Rest that engines ask for, in seconds.
const REST_SECONDS: u64 = 3;
/// Time after an engine has said something of itself within which requests may still reach it.
const GRACE: Duration = Duration::from_millis(500);
/// Number of bursts of requests, the time between two of them, and the requests in one: enough for all
/// engines.
const BURSTS: usize = 10;
const BURST_INTERVAL: Duration = Duration::from_millis(200);
const BURST_REQUESTS: usize = 8;
/// Code of a refusal because all endpoints rest or leave.
const NONE_ACCEPTS: u64 = 2_020;

/// Sends requests at once, so that they spread over the engines.
async fn send_burst(entry: SocketAddr, name: &str) -> Vec<Answer> {
    let requests = (0..BURST_REQUESTS)
        .map(|n| send(entry, request("POST", "/chat/x", &format!("{name}-{n}"))));
    let answers = futures_util::future::join_all(requests).await;
    answers.into_iter().flatten().collect()
}

/// Sends bursts until a request has arrived at the engine after `since`. Returns the time of the first.
async fn send_until_arrived(site: &Site, engine: &SiteEngine, since: Instant) -> Instant {
    let start = Instant::now();
    for n in 0.. {
        send_burst(site.caller_addr(), &format!("told-{n}")).await;
        if let Some(at) = engine.arrivals().into_iter().find(|at| *at > since) {
            return at;
        }
        assert!(start.elapsed() < WAIT_LIMIT, "no request arrives");
    }
    unreachable!()
}

/// Sends bursts for a while, and returns the answers.
async fn send_bursts(entry: SocketAddr) -> Vec<Answer> {
    let mut ticks = tokio::time::interval(BURST_INTERVAL);
    let mut tasks = Vec::new();
    for burst in 0..BURSTS {
        ticks.tick().await;
        let send = async move { send_burst(entry, &format!("load-{burst}")).await };
        tasks.push(tokio::spawn(send));
    }
    let mut answers = Vec::new();
    for task in tasks {
        answers.extend(task.await.unwrap());
    }
    answers
}

/// Number of requests that arrived at the engine within a time.
fn arrivals(engine: &SiteEngine, from: Instant, until: Instant) -> usize {
    let arrivals = engine.arrivals().into_iter();
    arrivals.filter(|at| (from..until).contains(at)).count()
}

/// Engines that turn requests away, and ask for no rest.
fn shedding() -> SiteEngineFaults {
    SiteEngineFaults {
        shed_requests: true,
        ..Default::default()
    }
}

fn resting() -> SiteEngineFaults {
    SiteEngineFaults {
        rest: Some(REST_SECONDS.to_string()),
        ..shedding()
    }
}

/// Guards against a rest that nobody reads, so that a refusing engine is asked again and again.
#[rstest]
#[case::first_attempts_and_repeats(173, shedding(), false)]
#[case::not_marked_as_not_run(174, shedding(), true)]
#[case::continuations(175, SiteEngineFaults { break_after: Some(4), ..Default::default() }, false)]
#[tokio::test]
async fn no_request_reaches_an_engine_that_has_asked_for_rest(
    #[case] network: u8,
    #[case] other: SiteEngineFaults,
    #[case] unmarked_refusals: bool,
) {
    let site = Site::start_serving(network, 2).await;
    let engine = &site.engines[0];
    site.engines[1].set_faults(other);
    let begin = Instant::now();
    engine.set_faults(SiteEngineFaults {
        unmarked_refusals,
        ..resting()
    });
    let told = send_until_arrived(&site, engine, begin).await;
    send_bursts(site.caller_addr()).await;
    let end = told + Duration::from_secs(REST_SECONDS);
    assert_eq!(arrivals(engine, told + GRACE, end), 0);

    engine.set_faults(SiteEngineFaults::default());
    send_until_arrived(&site, engine, end).await;
}

/// Guards against requests that are passed from one resting engine to the next before they are refused.
#[tokio::test]
async fn a_request_is_refused_at_once_while_all_engines_rest() {
    let site = Site::start_serving(176, 2).await;
    let begin = Instant::now();
    for engine in &site.engines {
        engine.set_faults(resting());
    }
    for engine in &site.engines {
        send_until_arrived(&site, engine, begin).await;
    }
    let told = Instant::now();
    let answers = send_burst(site.caller_addr(), "refused").await;
    assert_eq!(answers.len(), BURST_REQUESTS);
    let mut waits = Vec::new();
    for answer in &answers {
        let body: serde_json::Value = serde_json::from_slice(&answer.body).unwrap();
        assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
        assert_eq!(body["code"], NONE_ACCEPTS);
        waits.push(answer.headers["retry-after"].to_str().unwrap().to_owned());
    }
    waits.sort();
    waits.dedup();
    assert!(waits.len() > 1, "all callers return in the same instant");
    for engine in &site.engines {
        assert_eq!(arrivals(engine, told, Instant::now()), 0);
    }
}

/// Guards against an announcement of leaving that is passed on and not heeded until the store tells.
#[rstest]
#[case::in_answers(177, SiteEngineFaults { leaving: true, ..Default::default() })]
#[case::in_refusals(178, SiteEngineFaults { leaving: true, ..shedding() })]
#[case::in_reports(179, SiteEngineFaults { leaving_in_reports: true, ..Default::default() })]
#[tokio::test]
async fn no_request_reaches_an_engine_that_has_announced_leaving(
    #[case] network: u8,
    #[case] faults: SiteEngineFaults,
) {
    let site = Site::start_serving(network, 2).await;
    let engine = &site.engines[0];
    site.engines[1].set_faults(shedding());
    site.store.set_online(false);
    let begin = Instant::now();
    engine.set_faults(faults.clone());
    if !faults.leaving_in_reports {
        send_until_arrived(&site, engine, begin).await;
    }
    // Longer than the agent takes to read and pass on a report, and than streams take that run there.
    tokio::time::sleep(GRACE).await;
    let told = Instant::now();
    send_bursts(site.caller_addr()).await;
    assert_eq!(arrivals(engine, told, Instant::now()), 0);

    // The next process takes requests again once its agent reports it.
    engine.set_faults(SiteEngineFaults::default());
    let restarted = Instant::now();
    engine.restart();
    send_until_arrived(&site, engine, restarted).await;
    site.wait_until_answered("chat").await;
}
