//! Answers of endpoints that are cut. `platform::tests::cuts` cuts them after each byte, without processes.

use hyper::StatusCode;
use limpetloom_fakes::raw::{ConnectionEnd, RawAnswer};
use limpetloom_fakes::site::SiteEngineFaults;
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use super::site::Site;

/// A whole answer with a length.
const ANSWER: &str = "HTTP/1.1 200 OK\r\nserver-stamp: s\r\ncontent-length: 4\r\n\r\nbody";
/// Places at which it is cut: in the status line, behind it, behind a whole line, before the empty line,
/// behind the head, and in the body.
const CUTS: [usize; 6] = [9, 17, 34, 53, 55, 58];

fn raw(bytes: &'static str, end: ConnectionEnd) -> SiteEngineFaults {
    SiteEngineFaults {
        raw: Some(RawAnswer::new(bytes, end)),
        ..SiteEngineFaults::default()
    }
}

/// Number of runs of a request at all plain endpoints.
fn runs(site: &Site, id: &str) -> usize {
    let runs = site.plain_endpoints.iter().flat_map(|e| e.runs());
    runs.filter(|run| run.request_id == id).count()
}

#[rstest]
#[case::closed(81, ConnectionEnd::Close)]
#[case::reset(82, ConnectionEnd::Reset)]
#[tokio::test]
async fn a_cut_answer_is_no_success(#[case] network: u8, #[case] end: ConnectionEnd) {
    let site = Site::start_serving(network, 1).await;
    for cut in CUTS {
        for endpoint in &site.plain_endpoints {
            endpoint.set_faults(raw(&ANSWER[..cut], end));
        }
        let id = format!("write-{cut}");
        let answer = site.call_with_id("write", &id).await;
        assert_eq!(answer.status, StatusCode::BAD_GATEWAY, "{cut}");
        assert_eq!(runs(&site, &id), 1, "{cut}");
        let answer = site.call_with_id("read", "read").await;
        assert!(!answer.status.is_success(), "{cut}: {answer:?}");
        // An endpoint that failed is used again after a pause.
        for endpoint in &site.plain_endpoints {
            endpoint.set_faults(SiteEngineFaults::default());
        }
        site.wait_until_answered("read").await;
        site.wait_until_answered("write").await;
    }
}

/// Sends a request for a stream as a caller that does not know chunks.
async fn open_old_stream(site: &Site) -> TcpStream {
    let mut caller = TcpStream::connect(site.caller_addr()).await.unwrap();
    let req = "POST /chat/x HTTP/1.0\r\nhost: site.example\r\nauthorization: Token key-1\r\n\
               request-id: old\r\ndeadline-ms: 6000\r\ntoken-usage: 100,72\r\ncontent-length: 0\r\n\r\n";
    caller.write_all(req.as_bytes()).await.unwrap();
    caller
}

/// Regression: a stream ended as complete when the endpoint that should continue it closed the connection
/// behind its head. For HTTP/1.0 callers each stream that ended early did.
#[rstest]
#[case::behind_the_head(83, "HTTP/1.1 200 OK\r\nserver-stamp: s\r\n\r\n")]
#[case::in_the_head(84, "HTTP/1.1 200 OK\r\nserver-stamp: s\r\n")]
#[tokio::test]
async fn a_stream_whose_continuation_is_cut_is_not_complete(
    #[case] network: u8,
    #[case] continuation: &'static str,
) {
    let site = Site::start_serving(network, 2).await;
    for is_old in [false, true] {
        let first = site.engines.iter().max_by_key(|engine| engine.runs().len());
        let first = first.unwrap();
        for engine in &site.engines {
            engine.set_faults(raw(continuation, ConnectionEnd::Close));
        }
        first.set_faults(SiteEngineFaults {
            break_after: Some(4),
            ..SiteEngineFaults::default()
        });
        if is_old {
            let mut answer = Vec::new();
            let mut caller = open_old_stream(&site).await;
            // A reset may discard the events.
            let read = caller.read_to_end(&mut answer).await;
            assert!(read.is_err(), "{}", String::from_utf8_lossy(&answer));
        } else {
            let answer = site.call("chat").await;
            assert_eq!(
                (answer.events(), answer.is_whole),
                (vec![1, 2, 3, 4], false)
            );
        }
        for engine in &site.engines {
            engine.set_faults(SiteEngineFaults::default());
        }
        site.wait_until_answered("chat").await;
    }
}

/// Regression: an HTTP/1.0 caller saw a stream end in good order when the entry was killed.
#[tokio::test]
async fn an_old_caller_sees_that_a_killed_entry_has_not_completed_its_stream() {
    let site = Site::start_serving(85, 1).await;
    site.engines[0].set_faults(SiteEngineFaults {
        silent_after: Some(4),
        ..SiteEngineFaults::default()
    });
    let mut caller = open_old_stream(&site).await;
    let mut answer = Vec::new();
    while !answer.ends_with(b"data: token 4\n\n") {
        assert!(caller.read_buf(&mut answer).await.unwrap() > 0);
    }
    site.signal_entry("-KILL").await;
    assert!(caller.read_to_end(&mut answer).await.is_err());
}
