//! Connections on which requests arrive while their listener drains.

use std::time::Duration;

use hyper::Response;
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt, DuplexStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep, timeout};
use tokio_util::sync::CancellationToken;

use crate::http::activity::Activity;
use crate::http::connection::Connection;
use crate::http::unframed::UnframedAnswer;
use crate::http::{ListenerLimits, channel};

const REQUEST: &str = "GET / HTTP/1.1\r\nhost: site.example\r\n\r\n";
const WITH_BODY: &str = "POST / HTTP/1.1\r\nhost: site.example\r\ncontent-length: 4\r\n\r\nbody";
/// Timeout for the next head.
const HEAD_TIMEOUT: Duration = secs(60);
/// Time from the head of an answer to its end.
const ANSWER_TIME: Duration = secs(10);
const STREAM_BYTES: usize = 4_096;

const fn secs(secs: u64) -> Duration {
    Duration::from_secs(secs)
}

/// The caller's side of a connection whose answers are streams that begin after `head_delay`.
struct Caller {
    stream: DuplexStream,
    received: String,
    drain: CancellationToken,
    serving: JoinHandle<()>,
}

impl Caller {
    fn connect(stream_bytes: usize, head_delay: Duration) -> Self {
        let (stream, served) = tokio::io::duplex(stream_bytes);
        let drain = CancellationToken::new();
        let connection = Connection {
            limits: ListenerLimits {
                connections: 1,
                header_bytes: 16 * 1024,
                header_timeout: HEAD_TIMEOUT,
            },
            head_timeout: watch::channel(HEAD_TIMEOUT).1,
            drain: drain.clone(),
            kill: CancellationToken::new(),
            activity: Activity::new(std::time::Instant::now()),
            unframed_answer: UnframedAnswer::default(),
        };
        let serving = tokio::spawn(connection.serve(served, move |_| async move {
            sleep(head_delay).await;
            let (tx, body) = channel();
            tokio::spawn(async move {
                sleep(ANSWER_TIME).await;
                if tx.send("done".into()).await {
                    tx.finish().await;
                }
            });
            Response::new(body)
        }));
        Self {
            stream,
            received: String::new(),
            drain,
            serving,
        }
    }

    async fn send(&mut self, text: &str) {
        self.stream.write_all(text.as_bytes()).await.unwrap();
    }

    /// Reads until so many answers are complete.
    async fn read_answers(&mut self, count: usize) {
        while self.answers() < count {
            let mut buf = [0; 256];
            let read = self.stream.read(&mut buf).await.unwrap();
            assert!(read > 0, "closed after {:?}", self.received);
            self.received
                .push_str(std::str::from_utf8(&buf[..read]).unwrap());
        }
    }

    /// Number of complete answers.
    fn answers(&self) -> usize {
        self.received.matches("\r\n0\r\n\r\n").count()
    }

    /// Reads until the connection is closed.
    async fn read_to_end(&mut self) {
        self.stream
            .read_to_string(&mut self.received)
            .await
            .unwrap();
    }

    /// True when the last answer says that nothing after it is read.
    fn says_close(&self) -> bool {
        let (_, last) = self.received.rsplit_once("HTTP/1.1 200").unwrap();
        last.contains("connection: close")
    }
}

/// Regression: a drain closed a used connection on which a part of a head had arrived.
#[rstest]
#[case::without_body(REQUEST)]
#[case::with_body(WITH_BODY)]
#[tokio::test(start_paused = true)]
async fn a_drain_waits_for_a_head_that_arrives_on_a_used_connection(
    #[case] first: &str,
    #[values(1, 20, REQUEST.len() - 1)] part: usize,
    #[values(false, true)] is_sent_ahead: bool,
) {
    let mut caller = Caller::connect(STREAM_BYTES, Duration::ZERO);
    if is_sent_ahead {
        caller.send(&format!("{first}{}", &REQUEST[..part])).await;
        caller.read_answers(1).await;
    } else {
        caller.send(first).await;
        caller.read_answers(1).await;
        caller.send(&REQUEST[..part]).await;
    }
    sleep(secs(1)).await;
    caller.drain.cancel();
    sleep(secs(1)).await;
    caller.send(&REQUEST[part..]).await;
    caller.read_to_end().await;
    assert_eq!(caller.answers(), 2);
    assert!(caller.says_close());
    caller.serving.await.unwrap();
}

/// Regression: a request that was sent ahead, behind an answer that does not say that the connection
/// closes, was dropped by a drain.
#[rstest]
#[case::one(&[REQUEST], 2)]
#[case::with_body(&[WITH_BODY], 2)]
// The answer to the second says that the connection closes, so the third has not been read.
#[case::two(&[REQUEST, REQUEST], 2)]
#[case::none(&[], 1)]
#[tokio::test(start_paused = true)]
async fn a_drain_answers_requests_that_were_sent_ahead(
    #[case] ahead: &[&str],
    #[case] expected: usize,
    #[values(false, true)] has_begun: bool,
    #[values(STREAM_BYTES, 16)] stream_bytes: usize,
) {
    let head_delay = if has_begun {
        Duration::ZERO
    } else {
        ANSWER_TIME
    };
    let caller = Caller::connect(stream_bytes, head_delay);
    let all = format!("{REQUEST}{}", ahead.concat());
    // A caller with a small window writes while it reads.
    let (mut read, mut write) = tokio::io::split(caller.stream);
    let writing = tokio::spawn(async move {
        // What is behind the answer that closes the connection may find it closed.
        let _ = write.write_all(all.as_bytes()).await;
        write
    });
    let drain = caller.drain;
    tokio::spawn(async move {
        sleep(ANSWER_TIME / 2).await;
        drain.cancel();
    });
    let mut received = String::new();
    read.read_to_string(&mut received).await.unwrap();
    let answers = received.matches("\r\n0\r\n\r\n").count();
    let (_, last) = received.rsplit_once("HTTP/1.1 200").unwrap();
    match has_begun {
        true => assert_eq!(answers, expected, "{received}"),
        // The first answer says that nothing after it is read.
        false => assert_eq!(answers, 1, "{received}"),
    }
    if answers > 1 || !has_begun {
        assert!(last.contains("connection: close"), "{received}");
    }
    drop(writing);
    caller.serving.await.unwrap();
}

/// A head that never ends holds a drain up no longer than its timeout.
#[tokio::test(start_paused = true)]
async fn a_drain_waits_no_longer_than_the_timeout_of_a_head() {
    let mut caller = Caller::connect(STREAM_BYTES, Duration::ZERO);
    caller.send(REQUEST).await;
    caller.read_answers(1).await;
    caller.send(&REQUEST[..20]).await;
    sleep(secs(1)).await;
    caller.drain.cancel();
    let start = Instant::now();
    timeout(HEAD_TIMEOUT * 2, caller.read_to_end())
        .await
        .unwrap();
    assert!(start.elapsed() <= HEAD_TIMEOUT);
    assert_eq!(caller.answers(), 1);
}
