//! Stand-in for the weight origin and for the weight store, which speak the same protocol.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use futures_util::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::{Request, Response, StatusCode};
use serde_json::json;
use tokio::time::Instant;

use crate::reply::{Body, Reply, answer, percent_decode};
use crate::server::{ANY_PORT, Server};

/// Largest part of a chunk that is sent at a time, so that concurrent answers share the link.
const FRAME_BYTES: usize = 16 << 10;

/// Configuration of a stand-in origin or weight store.
#[derive(Clone, Debug)]
pub struct OriginConfig {
    /// Address to listen on.
    pub addr: SocketAddr,
    /// Rate of the link that all chunk answers share, in bytes per second.
    pub link_bytes_per_s: u64,
}

impl Default for OriginConfig {
    fn default() -> Self {
        Self {
            addr: ANY_PORT,
            link_bytes_per_s: u64::MAX,
        }
    }
}

/// Injected faults of a stand-in origin, which a test can change at any time.
#[derive(Clone, Debug, Default)]
pub struct OriginFaults {
    /// True while all requests are answered with status 503.
    pub outage: bool,
    /// True while no chunk bytes are sent, not even of answers that have begun.
    pub stalled: bool,
    /// Corrupts every n-th chunk served; 0 for none.
    pub corrupt_every: u64,
}

/// Counts since the stand-in was spawned.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct OriginCounters {
    /// Manifests served.
    pub manifests: u64,
    /// Requests for existing chunks.
    pub chunks: u64,
    /// Chunk bytes handed to the link, whether or not the client still received them.
    pub bytes: u64,
    /// Chunks that were corrupted.
    pub corrupted: u64,
}

/// Running stand-in for the origin or the weight store; dropping it stops it.
#[derive(Debug)]
pub struct Origin {
    server: Server,
    state: Arc<State>,
}

#[derive(Debug)]
struct State {
    link_bytes_per_s: u64,
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    /// Published versions, by the names of model and version.
    versions: HashMap<(String, String), Version>,
    faults: OriginFaults,
    counters: OriginCounters,
    /// Time at which the link has sent all bytes reserved so far.
    link_free_at: Option<Instant>,
}

#[derive(Clone, Debug)]
struct Version {
    seed: u64,
    size: u64,
    chunk_size: u32,
    manifest: Bytes,
}

impl Origin {
    /// Starts the stand-in without any version.
    ///
    /// # Errors
    /// The system's error when the address cannot be bound.
    pub fn spawn(cfg: OriginConfig) -> io::Result<Self> {
        let state = Arc::new(State {
            link_bytes_per_s: cfg.link_bytes_per_s.max(1),
            inner: Mutex::default(),
        });
        let shared = Arc::clone(&state);
        let server = Server::spawn(cfg.addr, move |req| handle(Arc::clone(&shared), req))?;
        Ok(Self { server, state })
    }

    /// Address of the origin.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Takes the origin off the network, or back onto it.
    pub fn set_online(&self, online: bool) {
        self.server.set_online(online);
    }

    /// Changes the injected faults.
    pub fn update_faults(&self, change: impl FnOnce(&mut OriginFaults)) {
        change(&mut self.state.lock().faults);
    }

    /// Counts so far.
    pub fn counters(&self) -> OriginCounters {
        self.state.lock().counters.clone()
    }

    /// Publishes a version, replacing one with the same name, and returns the digest of its
    /// manifest.
    ///
    /// The content is derived from the seed, so another seed under the same name gives another
    /// digest.
    pub fn publish(
        &self,
        model: &str,
        version: &str,
        seed: u64,
        size: u64,
        chunk_size: u32,
    ) -> String {
        let manifest = manifest(model, version, seed, size, chunk_size);
        let digest = blake3::hash(&manifest).to_hex().to_string();
        let published = Version {
            seed,
            size,
            chunk_size,
            manifest: manifest.into(),
        };
        self.state
            .lock()
            .versions
            .insert((model.to_owned(), version.to_owned()), published);
        digest
    }
}

fn manifest(model: &str, version: &str, seed: u64, size: u64, chunk_size: u32) -> Vec<u8> {
    let chunks = (0..size.div_ceil(u64::from(chunk_size)))
        .map(|index| chunk(seed, size, chunk_size, index))
        .map(|bytes| blake3::hash(&bytes).to_hex().to_string())
        .collect::<Vec<_>>();
    json!({
        "model": model,
        "version": version,
        "size": size,
        "chunk_size": chunk_size,
        "chunks": chunks,
    })
    .to_string()
    .into_bytes()
}

/// Content of one chunk, derived from the seed; the last chunk can be shorter.
fn chunk(seed: u64, size: u64, chunk_size: u32, index: u64) -> Vec<u8> {
    let start = index * u64::from(chunk_size);
    let len = size.saturating_sub(start).min(u64::from(chunk_size));
    let mut buf = vec![0; usize::try_from(len).unwrap_or_default()];
    let mut hasher = blake3::Hasher::new();
    hasher.update(&seed.to_le_bytes());
    hasher.update(&index.to_le_bytes());
    hasher.finalize_xof().fill(&mut buf);
    buf
}

impl State {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Reserves the link for a number of bytes and returns the time at which they have been sent.
    fn reserve_link(&self, bytes: usize) -> Instant {
        let nanos = (bytes as u128 * 1_000_000_000) / u128::from(self.link_bytes_per_s);
        let cost = Duration::from_nanos(u64::try_from(nanos).unwrap_or(u64::MAX));
        let mut inner = self.lock();
        let now = Instant::now();
        let start = inner.link_free_at.map_or(now, |free_at| free_at.max(now));
        inner.link_free_at = Some(start + cost);
        inner.counters.bytes += bytes as u64;
        start + cost
    }
}

async fn handle(state: Arc<State>, req: Request<Incoming>) -> Reply {
    if state.lock().faults.outage {
        return Some(answer(StatusCode::SERVICE_UNAVAILABLE, ""));
    }
    let parts = req
        .uri()
        .path()
        .split('/')
        .skip(1)
        .map(percent_decode)
        .collect::<Vec<_>>();
    let res = match parts.iter().map(String::as_str).collect::<Vec<_>>()[..] {
        ["manifests", model, version] => serve_manifest(&state, model, version),
        ["chunks", model, version, index] => serve_chunk(&state, model, version, index),
        _ => None,
    };
    Some(res.unwrap_or_else(|| answer(StatusCode::NOT_FOUND, "")))
}

fn serve_manifest(state: &State, model: &str, version: &str) -> Option<Response<Body>> {
    let mut inner = state.lock();
    let key = (model.to_owned(), version.to_owned());
    let manifest = inner.versions.get(&key)?.manifest.clone();
    inner.counters.manifests += 1;
    Some(answer(StatusCode::OK, manifest))
}

fn serve_chunk(
    state: &Arc<State>,
    model: &str,
    version: &str,
    index: &str,
) -> Option<Response<Body>> {
    let index = index.parse().ok()?;
    let mut inner = state.lock();
    let key = (model.to_owned(), version.to_owned());
    let published = inner.versions.get(&key)?.clone();
    if index >= published.size.div_ceil(u64::from(published.chunk_size)) {
        return None;
    }
    inner.counters.chunks += 1;
    let every = inner.faults.corrupt_every;
    let is_corrupt = every > 0 && inner.counters.chunks.is_multiple_of(every);
    inner.counters.corrupted += u64::from(is_corrupt);
    drop(inner);
    let mut bytes = chunk(published.seed, published.size, published.chunk_size, index);
    if let Some(first) = bytes.first_mut().filter(|_| is_corrupt) {
        *first ^= 0xff;
    }
    Some(paced_answer(Arc::clone(state), bytes.into()))
}

/// Answer that sends bytes at the rate of the link.
fn paced_answer(state: Arc<State>, bytes: Bytes) -> Response<Body> {
    let len = bytes.len();
    let frames = stream::unfold((state, bytes), |(state, mut rest)| async move {
        if rest.is_empty() {
            return None;
        }
        while state.lock().faults.stalled {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        let frame = rest.split_to(rest.len().min(FRAME_BYTES));
        let sent_at = state.reserve_link(frame.len());
        tokio::time::sleep_until(sent_at).await;
        Some((Ok(Frame::data(frame)), (state, rest)))
    });
    let mut res = Response::new(StreamBody::new(frames).boxed_unsync());
    res.headers_mut().insert("content-length", len.into());
    res
}
