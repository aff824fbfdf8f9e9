//! Listeners of hosts and of the origin, behind rate-limited links.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use bytes::Bytes;
use futures_util::stream;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use limpetloom::weights::{WeightsService, wire};
use tokio::net::TcpListener;
use tokio::task::{AbortHandle, JoinSet};

use super::model::Copy;
use super::net::{Net, next_slice};

type Body = UnsyncBoxBody<Bytes, Infallible>;

/// What answers on a listener.
#[derive(Clone)]
pub enum Role {
    /// The origin, which publishes these copies.
    Origin(Arc<Vec<Copy>>),
    /// A host's service.
    Host {
        /// Number of the host.
        number: usize,
        /// The service.
        service: WeightsService,
        /// True when one chunk in twenty that it sends is corrupted.
        corrupts: bool,
    },
}

/// What the listeners have seen.
#[derive(Debug, Default)]
pub struct Seen {
    /// Corrupt chunks that a sound host sent.
    pub bad_forwarded: AtomicU64,
    /// Corrupt chunks that the faulty host sent.
    pub corrupted: AtomicU64,
    /// Requests between hosts.
    pub requests: AtomicU64,
    /// Bytes of announcements and their answers, without heads.
    pub announced: AtomicU64,
}

/// Everything that a listener needs.
#[derive(Clone)]
pub struct Context {
    /// The links.
    pub net: Arc<Net>,
    /// Counters.
    pub seen: Arc<Seen>,
    /// The true bytes.
    pub copies: Arc<Vec<Copy>>,
}

/// A listener that can be stopped with all of its connections.
pub struct Listener {
    task: AbortHandle,
}

impl Drop for Listener {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Starts a listener.
pub fn listen(listener: TcpListener, role: Role, cx: Context) -> Listener {
    let task = tokio::spawn(async move {
        let mut connections = JoinSet::new();
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                continue;
            };
            let _ = stream.set_nodelay(true);
            let (role, cx) = (role.clone(), cx.clone());
            connections.spawn(async move {
                let service = service_fn(move |req| answer(req, role.clone(), cx.clone()));
                let http = hyper::server::conn::http1::Builder::new();
                let _ = http.serve_connection(TokioIo::new(stream), service).await;
            });
            while connections.try_join_next().is_some() {}
        }
    });
    Listener {
        task: task.abort_handle(),
    }
}

/// A loopback address of a host, which stays bound while the host is down.
pub struct Socket {
    listener: std::net::TcpListener,
}

impl Socket {
    /// Binds a free address.
    pub fn bind() -> Self {
        let listener = std::net::TcpListener::bind(("127.0.0.1", 0)).expect("loopback has ports");
        listener
            .set_nonblocking(true)
            .expect("a socket can be non-blocking");
        Self { listener }
    }

    /// The address.
    pub fn addr(&self) -> SocketAddr {
        self.listener
            .local_addr()
            .expect("a bound listener has an address")
    }

    /// Another handle for a listener.
    pub fn listener(&self) -> TcpListener {
        let listener = self.listener.try_clone().expect("a socket can be cloned");
        TcpListener::from_std(listener).expect("the runtime takes a non-blocking socket")
    }
}

async fn answer(
    req: Request<Incoming>,
    role: Role,
    cx: Context,
) -> Result<Response<Body>, Infallible> {
    let receiver = receiver(&req);
    let path = req.uri().path().to_owned();
    let (from, status, head, bytes) = match role {
        Role::Origin(copies) => {
            let found = copies.iter().find_map(|copy| copy.publish(&path));
            let status = match found {
                Some(_) => StatusCode::OK,
                None => StatusCode::NOT_FOUND,
            };
            (None, status, None, found.unwrap_or_default())
        }
        Role::Host {
            number,
            service,
            corrupts,
        } => {
            cx.seen.requests.fetch_add(1, Ordering::Relaxed);
            let Ok(answer) = service.serve(req).await;
            let status = answer.status();
            let head = answer.headers().get(wire::HAVE_HEADER).cloned();
            let Ok(body) = answer.into_body().collect().await;
            let bytes = check(&cx, &path, body.to_bytes(), corrupts, number);
            (Some(number), status, head, bytes)
        }
    };
    let route = receiver.map_or_else(Vec::new, |to| cx.net.route(from, to));
    let frames = stream::unfold((route, bytes), |(route, mut rest)| async move {
        let slice = next_slice(&route, &mut rest).await?;
        Some((Ok(Frame::data(slice)), (route, rest)))
    });
    let mut answer = Response::new(StreamBody::new(frames).boxed_unsync());
    *answer.status_mut() = status;
    if let Some(head) = head {
        answer.headers_mut().insert(wire::HAVE_HEADER, head);
    }
    Ok(answer)
}

/// Counts what a host sends, and corrupts it where the fault says so.
fn check(cx: &Context, path: &str, bytes: Bytes, corrupts: bool, number: usize) -> Bytes {
    let Some(wire::PeerRequest::Chunk(version, index)) = wire::PeerRequest::parse(path) else {
        cx.seen
            .announced
            .fetch_add(bytes.len() as u64, Ordering::Relaxed);
        return bytes;
    };
    if bytes.is_empty() {
        return bytes;
    }
    let truth = cx.copies.iter().find(|copy| copy.digest == version);
    if truth.is_none_or(|copy| copy.chunk(index) != bytes) {
        cx.seen.bad_forwarded.fetch_add(1, Ordering::Relaxed);
    }
    let turn = cx.seen.requests.load(Ordering::Relaxed) + number as u64;
    if !corrupts || !turn.is_multiple_of(20) {
        return bytes;
    }
    cx.seen.corrupted.fetch_add(1, Ordering::Relaxed);
    let mut bad = bytes.to_vec();
    bad[0] ^= 1;
    bad.into()
}

/// Number of the host that asks, from its name.
fn receiver(req: &Request<Incoming>) -> Option<usize> {
    let host = req.headers().get(wire::HOST_HEADER)?.to_str().ok()?;
    host.strip_prefix('h')?.parse().ok()
}
