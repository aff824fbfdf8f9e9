//! Answers that end with their connection.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::{Response, Version};
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;

use crate::http::unframed::{ResettingStream, UnframedAnswer};
use crate::http::{Listener, ListenerLimits, channel};

/// How the sender of a body ends it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum BodyEnd {
    Finished,
    /// The sender is dropped.
    Dropped,
    /// All connections of the listener are closed.
    Killed,
}

/// Regression: an HTTP/1.0 caller, whose answer has neither a length nor chunks, saw a stream that ended early
/// end in good order.
#[rstest]
#[case::finished(BodyEnd::Finished, true)]
#[case::dropped(BodyEnd::Dropped, false)]
#[case::killed(BodyEnd::Killed, false)]
#[tokio::test]
async fn a_caller_without_chunks_sees_that_a_body_ended_early(
    #[case] end: BodyEnd,
    #[case] is_whole: bool,
) {
    const EVENT: &[u8] = b"id: 1\n\n";
    let limits = ListenerLimits {
        connections: 4,
        header_bytes: 16 * 1024,
        header_timeout: Duration::from_secs(60),
    };
    let kill = CancellationToken::new();
    let any_port = ([127, 0, 0, 1], 0).into();
    let listener = Listener::bind(any_port, limits, CancellationToken::new(), kill.clone())
        .await
        .unwrap();
    let addr = listener.addr().unwrap();
    let (tx, body) = channel();
    let body = Arc::new(Mutex::new(Some(body)));
    tokio::spawn(listener.serve(move |_| {
        let body = body.lock().unwrap().take().unwrap();
        async move { Response::new(body) }
    }));
    let mut caller = TcpStream::connect(addr).await.unwrap();
    caller.write_all(b"GET / HTTP/1.0\r\n\r\n").await.unwrap();
    assert!(tx.send(Bytes::from_static(EVENT)).await);
    let mut answer = Vec::new();
    while !answer.ends_with(EVENT) {
        assert!(caller.read_buf(&mut answer).await.unwrap() > 0);
    }
    match end {
        BodyEnd::Finished => assert!(tx.finish().await),
        BodyEnd::Dropped => drop(tx),
        BodyEnd::Killed => kill.cancel(),
    }
    let rest = caller.read_to_end(&mut answer).await;
    assert_eq!(rest.is_ok(), is_whole, "{rest:?}");
    assert!(answer.ends_with(EVENT));
}

/// Regression: an answer whose body had ended, and whose last bytes were not all written when the connection
/// was closed, ended in good order.
#[rstest]
#[case::closed_before_the_rest(false)]
#[case::shut_down(true)]
#[tokio::test]
async fn only_a_shutdown_ends_an_answer_without_chunks_in_good_order(#[case] is_shut_down: bool) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let mut caller = TcpStream::connect(listener.local_addr().unwrap())
        .await
        .unwrap();
    let (stream, _) = listener.accept().await.unwrap();
    let unframed = UnframedAnswer::default();
    let mut stream = ResettingStream::new(stream, unframed.clone());
    let (tx, body) = channel();
    let mut answer = unframed.watch(Version::HTTP_10, Response::new(body));
    tokio::spawn(async move {
        tx.send(Bytes::from_static(b"id: 1\n\n")).await;
        tx.finish().await
    });
    let mut events = 0;
    stream.write_all(b"HTTP/1.0 200 OK\r\n\r\n").await.unwrap();
    while let Some(Ok(_)) = answer.body_mut().frame().await {
        events += 1;
    }
    // The connection has the whole body, and writes a part of it.
    stream.write_all(b"id: ").await.unwrap();
    if is_shut_down {
        stream.shutdown().await.unwrap();
    }
    drop(stream);
    let rest = caller.read_to_end(&mut Vec::new()).await;
    assert_eq!((rest.is_ok(), events), (is_shut_down, 1), "{rest:?}");
}
