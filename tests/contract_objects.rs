//! Contract of the object API client, run against the fake object API.

use std::time::Duration;

use limpetloom::clients::{
    Change, HttpClient, HttpObjectApi, HttpTimeouts, ObjectApi, PlatformError,
};
use limpetloom_fakes::objects::{ObjectFaults, Objects, ObjectsConfig, Outage};
use rstest::rstest;

const TIMEOUTS: HttpTimeouts = HttpTimeouts {
    connect: Duration::from_millis(200),
    total: Duration::from_secs(1),
};

fn start(cfg: ObjectsConfig) -> (Objects, HttpObjectApi) {
    let objects = Objects::spawn(cfg).expect("the fake object API starts");
    let api = HttpObjectApi::new(objects.addr(), HttpClient::new(TIMEOUTS));
    (objects, api)
}

#[rstest]
#[case::plain_key("config/current")]
#[case::reserved_characters("claims/kochi 1/hold/a?b=c&d#e%41+ü")]
#[tokio::test]
async fn an_object_is_written_read_and_deleted(#[case] key: &str) {
    let (_objects, api) = start(ObjectsConfig::default());
    assert_eq!(api.get(key).await, Ok(None));
    let first = api.put(key, "one", 0).await.unwrap();
    let second = api.put(key, "zwei ü", first).await.unwrap();
    assert!(second > first);
    let object = api.get(key).await.unwrap().unwrap();
    assert_eq!((&*object.value, object.version), ("zwei ü", second));
    assert_eq!(api.list(key).await.unwrap(), [object]);
    api.delete(key, second).await.unwrap();
    assert_eq!(api.get(key).await, Ok(None));
}

#[rstest]
#[case::create_over_existing(0)]
#[case::old_version(1)]
#[case::version_not_yet_written(99)]
#[tokio::test]
async fn a_write_with_a_failed_condition_changes_nothing(#[case] if_version: u64) {
    let (objects, api) = start(ObjectsConfig::default());
    api.put("k", "one", 0).await.unwrap();
    let current = api.put("k", "two", 1).await.unwrap();
    let conflict = Err(PlatformError::Conflict { current });
    assert_eq!(api.put("k", "three", if_version).await, conflict);
    assert_eq!(
        api.delete("k", if_version).await,
        Err(PlatformError::Conflict { current })
    );
    assert_eq!(objects.peek("k"), Some((current, "two".to_owned())));
}

/// For a write under a fault: whether the error states that it had no effect, and whether it had
/// one.
#[rstest]
#[case::rate_limited(
    ObjectFaults { outage: Outage::RateLimited, ..ObjectFaults::default() }, true, false
)]
#[case::unavailable(
    ObjectFaults { outage: Outage::Unavailable, ..ObjectFaults::default() }, true, false
)]
#[case::connection_cut(
    ObjectFaults { outage: Outage::Cut, ..ObjectFaults::default() }, false, false
)]
#[case::hang(ObjectFaults { outage: Outage::Hang, ..ObjectFaults::default() }, false, false)]
#[case::reply_lost(ObjectFaults { lose_answer_next: 1, ..ObjectFaults::default() }, false, true)]
#[case::too_slow(
    ObjectFaults { slow: Duration::from_secs(5), ..ObjectFaults::default() }, false, false
)]
#[tokio::test]
async fn only_an_explicit_refusal_states_that_a_write_had_no_effect(
    #[case] faults: ObjectFaults,
    #[case] claims_no_effect: bool,
    #[case] has_effect: bool,
) {
    let (objects, api) = start(ObjectsConfig::default());
    objects.update_faults(|current| *current = faults);
    let e = api.put("k", "one", 0).await.unwrap_err();
    assert_eq!(e.is_without_effect(), claims_no_effect, "{e}");
    assert_eq!(objects.peek("k").is_some(), has_effect);
}

#[tokio::test]
async fn a_closed_port_counts_as_a_refusal_and_stored_objects_survive() {
    let (objects, api) = start(ObjectsConfig::default());
    let version = api.put("k", "one", 0).await.unwrap();
    objects.set_online(false);
    tokio::time::sleep(Duration::from_millis(50)).await;
    let e = api.put("k", "two", version).await.unwrap_err();
    assert!(matches!(e, PlatformError::Refused(_)), "{e}");
    objects.set_online(true);
    tokio::time::sleep(Duration::from_millis(50)).await;
    let object = api.get("k").await.unwrap().unwrap();
    assert_eq!((&*object.value, object.version), ("one", version));
}

#[tokio::test]
async fn a_watch_returns_changes_and_deletions_in_order() {
    let (_objects, api) = start(ObjectsConfig::default());
    let first = api.put("a/1", "x", 0).await.unwrap();
    api.put("b/1", "other prefix", 0).await.unwrap();
    let wait = Duration::from_secs(5);
    let (changes, second) = tokio::join!(api.watch("a/", first, wait), async {
        tokio::time::sleep(Duration::from_millis(20)).await;
        api.put("a/2", "y", 0).await.unwrap()
    });
    let change = |key: &str, version, value: Option<&str>| Change {
        key: key.into(),
        version,
        value: value.map(Into::into),
    };
    assert_eq!(changes.unwrap(), [change("a/2", second, Some("y"))]);
    api.delete("a/1", first).await.unwrap();
    let changes = api.watch("a/", first, wait).await.unwrap();
    assert_eq!(
        changes,
        [
            change("a/2", second, Some("y")),
            change("a/1", second + 1, None)
        ]
    );
}

#[tokio::test]
async fn a_watch_without_changes_returns_empty_after_one_call() {
    let (objects, api) = start(ObjectsConfig::default());
    let wait = Duration::from_millis(400);
    assert_eq!(api.watch("a/", 0, wait).await, Ok(Vec::new()));
    assert_eq!(objects.counters().calls(), 1);
}

#[tokio::test]
async fn a_stale_read_returns_the_old_version_while_writes_check_the_new_one() {
    let (objects, api) = start(ObjectsConfig::default());
    let first = api.put("k", "one", 0).await.unwrap();
    objects.update_faults(|faults| faults.stale_writes = 1);
    let second = api.put("k", "two", first).await.unwrap();
    assert_eq!(api.get("k").await.unwrap().unwrap().version, first);
    assert_eq!(
        api.put("k", "three", first).await,
        Err(PlatformError::Conflict { current: second })
    );
}

#[tokio::test]
async fn calls_over_the_rate_limit_are_refused_without_effect() {
    let (objects, api) = start(ObjectsConfig {
        writes_per_s: 0,
        ..ObjectsConfig::default()
    });
    let e = api.put("k", "x", 0).await.unwrap_err();
    assert!(matches!(e, PlatformError::Refused(_)), "{e}");
    assert_eq!(objects.peek("k"), None);
    assert_eq!(api.get("k").await, Ok(None));
}
