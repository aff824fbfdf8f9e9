//! Entries of other writers among those of the endpoints.

use std::time::Duration;

use hyper::StatusCode;

use super::site::Site;

/// Objects that cannot be read, one that is out of range, and one without a name, each with the name
/// under which the store holds it.
fn odd_objects() -> [(&'static str, String); 4] {
    let object =
        |name: &str, spec: &str| format!(r#"{{"metadata":{{"name":"{name}"}},"spec":{spec}}}"#);
    let nested = "[".repeat(100_000) + &"]".repeat(100_000);
    [
        ("a-nested", object("a-nested", &nested)),
        ("b-number", object("b-number", r#"{"slots":1e999}"#)),
        (
            "c-port",
            object(
                "c-port",
                r#"{"service":"plain","address":"127.0.0.1:70000","zone":"zone-a","slots":1,"state":"ready"}"#,
            ),
        ),
        ("z-nameless", r#"{"spec":NaN}"#.to_owned()),
    ]
}

fn write_odd_objects(site: &Site) {
    for (name, object) in odd_objects() {
        site.store.put_raw("servers", name, object);
    }
}

/// Numbers of log lines on an entry set aside, and on the end of that.
fn set_aside_lines(site: &Site) -> (usize, usize) {
    (site.entry_events(506).len(), site.entry_events(516).len())
}

/// Regression: an entry that started beside an unreadable object among the servers was never ready.
#[tokio::test]
async fn an_entry_that_starts_beside_odd_objects_is_ready_and_serves() {
    let mut site = Site::start(71, 0);
    site.declare(1, &["key-1"]);
    write_odd_objects(&site);
    site.start_entry();
    site.wait_until_ready().await;
    assert_eq!(site.call("read").await.status, StatusCode::OK);
    // Lines are written on a thread of their own, and may come after the answer.
    site.wait_until(|site| set_aside_lines(site).0 >= 4).await;
    assert_eq!(set_aside_lines(&site), (4, 0));
}

/// Regression: an entry followed no change of the servers while an unreadable object stood among them.
#[tokio::test]
async fn a_running_entry_follows_changes_beside_odd_objects_and_logs_each_once() {
    let mut site = Site::start(72, 0);
    site.declare(1, &["key-1"]);
    site.start_entry();
    site.wait_until_ready().await;
    write_odd_objects(&site);
    site.store.remove("servers", "plain-1");
    site.wait_until(|site| site.entry_log().contains("plain-1 gone"))
        .await;
    for _ in 0..4 {
        assert_eq!(site.call("read").await.status, StatusCode::OK);
    }
    // Last in a list; a change without a name makes the entry list the servers again.
    site.wait_until(|site| site.entry_log().contains("servers without a name"))
        .await;
    let metrics = site.entry_metrics().await;
    let count = metrics
        .lines()
        .find(|line| line.starts_with("objects_set_aside{kind=\"servers\""));
    assert!(count.is_some_and(|line| line.ends_with(" 4")), "{count:?}");

    // The objects are listed again and written again, and stand unchanged.
    let lines = set_aside_lines(&site).0;
    site.store.set_online(false);
    tokio::time::sleep(Duration::from_millis(200)).await;
    site.store.set_online(true);
    for (name, object) in odd_objects().into_iter().take(3) {
        site.store.put_raw("servers", name, object);
    }
    let spec = site.plain_endpoints[1].server_spec("plain", "zone-a");
    site.store.put("servers", "plain-1", spec);
    site.wait_until(|site| site.entry_log().matches("plain-1 of plain").count() >= 2)
        .await;
    assert_eq!(set_aside_lines(&site), (lines, 0));

    for (name, object) in odd_objects() {
        site.store.remove_raw("servers", name, object);
    }
    site.wait_until(|site| set_aside_lines(site).1 >= 4).await;
    assert_eq!(site.call("read").await.status, StatusCode::OK);
}
