use std::time::Duration;

use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt, DuplexStream};
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep};
use tokio_util::sync::CancellationToken;

use crate::http::connection::Connection;
use crate::http::{ListenerLimits, full};

const REQUEST: &[u8] = b"GET / HTTP/1.1\r\nhost: site.example\r\n\r\n";
/// Time that the handler takes.
const HANDLER_TIME: Duration = Duration::from_secs(100);
/// Buffer of a stream in memory.
const STREAM_BYTES: usize = 4_096;

/// The caller's side of a served connection.
struct Caller {
    stream: DuplexStream,
    drain: CancellationToken,
    serving: JoinHandle<()>,
}

impl Caller {
    fn connect(header_timeout: Duration) -> Self {
        let (stream, served) = tokio::io::duplex(STREAM_BYTES);
        let drain = CancellationToken::new();
        let connection = Connection {
            limits: ListenerLimits {
                connections: 1,
                header_bytes: 16 * 1024,
                header_timeout,
            },
            drain: drain.clone(),
            kill: CancellationToken::new(),
        };
        let serving = tokio::spawn(connection.serve(served, |_| async {
            sleep(HANDLER_TIME).await;
            hyper::Response::new(full("done"))
        }));
        Self {
            stream,
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
