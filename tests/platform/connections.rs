//! Connections of callers beside configurations, signals and slow requests.

use std::time::Duration;

use hyper::StatusCode;
use rstest::rstest;
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

use super::site::{Site, WAIT_LIMIT};

/// A valid request without a body.
const REQUEST: &str = "GET /read/x HTTP/1.1\r\nhost: site.example\r\nrequest-id: kept\r\n\
                       deadline-ms: 6000\r\nauthorization: Token key-1\r\n\r\n";

/// Reads from a connection until an answer with a `content-length` is complete; `None` when the
/// connection ends before.
async fn read_answer(stream: &mut TcpStream) -> Option<String> {
    let mut answer = Vec::new();
    loop {
        let text = String::from_utf8_lossy(&answer).into_owned();
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let mut lengths = head
                .lines()
                .filter_map(|line| line.strip_prefix("content-length: "));
            let length: usize = lengths.next_back().unwrap().parse().unwrap();
            if body.len() >= length {
                return Some(text);
            }
        }
        match timeout(WAIT_LIMIT, stream.read_buf(&mut answer)).await {
            Ok(Ok(0) | Err(_)) => return None,
            Ok(Ok(_)) => {}
            Err(_) => panic!("no answer"),
        }
    }
}

async fn call(stream: &mut TcpStream) -> Option<String> {
    stream.write_all(REQUEST.as_bytes()).await.ok()?;
    read_answer(stream).await
}

/// Waits until the other side closes a connection on which nothing is asked.
async fn wait_until_closed(stream: &mut TcpStream) {
    let read = timeout(WAIT_LIMIT, stream.read_u8()).await;
    assert!(read.expect("the connection is still open").is_err());
}

async fn adopted(site: &Site, version: u64) {
    site.wait_until(|site| {
        let text = format!("adopted: version {version},");
        site.entry_log().contains(&text)
    })
    .await;
}

// Guards against connections that idle for a fixed time, whatever the configuration allows.
#[tokio::test]
async fn idle_connections_end_as_configured() {
    let site = Site::start_serving(180, 1).await;
    let mut opened_before = TcpStream::connect(site.caller_addr()).await.unwrap();
    assert!(call(&mut opened_before).await.is_some());
    site.declare_edited(2, &["key-1"], |config| {
        config["limits"]["idleMs"] = json!(1_000);
        config["limits"]["headerMs"] = json!(500);
    });
    adopted(&site, 2).await;
    use_and_idle(opened_before).await;
    use_and_idle(TcpStream::connect(site.caller_addr()).await.unwrap()).await;
}

/// Uses a connection again after most of the idle time of 1 s, then waits for its end.
async fn use_and_idle(mut stream: TcpStream) {
    for _ in 0..2 {
        tokio::time::sleep(Duration::from_millis(800)).await;
        assert!(call(&mut stream).await.is_some());
    }
    wait_until_closed(&mut stream).await;
}

/// Sends the head and half of the body of a request on a new connection.
async fn send_half(site: &Site) -> TcpStream {
    let mut stream = TcpStream::connect(site.caller_addr()).await.unwrap();
    let head = "POST /write/x HTTP/1.1\r\nhost: site.example\r\nrequest-id: halves\r\n\
                deadline-ms: 20000\r\nauthorization: Token key-1\r\ncontent-length: 8\r\n\r\nhalf";
    stream.write_all(head.as_bytes()).await.unwrap();
    // The entry reads the head meanwhile.
    tokio::time::sleep(Duration::from_millis(200)).await;
    stream
}

/// Sends the rest of the body, and returns the answer.
async fn send_rest(mut stream: TcpStream) -> Option<String> {
    stream.write_all(b"half").await.ok()?;
    read_answer(&mut stream).await
}

// Guards against requests that are refused, and their connections reset, while their bodies arrive
// within the time that the configuration allows.
#[tokio::test]
async fn a_body_may_take_as_long_as_the_configuration_allows() {
    let site = Site::start_serving(181, 1).await;
    site.declare_edited(2, &["key-1"], |config| {
        config["limits"]["headerMs"] = json!(20_000);
    });
    adopted(&site, 2).await;
    let stream = send_half(&site).await;
    tokio::time::sleep(Duration::from_millis(3_500)).await;
    let answer = send_rest(stream).await.unwrap();
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
}

/// What happens while the body of a request arrives.
#[derive(Clone, Copy, Debug)]
enum Interruption {
    Hangup,
    Terminate,
    /// Smaller limits, under which the request would be refused.
    Limits,
    /// The store is away.
    Outage,
}

// Guards against requests that get no answer because of a signal or a configuration while their bodies
// arrive.
#[rstest]
#[case::hangup(182, Interruption::Hangup)]
#[case::terminate(183, Interruption::Terminate)]
#[case::limits(184, Interruption::Limits)]
#[case::outage(185, Interruption::Outage)]
#[tokio::test]
async fn a_request_is_answered_whose_body_arrives_beside(
    #[case] network: u8,
    #[case] interruption: Interruption,
) {
    let site = Site::start_serving(network, 1).await;
    let stream = send_half(&site).await;
    match interruption {
        Interruption::Hangup => site.signal_entry("-HUP").await,
        Interruption::Terminate => site.signal_entry("-TERM").await,
        Interruption::Limits => {
            site.declare_edited(2, &["key-1"], |config| {
                config["limits"] = json!({"headerBytes": 16_384, "bodyBytes": 1,
                                          "headerMs": 1, "idleMs": 1});
            });
            adopted(&site, 2).await;
        }
        Interruption::Outage => site.store.set_online(false),
    }
    tokio::time::sleep(Duration::from_millis(500)).await;
    let answer = send_rest(stream).await.unwrap();
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    let closes = answer.contains("connection: close");
    assert_eq!(closes, matches!(interruption, Interruption::Terminate));
}

// Guards against a drain that cuts requests which are read at its end, 3 s after the signal. One that must
// run once, on a route whose answers take no known time, could outlast the grace.
#[rstest]
#[case::times_known(186, 8, "200", 9)]
#[case::times_unknown(99, 0, "503", 0)]
#[tokio::test]
async fn a_request_is_answered_whose_body_arrives_while_the_listener_stops(
    #[case] network: u8,
    #[case] answered_before: usize,
    #[case] status: &str,
    #[case] runs: usize,
) {
    let site = Site::start_serving(network, 1).await;
    for _ in 0..answered_before {
        assert_eq!(site.call("write").await.status, StatusCode::OK);
    }
    site.signal_entry("-TERM").await;
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    let stream = send_half(&site).await;
    tokio::time::sleep(Duration::from_millis(2_000)).await;
    let answer = send_rest(stream).await.unwrap();
    assert!(
        answer.starts_with(&format!("HTTP/1.1 {status}")),
        "{answer}"
    );
    assert_eq!(answer.contains("not run"), status == "503");
    let run: usize = site.plain_endpoints.iter().map(|e| e.runs().len()).sum();
    assert_eq!(run, runs);
}

// Guards against handlers that end without an answer for unusual but valid requests.
#[tokio::test]
async fn unusual_requests_are_answered() {
    let site = Site::start_serving(187, 1).await;
    let head = |protocol: &str, headers: &str| {
        format!(
            "GET /read/x {protocol}\r\nhost: site.example\r\nrequest-id: unusual\r\n\
             authorization: Token key-1\r\n{headers}\r\n"
        )
    };
    let requests = [
        head("HTTP/1.1", ""),
        head("HTTP/1.1", "deadline-ms: 18446744073709551615\r\n"),
        head("HTTP/1.1", "token-usage: 4294967295,4294967295\r\n"),
        head("HTTP/1.0", "deadline-ms: 6000\r\n"),
        head("HTTP/1.1", "content-length: 4\r\n") + "body",
        head("HTTP/1.1", "transfer-encoding: chunked\r\n") + "4\r\nbody\r\n0\r\n\r\n",
    ];
    for req in requests {
        let mut stream = TcpStream::connect(site.caller_addr()).await.unwrap();
        stream.write_all(req.as_bytes()).await.unwrap();
        let answer = read_answer(&mut stream).await.expect(&req);
        assert_eq!(answer.split(' ').nth(1), Some("200"), "{req}{answer}");
    }
    // The second of two requests that are sent at once.
    let mut stream = TcpStream::connect(site.caller_addr()).await.unwrap();
    stream
        .write_all(REQUEST.repeat(2).as_bytes())
        .await
        .unwrap();
    assert!(read_answer(&mut stream).await.is_some());
    assert!(read_answer(&mut stream).await.is_some());
    // A body that is sent only once it is asked for.
    let mut stream = TcpStream::connect(site.caller_addr()).await.unwrap();
    let req = head("HTTP/1.1", "expect: 100-continue\r\ncontent-length: 4\r\n");
    stream.write_all(req.as_bytes()).await.unwrap();
    let mut asked = [0; 25];
    stream.read_exact(&mut asked).await.unwrap();
    assert_eq!(&asked, b"HTTP/1.1 100 Continue\r\n\r\n");
    stream.write_all(b"body").await.unwrap();
    assert!(read_answer(&mut stream).await.is_some());
}
