//! HTTP servers of the hosts and of the origin; their responses are sent over rate-limited links.

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

use super::model::WeightVersion;
use super::net::{Net, next_slice};

type Body = UnsyncBoxBody<Bytes, Infallible>;

/// What a server serves.
#[derive(Clone)]
pub enum Role {
    /// The origin, which publishes these versions.
    Origin(Arc<Vec<WeightVersion>>),
    /// A host's weight service.
    Host {
        /// Number of the host.
        number: usize,
        /// Handles the requests of other hosts.
        service: WeightsService,
        /// True if the host corrupts about one chunk in twenty that it sends.
        corrupts: bool,
    },
}

/// Counters of what the servers of all hosts have sent.
#[derive(Debug, Default)]
pub struct Counters {
    /// Corrupt chunks that a host sent as it holds them, without the corruption fault.
    pub bad_forwarded: AtomicU64,
    /// Chunks that the corrupting host corrupted on sending.
    pub corrupted: AtomicU64,
    /// Requests that hosts received.
    pub requests: AtomicU64,
    /// Body bytes of all responses except those with chunks; most of them answer announcements.
    pub announcement_bytes: AtomicU64,
}

/// State that all servers share.
#[derive(Clone)]
pub struct Context {
    /// Links over which responses are sent.
    pub net: Arc<Net>,
    /// Counters of what is sent.
    pub counters: Arc<Counters>,
    /// Versions with their correct bytes, to detect corrupt chunks.
    pub versions: Arc<Vec<WeightVersion>>,
}

/// A running server; dropping it closes its listener and all of its connections.
pub struct Server {
    task: AbortHandle,
}

impl Drop for Server {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Starts a server on a listener.
pub fn serve(listener: TcpListener, role: Role, cx: Context) -> Server {
    let task = tokio::spawn(async move {
        let mut connections = JoinSet::new();
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                continue;
            };
            let _ = stream.set_nodelay(true);
            let (role, cx) = (role.clone(), cx.clone());
            connections.spawn(async move {
                let service = service_fn(move |req| respond(req, role.clone(), cx.clone()));
                let http = hyper::server::conn::http1::Builder::new();
                let _ = http.serve_connection(TokioIo::new(stream), service).await;
            });
            while connections.try_join_next().is_some() {}
        }
    });
    Server {
        task: task.abort_handle(),
    }
}

/// Loopback address of a host, which stays bound while the host is down.
pub struct HostSocket {
    listener: std::net::TcpListener,
}

impl HostSocket {
    /// Binds a free port.
    pub fn bind() -> Self {
        let listener =
            std::net::TcpListener::bind(("127.0.0.1", 0)).expect("loopback has free ports");
        listener
            .set_nonblocking(true)
            .expect("a socket can be non-blocking");
        Self { listener }
    }

    /// Bound address.
    pub fn addr(&self) -> SocketAddr {
        self.listener
            .local_addr()
            .expect("a bound listener has an address")
    }

    /// Another handle to the bound socket, for a server.
    pub fn listener(&self) -> TcpListener {
        let listener = self.listener.try_clone().expect("a socket can be cloned");
        TcpListener::from_std(listener).expect("the runtime accepts a non-blocking socket")
    }
}

/// Lets the origin or the host's service handle a request, and sends the response over the links to
/// the host that asked.
async fn respond(
    req: Request<Incoming>,
    role: Role,
    cx: Context,
) -> Result<Response<Body>, Infallible> {
    let to = requesting_host(&req);
    let path = req.uri().path().to_owned();
    let (from, status, have_header, bytes) = match role {
        Role::Origin(versions) => {
            let found = versions
                .iter()
                .find_map(|version| version.response_body(&path));
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
            cx.counters.requests.fetch_add(1, Ordering::Relaxed);
            let Ok(response) = service.serve(req).await;
            let status = response.status();
            let have_header = response.headers().get(wire::HAVE_HEADER).cloned();
            let Ok(body) = response.into_body().collect().await;
            let bytes = count_and_corrupt(&cx, &path, body.to_bytes(), corrupts, number);
            (Some(number), status, have_header, bytes)
        }
    };
    let route = to.map_or_else(Vec::new, |to| cx.net.route(from, to));
    let frames = stream::unfold((route, bytes), |(route, mut rest)| async move {
        let slice = next_slice(&route, &mut rest).await?;
        Some((Ok(Frame::data(slice)), (route, rest)))
    });
    let mut response = Response::new(StreamBody::new(frames).boxed_unsync());
    *response.status_mut() = status;
    if let Some(have_header) = have_header {
        response
            .headers_mut()
            .insert(wire::HAVE_HEADER, have_header);
    }
    Ok(response)
}

/// Counts what a host sends, and corrupts about one chunk in twenty if `corrupts` is set.
fn count_and_corrupt(
    cx: &Context,
    path: &str,
    bytes: Bytes,
    corrupts: bool,
    number: usize,
) -> Bytes {
    let Some(wire::PeerRequest::Chunk(version, index)) = wire::PeerRequest::parse(path) else {
        cx.counters
            .announcement_bytes
            .fetch_add(bytes.len() as u64, Ordering::Relaxed);
        return bytes;
    };
    if bytes.is_empty() {
        return bytes;
    }
    let expected = cx.versions.iter().find(|known| known.digest == version);
    if expected.is_none_or(|expected| expected.chunk(index) != bytes) {
        cx.counters.bad_forwarded.fetch_add(1, Ordering::Relaxed);
    }
    let sequence = cx.counters.requests.load(Ordering::Relaxed) + number as u64;
    if !corrupts || !sequence.is_multiple_of(20) {
        return bytes;
    }
    cx.counters.corrupted.fetch_add(1, Ordering::Relaxed);
    let mut bad = bytes.to_vec();
    bad[0] ^= 1;
    bad.into()
}

/// Number of the host that sent the request, from the name in its header; `None` if there is none.
fn requesting_host(req: &Request<Incoming>) -> Option<usize> {
    let host = req.headers().get(wire::HOST_HEADER)?.to_str().ok()?;
    host.strip_prefix('h')?.parse().ok()
}
