//! Connections of callers beside configurations, signals and slow requests.

use std::time::Duration;

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
