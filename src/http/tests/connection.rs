use std::time::Duration;

use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt, DuplexStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep};
use tokio_util::sync::CancellationToken;

use crate::http::activity::Activity;
use crate::http::connection::Connection;
use crate::http::unframed::UnframedAnswer;
use crate::http::{ListenerLimits, full};

const REQUEST: &[u8] = b"GET / HTTP/1.1\r\nhost: site.example\r\n\r\n";
/// Time that the handler takes.
const HANDLER_TIME: Duration = Duration::from_secs(100);
/// Buffer of a stream in memory.
const STREAM_BYTES: usize = 4_096;

/// The caller's side of a served connection.
struct Caller {
    stream: DuplexStream,
    head_timeout: watch::Sender<Duration>,
    drain: CancellationToken,
    serving: JoinHandle<()>,
}

impl Caller {
    fn connect(timeout: Duration) -> Self {
        let (stream, served) = tokio::io::duplex(STREAM_BYTES);
        let head_timeout = watch::Sender::new(timeout);
        let drain = CancellationToken::new();
        let connection = Connection {
            limits: ListenerLimits {
                connections: 1,
                header_bytes: 16 * 1024,
                header_timeout: timeout,
            },
            head_timeout: head_timeout.subscribe(),
            drain: drain.clone(),
            kill: CancellationToken::new(),
            activity: Activity::new(std::time::Instant::now()),
            unframed_answer: UnframedAnswer::default(),
        };
        let serving = tokio::spawn(connection.serve(served, |_| async {
            sleep(HANDLER_TIME).await;
            hyper::Response::new(full("done"))
        }));
        Self {
            stream,
            head_timeout,
            drain,
            serving,
        }
    }

    /// Reads the next answer; `None` when the connection ends without one.
    async fn read_answer(&mut self) -> Option<String> {
        let mut answer = Vec::new();
        while !answer.ends_with(b"done") {
            let read = self.stream.read_buf(&mut answer).await.unwrap();
            if read == 0 {
                assert!(answer.is_empty(), "the answer is incomplete");
                return None;
            }
        }
        Some(String::from_utf8(answer).unwrap())
    }

    async fn call(&mut self) -> Option<String> {
        self.stream.write_all(REQUEST).await.ok()?;
        self.read_answer().await
    }

    /// Time until the connection is closed.
    async fn time_to_close(&mut self) -> Duration {
        let start = Instant::now();
        assert_eq!(self.read_answer().await, None);
        start.elapsed()
    }
}

/// The time limit of a head begins when a connection is accepted and again after each answer; it
/// does not run while a request is handled.
#[tokio::test(start_paused = true)]
async fn the_time_limit_of_a_head_begins_when_the_connection_idles() {
    let limit = Duration::from_secs(60);
    let mut unused = Caller::connect(limit);
    assert_eq!(unused.time_to_close().await.as_secs(), 60);

    let mut caller = Caller::connect(limit);
    for _ in 0..2 {
        sleep(Duration::from_secs(50)).await;
        assert!(caller.call().await.is_some());
    }
    assert_eq!(caller.time_to_close().await.as_secs(), 60);
}

// Guards against a drain that leaves requests unanswered which were read, or whose body is arriving.
#[rstest]
#[case::head_arriving(&REQUEST[..20], &REQUEST[20..])]
#[case::whole(REQUEST, b"")]
#[case::body_arriving(
    b"POST / HTTP/1.1\r\nhost: site.example\r\ncontent-length: 4\r\n\r\nbo",
    b"dy"
)]
#[case::old_protocol(b"GET / HTTP/1.0\r\nconnection: keep-alive\r\n\r\n", b"")]
#[tokio::test(start_paused = true)]
async fn a_drain_answers_what_is_being_read(#[case] before: &[u8], #[case] after: &[u8]) {
    let mut caller = Caller::connect(Duration::from_secs(60));
    caller.stream.write_all(before).await.unwrap();
    sleep(Duration::from_secs(1)).await;
    caller.drain.cancel();
    sleep(Duration::from_secs(1)).await;
    caller.stream.write_all(after).await.unwrap();
    assert!(caller.read_answer().await.is_some());
    assert!(caller.time_to_close().await < Duration::from_secs(1));
    caller.serving.await.unwrap();
}

// Guards against a drain that waits for connections on which nothing is asked.
#[rstest]
#[case::unused(false)]
#[case::used(true)]
#[tokio::test(start_paused = true)]
async fn a_drain_closes_idle_connections(#[case] is_used: bool) {
    let mut caller = Caller::connect(Duration::from_secs(60));
    if is_used {
        assert!(caller.call().await.is_some());
    }
    sleep(Duration::from_secs(1)).await;
    caller.drain.cancel();
    assert!(caller.time_to_close().await < Duration::from_secs(1));
    caller.serving.await.unwrap();
}

const fn secs(secs: u64) -> Duration {
    Duration::from_secs(secs)
}

// Guards against idle connections that are closed while their callers may still use them, because
// the time for which they may idle was changed.
#[rstest]
#[case::unchanged(20, &[], 20)]
#[case::longer(20, &[(5, 80)], 80)]
#[case::longer_at_the_last_moment(20, &[(19, 80)], 80)]
#[case::shorter(80, &[(5, 20)], 80)]
#[case::longer_for_a_while(20, &[(5, 80), (6, 20)], 80)]
#[case::shorter_for_a_while(80, &[(5, 20), (6, 80)], 80)]
#[case::without_end(20, &[(5, u64::MAX), (6, 20)], u64::MAX)]
#[tokio::test(start_paused = true)]
async fn an_idle_connection_follows_the_longest_time_that_it_was_allowed(
    #[case] first: u64,
    #[case] changes: &[(u64, u64)],
    #[case] expected: u64,
    #[values(false, true)] is_used: bool,
) {
    let mut caller = Caller::connect(secs(first));
    if is_used {
        assert!(caller.call().await.is_some());
    }
    let start = Instant::now();
    for (at, timeout) in changes {
        tokio::time::sleep_until(start + secs(*at)).await;
        caller.head_timeout.send_replace(secs(*timeout));
    }
    const LONG: Duration = Duration::from_secs(100_000);
    let closed = tokio::time::timeout(LONG, caller.time_to_close()).await;
    match closed {
        Ok(_) => assert_eq!(start.elapsed().as_secs(), expected),
        Err(_) => assert_eq!(expected, u64::MAX, "the connection is still open"),
    }
}

// Guards against open connections that keep the time that was in force when they were accepted.
#[rstest]
#[case::longer(20, 80)]
#[case::shorter(80, 20)]
#[tokio::test(start_paused = true)]
async fn a_change_applies_to_open_connections(#[case] before: u64, #[case] after: u64) {
    let mut caller = Caller::connect(secs(before));
    caller.stream.write_all(REQUEST).await.unwrap();
    sleep(HANDLER_TIME / 2).await;
    caller.head_timeout.send_replace(secs(after));
    assert!(caller.read_answer().await.is_some());
    assert_eq!(caller.time_to_close().await, secs(after));
}

// Guards against a drain that closes a used connection on which a request has arrived.
#[tokio::test(start_paused = true)]
async fn a_drain_answers_a_request_that_has_arrived() {
    for n in 0..50 {
        let mut caller = Caller::connect(secs(60));
        assert!(caller.call().await.is_some());
        caller.stream.write_all(REQUEST).await.unwrap();
        caller.drain.cancel();
        assert!(caller.read_answer().await.is_some(), "{n}");
        caller.serving.await.unwrap();
    }
}

/// Over TCP, a caller that closes its side looks like one that has left; its request is ended.
#[tokio::test(start_paused = true)]
async fn a_caller_that_closes_its_side_has_left() {
    let mut caller = Caller::connect(secs(60));
    caller.stream.write_all(REQUEST).await.unwrap();
    sleep(secs(1)).await;
    caller.stream.shutdown().await.unwrap();
    assert!(caller.time_to_close().await < HANDLER_TIME);
}
