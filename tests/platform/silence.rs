//! Engines and plain services that fall silent for a while and go on.

use std::time::Duration;

use hyper::StatusCode;
use limpetloom_fakes::site::SiteEngineFaults;
use rstest::rstest;

use super::site::{STREAM_EVENTS, Site};

/// Time of silence: longer than entries wait for a start (1.8 s) and for an event (0.9 s) before they
/// look for another endpoint, far shorter than the time that the caller has (6 s).
const SILENCE: Duration = Duration::from_millis(2_600);
/// Time into a silence at which the configuration changes.
const INTO_SILENCE: Duration = Duration::from_millis(700);

fn all_events() -> Vec<u64> {
    (1..=STREAM_EVENTS).collect()
}

fn silent_after(event: u64) -> SiteEngineFaults {
    SiteEngineFaults {
        silent_after: Some(event),
        silent_for: Some(SILENCE),
        ..Default::default()
    }
}

fn silent_before_head() -> SiteEngineFaults {
    SiteEngineFaults {
        silent_before_head: SILENCE,
        ..Default::default()
    }
}

/// Guards against streams that are cut because their engine was silent for a while and no other one
/// could go on with them.
#[rstest]
#[case::before_the_head(160, silent_before_head(), false)]
#[case::before_the_first_event(161, silent_after(0), false)]
#[case::in_the_stream(162, silent_after(4), false)]
#[case::beside_a_change_of_the_configuration(163, silent_after(4), true)]
#[tokio::test]
async fn a_stream_whose_only_engine_is_silent_for_a_while_is_whole(
    #[case] network: u8,
    #[case] faults: SiteEngineFaults,
    #[case] configures: bool,
) {
    let site = Site::start_serving(network, 1).await;
    site.engines[0].set_faults(faults);
    let (answer, ()) = tokio::join!(site.call("chat"), async {
        tokio::time::sleep(INTO_SILENCE).await;
        if configures {
            site.declare(2, &["key-1", "key-2"]);
        }
    });
    assert_eq!(answer.status, StatusCode::OK);
    assert_eq!((answer.events(), answer.is_whole), (all_events(), true));
}

/// Guards against whole answers that are refused because their service was silent for a while and no
/// other one could answer.
#[rstest]
#[case::before_the_head(164, silent_before_head())]
#[case::in_the_answer(165, silent_after(0))]
#[tokio::test]
async fn a_whole_answer_of_a_service_that_is_silent_for_a_while_reaches_the_caller(
    #[case] network: u8,
    #[case] faults: SiteEngineFaults,
) {
    let site = Site::start_serving(network, 1).await;
    site.plain_endpoints[1].set_online(false);
    site.store.remove("servers", "plain-1");
    site.wait_until(|site| site.entry_log().contains("plain-1 gone"))
        .await;
    site.plain_endpoints[0].set_faults(faults);
    let answer = site.call("read").await;
    assert_eq!(answer.status, StatusCode::OK);
    assert_eq!(
        (&answer.body[..], answer.is_whole),
        (&b"done by plain-0"[..], true)
    );
}

/// Guards against work that goes on at a silent engine after another one has answered, and against
/// two attempts whose events are mixed.
#[rstest]
#[case::before_the_first_event(166, 0)]
#[case::in_the_stream(167, 4)]
#[tokio::test]
async fn a_stream_goes_on_at_another_engine_and_the_silent_one_is_left(
    #[case] network: u8,
    #[case] last: u64,
) {
    let site = Site::start_serving(network, 2).await;
    site.engines[0].set_faults(SiteEngineFaults {
        silent_after: Some(last),
        ..Default::default()
    });
    for n in 0..4 {
        let answer = site.call_with_id("chat", &format!("stream-{n}")).await;
        assert_eq!((answer.events(), answer.is_whole), (all_events(), true));
    }
    site.wait_until(|site| site.engines[0].open_answers() == 0)
        .await;
}

/// Guards against a silent attempt that is closed when the second one begins, which then is silent too.
#[tokio::test]
async fn a_stream_whose_engines_are_all_silent_for_a_while_is_whole() {
    let site = Site::start_serving(169, 2).await;
    for engine in &site.engines {
        engine.set_faults(silent_after(4));
    }
    let answer = site.call("chat").await;
    assert_eq!((answer.events(), answer.is_whole), (all_events(), true));
    // The first one goes on first, and the second is closed.
    site.wait_until(|site| site.engines.iter().all(|e| e.open_answers() == 0))
        .await;
    site.wait_until(|site| site.entry_log().contains("\"end\":\"Superseded\""))
        .await;
}

/// Guards against an engine that works on after both of its caller's attempts have been left.
#[tokio::test]
async fn both_attempts_are_closed_when_the_caller_leaves() {
    let site = Site::start_serving(168, 2).await;
    for engine in &site.engines {
        engine.set_faults(SiteEngineFaults {
            silent_after: Some(4),
            ..Default::default()
        });
    }
    let open = |site: &Site| site.engines.iter().map(|e| e.open_answers()).sum::<usize>();
    tokio::select! {
        answer = site.call("chat") => panic!("{answer:?}"),
        () = site.wait_until(|site| open(site) == 2) => {}
    }
    site.wait_until(|site| open(site) == 0).await;
}
