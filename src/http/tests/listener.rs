//! A listener that stops under load.

use std::time::Duration;

use hyper::Response;
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio_util::sync::CancellationToken;

use crate::http::{Listener, ListenerLimits, full};

const REQUEST: &[u8] = b"GET / HTTP/1.1\r\nhost: site.example\r\n\r\n";

/// Regression: connections in the accept queue were reset when a stopping listener closed, after their
/// requests had arrived.
#[rstest]
#[case::few(20)]
#[case::full_queue(129)]
#[tokio::test]
async fn requests_in_the_accept_queue_are_answered_by_a_stopping_listener(#[case] count: usize) {
    let limits = ListenerLimits {
        connections: 200,
        header_bytes: 16 * 1024,
        header_timeout: Duration::from_secs(60),
    };
    let (drain, kill) = (CancellationToken::new(), CancellationToken::new());
    let any_port = ([127, 0, 0, 1], 0).into();
    let listener = Listener::bind(any_port, limits, drain.clone(), kill)
        .await
        .unwrap();
    let addr = listener.addr().unwrap();
    // The kernel completes connections and takes their requests before the listener accepts them.
    let mut callers = Vec::new();
    for _ in 0..count {
        let mut caller = TcpStream::connect(addr).await.unwrap();
        caller.write_all(REQUEST).await.unwrap();
        callers.push(caller);
    }
    drain.cancel();
    let serving = tokio::spawn(listener.serve(|_| async { Response::new(full("done")) }));
    for mut caller in callers {
        let mut answer = String::new();
        caller.read_to_string(&mut answer).await.unwrap();
        assert!(answer.ends_with("done"), "{answer}");
    }
    serving.await.unwrap();
    assert!(TcpStream::connect(addr).await.is_err());
}
