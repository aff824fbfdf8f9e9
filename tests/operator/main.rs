//! Operator commands, run against the fake platform services and one fake entry.

#![allow(clippy::unwrap_used)]

mod pages;
mod site;

use std::sync::Arc;
use std::time::Duration;

use limpetloom::cli::Exit;
use limpetloom_fakes::objects::Outage;
use rstest::rstest;
use serde_json::json;

use site::{CONFIG_KEY, Site, TARGETS};

#[tokio::test]
async fn a_repeated_apply_writes_nothing_and_diff_finds_no_change() {
    let site = Site::new(0).await;
    assert_eq!(site.run("diff TARGETS").await.0, Exit::Differs);
    let (exit, report) = site.run("apply TARGETS").await;
    assert_eq!((exit, &report["in_force"]), (Exit::Done, &json!(true)));
    assert_eq!(site.body().targets.models[0].manifest.len(), 64);
    assert_eq!(site.run("diff TARGETS").await.0, Exit::Done);
    assert_eq!(site.run("apply TARGETS").await.0, Exit::Done);
    assert_eq!(site.objects.counters().written, 1);
}

#[tokio::test]
async fn an_unknown_version_is_refused_without_a_write() {
    let site = Site::new(0).await;
    site.write("targets.ini", &TARGETS.replace("v1", "v9"));
    let (exit, report) = site.run("apply TARGETS").await;
    assert_eq!((exit, &report["code"]), (Exit::Refused, &json!(4012)));
    assert_eq!(site.objects.counters().writes, 0);
}

#[tokio::test]
async fn an_invalid_file_is_refused_before_any_call() {
    let site = Site::new(0).await;
    site.write("targets.ini", &TARGETS.replace("8 kW", "80 kW"));
    let (exit, report) = site.run("apply TARGETS").await;
    assert_eq!((exit, &report["code"]), (Exit::FileRefused, &json!(4006)));
    assert_eq!(site.objects.counters().calls(), 0);
}

#[tokio::test]
async fn a_write_whose_reply_is_lost_is_recognised_as_done() {
    let site = Site::new(0).await;
    site.objects
        .update_faults(|faults| faults.lose_answer_next = 1);
    assert_eq!(site.run("apply TARGETS").await.0, Exit::Done);
    assert_eq!(site.objects.counters().written, 1);
}

#[tokio::test]
async fn a_write_conflict_is_reported_with_a_diff_and_changes_nothing() {
    let site = Site::new(0).await;
    site.run("apply TARGETS").await;
    let mut rival = site.body();
    rival.targets.site_power += 1_000_000;
    rival.writers.insert(0, "rival".into());
    site.objects.force_put(CONFIG_KEY, &rival.to_value());
    // Until the first conflict, the operator reads the object from before the rival's write.
    site.objects.update_faults(|faults| faults.stale_writes = 1);
    site.write("targets.ini", &TARGETS.replace("v1", "v2"));
    let objects = Arc::clone(&site.objects);
    tokio::spawn(async move {
        while objects.counters().conflicts == 0 {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        objects.update_faults(|faults| faults.stale_writes = 0);
    });
    let (exit, report) = site.run("apply TARGETS").await;
    assert_eq!((exit, &report["code"]), (Exit::Refused, &json!(4011)));
    assert_eq!(report["detail"]["theirs"][0]["key"], json!("site.power"));
    let own = report["detail"]["ours"].as_array().unwrap();
    assert!(
        own.iter()
            .any(|change| change["key"] == "model llama.version")
    );
    assert_eq!(site.body(), rival);
}

#[rstest]
#[case::refused(Outage::Unavailable, Exit::Unreachable, 5001)]
#[case::connection_cut(Outage::Cut, Exit::Unreachable, 5001)]
#[tokio::test]
async fn an_apply_during_an_outage_fails_and_writes_nothing(
    #[case] outage: Outage,
    #[case] expected: Exit,
    #[case] code: u16,
) {
    let site = Site::new(0).await;
    site.objects.update_faults(|faults| faults.outage = outage);
    let (exit, report) = site.run("apply TARGETS").await;
    assert_eq!((exit, &report["code"]), (expected, &json!(code)));
    assert!(site.objects.peek(CONFIG_KEY).is_none());
}

#[tokio::test]
async fn apply_names_the_processes_that_lag_behind() {
    let site = Site::new(1).await;
    let (exit, report) = site.run("apply TARGETS --wait 100ms").await;
    assert_eq!(exit, Exit::NotInForce);
    assert_eq!(report["in_force"], json!(false));
    assert_eq!(report["lagging"][0]["host"], json!("entry-1"));
}

#[tokio::test]
async fn a_zone_stays_out_through_an_apply_until_it_is_put_back_in() {
    let site = Site::new(0).await;
    assert_eq!(site.run("zone out a").await.0, Exit::Refused);
    site.run("apply TARGETS").await;
    assert_eq!(site.run("zone out a").await.0, Exit::Done);
    assert_eq!(site.run("zone out b").await.0, Exit::Refused);
    assert_eq!(site.run("zone out nowhere").await.0, Exit::Refused);
    site.write("targets.ini", &TARGETS.replace("v1", "v2"));
    assert_eq!(site.run("apply TARGETS").await.0, Exit::Done);
    assert!(site.body().targets.zones_out.contains("a"));
    assert_eq!(site.run("zone in a").await.0, Exit::Done);
    assert!(site.body().targets.zones_out.is_empty());
}

#[tokio::test]
async fn status_shows_classes_and_dump_the_state_of_a_process() {
    let site = Site::new(0).await;
    site.run("apply TARGETS").await;
    let (exit, view) = site.run("status").await;
    assert_eq!((exit, &view["store_answers"]), (Exit::Done, &json!(true)));
    assert_eq!(view["classes"][0]["first_token_target_ms"], json!(890));
    let address = site.entry.addr();
    let (exit, dump) = site.run(&format!("dump {address}")).await;
    assert_eq!((exit, &dump["entry"]), (Exit::Done, &json!("entry-1")));
}

#[tokio::test]
async fn a_wrong_token_is_refused_by_the_processes() {
    let site = Site::new(0).await;
    site.write_settings("fedcba9876543210");
    let address = site.entry.addr();
    let (exit, report) = site.run(&format!("dump {address}")).await;
    assert_eq!((exit, &report["code"]), (Exit::Unreachable, &json!(5004)));
    let (exit, report) = site.run("apply TARGETS --wait 100ms").await;
    assert_eq!(exit, Exit::NotInForce, "{report}");
}
