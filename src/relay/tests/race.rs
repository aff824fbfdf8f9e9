//! The attempts of one request against endpoints on loopback, without an entry.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bytes::Bytes;
use hyper::header::HeaderMap;
use hyper::http::{request, response};
use hyper::{Method, Request, Response};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::Runtime;
use tokio::task::JoinSet;

use crate::codes::Code;
use crate::dispatch::tests::fixture;
use crate::dispatch::{Assignment, ListedEndpoint};
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
/// Second byte of the engines' addresses in [`fixture::core`]. Tests that serve engines differ in it.
const NETWORK: u8 = 199;
/// Requests in a busy process.
const REQUESTS: usize = 10;
/// Tasks that take turns with each request in a busy process, and how long each takes a turn. A timer runs up
/// to 250 ms late then, and the process never stands still for longer than one turn.
const BUSY_TASKS: usize = 5;
const BUSY_TASK_TIME: Duration = Duration::from_millis(5);
/// Longest wait before a test fails.
const WAIT_LIMIT: Duration = Duration::from_secs(20);

/// Sends no headers and takes every answer for the endpoint's own.
pub(super) struct PlainDialect;

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

/// The same with the engines on another network.
fn relay_to(network: u8) -> Relay<PlainDialect> {
    let relay = relay();
    for (id, host, region) in [("e1", 1, "north"), ("e2", 2, "north"), ("e3", 3, "south")] {
        let listed = ListedEndpoint {
            addr: engine_addr(network, host),
            ..fixture::listed(id, "engines", host, region)
        };
        relay.core().update_endpoint(Instant::now(), listed);
    }
    relay
}

fn engine_addr(network: u8, host: u8) -> SocketAddr {
    SocketAddr::from(([127, network, 0, host], fixture::addr(host).port()))
}

/// An admitted request whose attempts have not been decided.
fn race(relay: &Relay<PlainDialect>) -> Race<PlainDialect> {
    race_within(relay, DEADLINE)
}

/// The same with the time within which the whole answer must arrive.
fn race_within(relay: &Relay<PlainDialect>, time: Duration) -> Race<PlainDialect> {
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
            uri: format!("/chat/{id}").parse().unwrap(),
            body: Bytes::new(),
        },
        route,
        arrived: now,
        deadline: now + time,
        caller_deadline: now + time,
        caller,
    };
    Race::new(ticket, admitted)
}

/// Runs `serve` for each connection to an engine, with the number of attempts of its request before it.
async fn serve_engines<F>(
    network: u8,
    serve: impl Fn(TcpStream, usize) -> F + Clone + Send + 'static,
) where
    F: Future<Output = ()> + Send + 'static,
{
    let attempts: Arc<Mutex<HashMap<Vec<u8>, usize>>> = Arc::default();
    for host in [1, 2, 3] {
        let addr = engine_addr(network, host);
        let listener = TcpListener::bind(addr).await.unwrap();
        let (serve, attempts) = (serve.clone(), attempts.clone());
        tokio::spawn(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                let (serve, attempts) = (serve.clone(), attempts.clone());
                tokio::spawn(async move {
                    let mut req = [0; 4_096];
                    let len = stream.read(&mut req).await.unwrap_or(0);
                    let line = req[..len].split(|byte| *byte == b'\r').next();
                    let number = {
                        let mut attempts = attempts.lock().unwrap();
                        let before = attempts.entry(line.unwrap_or(&[]).to_vec()).or_default();
                        std::mem::replace(before, *before + 1)
                    };
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
    serve_engines(NETWORK, async |mut stream: TcpStream, number| {
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

/// Guards against a second attempt that a busy process puts off until the caller has left, since its timers are as
/// late as after it stood still.
#[tokio::test]
async fn a_busy_process_tries_another_endpoint_beside_a_silent_one() {
    let network = 198;
    serve_engines(network, async |mut stream: TcpStream, number| {
        if number > 0 {
            stream.write_all(HEAD).await.unwrap();
            stream.write_all(EVENT).await.unwrap();
        }
        tokio::time::sleep(WAIT_LIMIT).await;
    })
    .await;
    let relay = relay_to(network);
    let dispatching_relay = relay.clone();
    tokio::spawn(async move { dispatching_relay.run_dispatch_loop().await });
    let mut requests = JoinSet::new();
    // The timers of the requests are due in different turns.
    for _ in 0..REQUESTS {
        let mut race = race_within(&relay, WAIT_LIMIT);
        requests.spawn(async move { matches!(progress(&mut race).await, Progress::Event(_)) });
        for _ in 0..BUSY_TASKS {
            tokio::spawn(async {
                loop {
                    std::thread::sleep(BUSY_TASK_TIME);
                    tokio::task::yield_now().await;
                }
            });
        }
    }
    let answered = requests.join_all().await;
    assert_eq!(answered, [true; REQUESTS]);
}
