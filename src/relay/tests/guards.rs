//! Requests that are refused on arrival, and their connections.

use std::sync::Arc;
use std::time::{Duration, Instant};

use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio_util::sync::CancellationToken;

use crate::dispatch::tests::fixture;
use crate::http::{Listener, ListenerLimits};
use crate::overload::Pulse;
use crate::relay::{Guards, Relay};
use crate::telemetry::Metrics;

use super::race::PlainDialect;

const HEAD: &str = "POST /chat/x HTTP/1.1\r\nhost: site.example\r\n";

/// Connects to a relay whose control loop has never run in time.
async fn connect() -> TcpStream {
    let now = Instant::now();
    let pulse = Arc::new(Pulse::new(now, Duration::ZERO));
    let guards = Guards::new(now, 1).with_pulse(pulse);
    let relay = Relay::new(PlainDialect, fixture::core(now), guards, Metrics::new());
    let limits = ListenerLimits {
        connections: 1,
        header_bytes: 16 * 1024,
        header_timeout: Duration::from_secs(60),
    };
    let (drain, kill) = (CancellationToken::new(), CancellationToken::new());
    let any = "127.0.0.1:0".parse().unwrap();
    let listener = Listener::bind(any, limits, drain, kill).await.unwrap();
    let addr = listener.addr().unwrap();
    tokio::spawn(listener.serve(move |req| {
        let relay = relay.clone();
        async move { relay.handle(req).await }
    }));
    TcpStream::connect(addr).await.unwrap()
}

/// Reads until the head of an answer is complete, or the connection ends.
async fn read_head(stream: &mut TcpStream) -> String {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        match stream.read_u8().await {
            Ok(byte) => head.push(byte),
            Err(_) => break,
        }
    }
    String::from_utf8(head).unwrap()
}

// Guards against a refusal that is lost with its connection, which is reset when it closes over a body that is
// on its way.
#[rstest]
#[case::no_body(vec![format!("{HEAD}\r\n")])]
#[case::body(vec![format!("{HEAD}content-length: 4\r\n\r\nbody")])]
#[case::body_later(vec![format!("{HEAD}content-length: 4\r\n\r\n"), "body".to_owned()])]
#[case::chunks(vec![format!("{HEAD}transfer-encoding: chunked\r\n\r\n4\r\nbody\r\n"), "0\r\n\r\n".to_owned()])]
#[case::long_body(vec![format!("{HEAD}content-length: 60000\r\n\r\n"), "b".repeat(60_000)])]
#[tokio::test]
async fn a_connection_is_kept_after_a_refusal_on_arrival(#[case] parts: Vec<String>) {
    let mut stream = connect().await;
    for _ in 0..2 {
        for part in &parts {
            stream.write_all(part.as_bytes()).await.unwrap();
            tokio::task::yield_now().await;
        }
        let head = read_head(&mut stream).await;
        assert!(head.starts_with("HTTP/1.1 "), "{head:?}");
        assert!(!head.contains("connection: close"), "{head:?}");
    }
}

#[rstest]
#[case::waits_for_permission("expect: 100-continue\r\ncontent-length: 4\r\n\r\n", "")]
#[case::too_long("content-length: 70000\r\n\r\n", "b")]
#[tokio::test]
async fn a_refusal_says_that_the_connection_closes_where_the_body_is_not_read(
    #[case] rest: &str,
    #[case] body: &str,
) {
    let mut stream = connect().await;
    let req = format!("{HEAD}{rest}{}", body.repeat(70_000));
    stream.write_all(req.as_bytes()).await.unwrap();
    let head = read_head(&mut stream).await;
    assert!(head.contains("connection: close"), "{head:?}");
}
