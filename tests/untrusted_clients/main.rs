//! Clients outside anybody's control against the real binary. Whatever they send, the entry keeps running, stays
//! within the memory and the descriptors of its settings, and answers an ordinary request afterwards.
//!
//! The tests run one after another, since each of them fills the memory of a process.

#![allow(clippy::unwrap_used)]

mod crowd;
#[allow(dead_code)]
#[path = "../platform/site.rs"]
mod site;

use std::fs;

use hyper::StatusCode;
use limpetloom_fakes::raw::Flood;
use limpetloom_fakes::site::SiteEngineFaults;
use rstest::rstest;
use serde_json::json;
use tokio::process::Child;
use tokio::sync::Mutex;

use crowd::{Crowd, Upload};
use site::{Site, WAIT_LIMIT};

/// Held by the test that runs.
static ONE_AT_A_TIME: Mutex<()> = Mutex::const_new(());

/// Memory of a process by its settings, in megabytes.
const MEMORY_MB: u64 = 64;
/// Descriptors of a process by its settings.
const DESCRIPTORS: usize = 600;
/// Largest body that the configuration allows.
const BODY_BYTES: usize = 1 << 20;
/// Clients that send bodies: all of them together send more than `MEMORY_MB`.
const CLIENTS: usize = 128;
/// Clients that send bodies in chunks of one byte.
const TINY_CHUNK_CLIENTS: usize = 96;
/// Body of each of those; it takes six times as many bytes on the connection.
const TINY_CHUNK_BODY: usize = 256 * 1024;
/// Connections without a request, more than `DESCRIPTORS`.
const IDLE_CLIENTS: usize = 700;
/// Connections in the middle of a body, more than an entry with `MEMORY_MB` takes.
const STALLED_CLIENTS: usize = 400;

/// Engines, each with as many places as the configuration says.
const ENGINES: u8 = 4;

/// Objects of another writer, of a megabyte each.
const LARGE_OBJECTS: usize = 12;

/// Starts an entry with low limits.
async fn start(network: u8) -> Site {
    start_with_head_time(network, 3_000).await
}

/// The same, with the milliseconds within which a request has to arrive.
async fn start_with_head_time(network: u8, millis: u64) -> Site {
    let mut site = Site::start(network, 0);
    site.limits = json!({"linkMbps": 1_000.0, "memoryMb": MEMORY_MB, "maxFds": DESCRIPTORS});
    site.declare_edited(1, &["key-1"], |config| {
        config["limits"]["bodyBytes"] = BODY_BYTES.into();
        config["limits"]["headerMs"] = millis.into();
    });
    site.start_entry();
    site.wait_until_ready().await;
    site.wait_until_answered("write").await;
    site
}

/// Checks what must hold beside clients that send bodies, and once the entry has dealt with all of them.
async fn assert_unharmed_by(site: &mut Site, crowd: &Crowd) {
    assert_unharmed(site).await;
    let has_ended = crowd.wait_until_ended(WAIT_LIMIT).await;
    assert!(has_ended, "some clients are neither answered nor closed");
    assert_unharmed(site).await;
}

/// Checks what must hold whatever clients do.
async fn assert_unharmed(site: &mut Site) {
    let descriptors = descriptors(site);
    assert!(descriptors < DESCRIPTORS, "{descriptors} descriptors");
    site.wait_until_answered("write").await;
    let ended = site.entry.as_mut().unwrap().try_wait().unwrap();
    assert!(ended.is_none(), "the entry has ended: {ended:?}");
    let megabytes = site.entry_peak_memory() >> 20;
    assert!(megabytes < MEMORY_MB, "{megabytes} MB");
}

/// Number of files and sockets that the entry has open.
fn descriptors(site: &Site) -> usize {
    let id = site.entry.as_ref().and_then(Child::id).unwrap();
    fs::read_dir(format!("/proc/{id}/fd")).unwrap().count()
}

// Guards against bodies that are each within the limit and together take more memory than there is.
#[rstest]
#[case::whole(101, Upload::with_length(BODY_BYTES, BODY_BYTES - 1))]
#[case::piece_by_piece(
    102,
    Upload::with_length(BODY_BYTES, BODY_BYTES - 1).piece_by_piece(16 * 1024)
)]
#[case::large_chunks(103, Upload::in_chunks(64 * 1024, BODY_BYTES))]
#[case::large_chunks_piece_by_piece(
    104,
    Upload::in_chunks(64 * 1024, BODY_BYTES).piece_by_piece(16 * 1024)
)]
#[case::complete(
    105,
    Upload::with_length(BODY_BYTES, BODY_BYTES).piece_by_piece(64 * 1024)
)]
#[tokio::test]
async fn many_large_bodies_do_not_exhaust_the_memory(#[case] network: u8, #[case] upload: Upload) {
    let _alone = ONE_AT_A_TIME.lock().await;
    let mut site = start(network).await;
    let crowd = Crowd::uploading(site.caller_addr(), CLIENTS, &upload).await;
    assert_unharmed_by(&mut site, &crowd).await;
}

// Guards against what is kept for each chunk: a chunk of one byte took many times its size.
#[tokio::test]
async fn many_bodies_in_tiny_chunks_do_not_exhaust_the_memory() {
    let _alone = ONE_AT_A_TIME.lock().await;
    // The entry needs seconds for them, and gives up what arrives no sooner than that.
    let mut site = start_with_head_time(106, 8_000).await;
    let upload = Upload::in_chunks(1, TINY_CHUNK_BODY);
    let crowd = Crowd::uploading(site.caller_addr(), TINY_CHUNK_CLIENTS, &upload).await;
    assert_unharmed_by(&mut site, &crowd).await;
}

// Guards against a body far over the limit that is read to the limit before it is refused.
#[rstest]
#[case::announced(
    107,
    Upload::with_length(BODY_BYTES * 1_000, BODY_BYTES * 4).piece_by_piece(64 * 1024)
)]
#[case::only_sent(
    108,
    Upload::in_chunks(64 * 1024, BODY_BYTES * 4).piece_by_piece(64 * 1024)
)]
#[tokio::test]
async fn many_bodies_over_the_limit_do_not_exhaust_the_memory(
    #[case] network: u8,
    #[case] upload: Upload,
) {
    let _alone = ONE_AT_A_TIME.lock().await;
    let mut site = start(network).await;
    let crowd = Crowd::uploading(site.caller_addr(), CLIENTS, &upload).await;
    assert_unharmed_by(&mut site, &crowd).await;
}

// Guards against connections that take all descriptors, so that nobody else is answered.
#[rstest]
#[case::without_a_byte(109, b"")]
#[case::in_a_head(110, b"POST /write/x HTTP/1.1\r\nhost: site.example\r\nx-part: ")]
#[tokio::test]
async fn many_idle_connections_do_not_take_all_descriptors(
    #[case] network: u8,
    #[case] head: &[u8],
) {
    let _alone = ONE_AT_A_TIME.lock().await;
    let mut site = start(network).await;
    let _crowd = Crowd::connecting(site.caller_addr(), IDLE_CLIENTS, head).await;
    assert_unharmed(&mut site).await;
}

/// Regression: bodies that stop short of their end kept all connections until their time was over, and ordinary callers
/// waited behind them.
#[rstest]
#[case::in_a_body(113, Upload::with_length(32 * 1024, 32 * 1024 - 1))]
#[case::in_a_small_body(114, Upload::with_length(600, 599))]
#[case::in_a_chunk(115, Upload::in_chunks(16 * 1024, 32 * 1024))]
#[tokio::test]
async fn many_stalled_bodies_do_not_keep_ordinary_callers_out(
    #[case] network: u8,
    #[case] upload: Upload,
) {
    let _alone = ONE_AT_A_TIME.lock().await;
    // The bodies may take twice as long as an ordinary request is waited for.
    let millis = 2 * WAIT_LIMIT.as_millis() as u64;
    let mut site = start_with_head_time(network, millis).await;
    let _crowd = Crowd::uploading(site.caller_addr(), STALLED_CLIENTS, &upload).await;
    let unharmed = tokio::time::timeout(WAIT_LIMIT, assert_unharmed(&mut site)).await;
    unharmed.expect("ordinary callers wait behind stalled bodies");
}

// Guards against objects of another writer among the servers, whose parsed form takes many times their text.
#[tokio::test]
async fn large_objects_of_another_writer_do_not_exhaust_the_memory() {
    let _alone = ONE_AT_A_TIME.lock().await;
    let mut site = start(113).await;
    // As many bytes as the platform's store takes.
    let list = format!("[{}0]", "0,".repeat(500_000));
    site.store.set_page_size(1);
    for n in 0..LARGE_OBJECTS {
        let object = format!(r#"{{"metadata":{{"name":"odd-{n}"}},"spec":{list}}}"#);
        site.store.put_raw("servers", &format!("odd-{n}"), object);
    }
    // A lost history makes the entry list all of them.
    site.store.compact_history();
    site.store.remove("servers", "plain-1");
    site.wait_until(|site| site.entry_log().contains("plain-1 gone"))
        .await;
    assert_unharmed(&mut site).await;
}

// Guards against events that are kept for callers who ask for streams and never read them.
#[tokio::test]
async fn many_streams_that_nobody_reads_do_not_exhaust_the_memory() {
    let _alone = ONE_AT_A_TIME.lock().await;
    let mut site = Site::start(114, ENGINES);
    site.limits = json!({"linkMbps": 1_000.0, "memoryMb": MEMORY_MB, "maxFds": DESCRIPTORS});
    site.declare(1, &["key-1"]);
    site.start_agents();
    site.start_entry();
    site.wait_until_ready().await;
    site.wait_until_answered("chat").await;
    for engine in &site.engines {
        engine.set_faults(SiteEngineFaults {
            flood: Some(Flood::NumberedEvents),
            ..Default::default()
        });
    }
    let head = b"GET /chat/x HTTP/1.1\r\nhost: site.example\r\nauthorization: Token key-1\r\n\
        request-id: unread\r\ntoken-usage: 100,100000\r\ndeadline-ms: 20000\r\n\r\n";
    let crowd = Crowd::connecting(site.caller_addr(), CLIENTS, head).await;
    assert!(
        crowd.wait_until_ended(WAIT_LIMIT).await,
        "some are not answered"
    );
    assert_unharmed(&mut site).await;
}

// Guards against limits that a single client inside those of the configuration meets.
#[rstest]
#[case::whole(111, Upload::with_length(BODY_BYTES, BODY_BYTES))]
#[case::piece_by_piece(
    112,
    Upload::with_length(BODY_BYTES, BODY_BYTES).piece_by_piece(16 * 1024)
)]
#[tokio::test]
async fn a_single_largest_body_is_served(#[case] network: u8, #[case] upload: Upload) {
    let _alone = ONE_AT_A_TIME.lock().await;
    let site = start(network).await;
    let status = upload.status(site.caller_addr()).await;
    assert_eq!(status, Some(StatusCode::OK));
}
