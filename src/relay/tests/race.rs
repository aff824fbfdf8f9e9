//! The attempts of one request against endpoints on loopback, without an entry.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use hyper::header::HeaderMap;
use hyper::http::{request, response};
use hyper::{Method, Request, Response};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::Runtime;

use crate::codes::Code;
use crate::dispatch::Assignment;
use crate::dispatch::tests::fixture;
use crate::http::AnswerBody;
use crate::relay::answer::OutgoingRequest;
use crate::relay::handle::{AdmittedRequest, Relay};
use crate::relay::race::{Progress, Race};
use crate::relay::ticket::Ticket;
use crate::relay::{AnswerHead, Dialect, Guards, RequestHead, ResumePoint};
use crate::telemetry::Metrics;
use crate::types::{ChangeTime, Refusal};

const HEAD: &[u8] = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
const EVENT: &[u8] = b"f\r\nid: 1\ndata: a\n\n\r\n";
const BODY_END: &[u8] = b"0\r\n\r\n";
/// Deadline of a request.
const DEADLINE: Duration = Duration::from_secs(6);
/// Longest wait before a test fails.
const WAIT_LIMIT: Duration = Duration::from_secs(20);

/// Sends no headers and takes every answer for the endpoint's own.
struct PlainDialect;

impl Dialect for PlainDialect {
    fn parse_request_head(&self, _: &request::Parts) -> Result<RequestHead, Code> {
        Err(Code::Malformed)
    }

    fn request_id(&self, _: &HeaderMap) -> Option<Arc<str>> {
        None
    }

    fn attempt_headers(
        &self,
        _: &HeaderMap,
        _: &Assignment,
        _: Duration,
        _: ResumePoint,
    ) -> HeaderMap {
        HeaderMap::new()
    }

    fn parse_answer_head(&self, _: &response::Parts, _: &str) -> AnswerHead {
        AnswerHead {
            not_run: false,
            wrong_instance: false,
            is_authentic: true,
            version: Some(1),
            statement: None,
        }
    }

    fn answer_headers(&self, _: &HeaderMap) -> HeaderMap {
        HeaderMap::new()
    }

    fn refusal_response(&self, _: Option<&Arc<str>>, _: &Refusal) -> Response<AnswerBody> {
        Response::new(crate::http::full(Bytes::new()))
    }

    fn local_answer<B>(&self, _: &Request<B>) -> Option<Response<AnswerBody>> {
        None
    }
}

fn relay() -> Relay<PlainDialect> {
    let now = Instant::now();
    Relay::new(
        PlainDialect,
        fixture::core(now),
        Guards::new(now, 1),
        Metrics::new(),
    )
}

/// An admitted request whose attempts have not been decided.
fn race(relay: &Relay<PlainDialect>) -> Race<PlainDialect> {
    let now = Instant::now();
    let caller = fixture::request("chat");
    let (id, route) = {
        let mut core = relay.core();
        let id = core.admit(now, &caller).unwrap();
        (id, core.route(id).unwrap())
    };
    let ticket = Ticket {
        relay: relay.clone(),
        id,
        request_id: caller.request_id.clone(),
        route: route.clone(),
        arrived: now,
    };
    let admitted = AdmittedRequest {
        last_event_id: None,
        headers: HeaderMap::new(),
        outgoing: OutgoingRequest {
            method: Method::POST,
            uri: "/chat/x".parse().unwrap(),
            body: Bytes::new(),
        },
        route,
        arrived: now,
        deadline: now + DEADLINE,
        caller_deadline: now + DEADLINE,
        caller,
    };
    Race::new(ticket, admitted)
}

/// Runs `serve` for each connection to an engine, with the number of connections before it.
async fn serve_engines<F>(serve: impl Fn(TcpStream, usize) -> F + Clone + Send + 'static)
where
    F: Future<Output = ()> + Send + 'static,
{
    let connections = Arc::new(AtomicUsize::new(0));
    for host in [1, 2, 3] {
        let addr: SocketAddr = fixture::addr(host);
        let listener = TcpListener::bind(addr).await.unwrap();
        let (serve, connections) = (serve.clone(), connections.clone());
        tokio::spawn(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                let number = connections.fetch_add(1, Ordering::SeqCst);
                let serve = serve.clone();
                tokio::spawn(async move {
                    let mut req = [0; 4_096];
                    let _ = stream.read(&mut req).await;
                    serve(stream, number).await;
                });
            }
        });
    }
}

async fn progress(race: &mut Race<PlainDialect>) -> Progress {
    let next = tokio::time::timeout(WAIT_LIMIT, race.next()).await;
    next.expect("the request makes no progress")
}

/// Guards against a request that is never answered, since its attempt was taken back before its task
/// had received the decision to send it.
#[test]
fn an_attempt_that_is_taken_back_before_it_is_opened_ends() {
    let rt = Runtime::new().unwrap();
    let relay = relay();
    let _guard = rt.enter();
    let mut race = race(&relay);
    let now = Instant::now();
    relay
        .core()
        .set_wanted_version(now, fixture::MODEL, 2, ChangeTime::Unknown);
    relay.dispatch_waiting();
    let looping = relay.clone();
    rt.spawn(async move { looping.run_dispatch_loop().await });
    let (tx, rx) = std::sync::mpsc::channel();
    rt.spawn(async move {
        let refused = match race.next().await {
            Progress::Refused(refused) => Some(refused.refusal.code),
            _ => None,
        };
        tx.send(refused).unwrap();
    });
    let refused = rx.recv_timeout(WAIT_LIMIT);
    // A task that never yields would block the end of the runtime.
    rt.shutdown_background();
    // Nothing was sent.
    assert_eq!(refused, Ok(Some(Code::NoEndpoint)));
}

/// Guards against a second attempt that is closed because the silent one beside it ends without an event.
#[tokio::test]
async fn a_silent_attempt_that_ends_without_an_event_leaves_the_other_one() {
    serve_engines(async |mut stream: TcpStream, number| {
        stream.write_all(HEAD).await.unwrap();
        let (delay, rest) = match number {
            0 => (Duration::from_millis(2_600), BODY_END),
            _ => (Duration::from_millis(1_400), EVENT),
        };
        tokio::time::sleep(delay).await;
        let _ = stream.write_all(rest).await;
        tokio::time::sleep(DEADLINE).await;
    })
    .await;
    let relay = relay();
    let mut race = race(&relay);
    assert!(matches!(progress(&mut race).await, Progress::Event(_)));
}
