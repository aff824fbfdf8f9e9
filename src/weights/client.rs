//! HTTP client for requests to peers, origins and engines.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::{Method, Request, Response, StatusCode, body::Incoming};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;

use crate::http::{CollectError, collect_bounded, is_readable_answer, too_many_interim_answers};

use super::bitmap::ChunkSet;
use super::core::{Have, Source, WantedVersion};
use super::error::FetchError;
use super::origin::OriginApi;
use super::wire::{self, PeerRequest, Sender};

/// Maximum size of a manifest in bytes; a larger one is corrupt.
const MAX_MANIFEST_BYTES: usize = 8 << 20;
/// Maximum size in bytes of the bitmap in an announcement or its answer.
pub(super) const MAX_HAVE_BYTES: usize = 16 << 10;
/// Maximum size in bytes of the head of an answer, in which a bitmap has two digits a byte.
const MAX_HEAD_BYTES: usize = 4 * MAX_HAVE_BYTES;
/// Maximum time for a connection attempt.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// A downloaded chunk, not yet verified.
pub(super) struct FetchedChunk {
    pub bytes: Bytes,
    pub have: Option<ChunkSet>,
    pub took: Duration,
}

/// HTTP client for the transfer of weights.
#[derive(Clone, Debug)]
pub(super) struct WeightsClient {
    http: Client<HttpConnector, Full<Bytes>>,
    own: Sender,
    timeout: Duration,
    origin: Arc<dyn OriginApi>,
}

impl WeightsClient {
    pub fn new(own: Sender, timeout: Duration, origin: Arc<dyn OriginApi>) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT.min(timeout)));
        Self {
            http: Client::builder(TokioExecutor::new())
                .http1_max_buf_size(MAX_HEAD_BYTES)
                .build(connector),
            own,
            timeout,
            origin,
        }
    }

    pub async fn manifest(
        &self,
        wanted: &WantedVersion,
        source: &Source,
        addr: SocketAddr,
    ) -> Result<Bytes, FetchError> {
        let path = match source {
            Source::Peer(_) => PeerRequest::Manifest(wanted.version.clone()).path(),
            Source::Origin(_) => self.origin.manifest_path(wanted),
        };
        let response = self.get(source, addr, &path);
        let response = self.with_timeout(response).await?;
        self.with_timeout(read_body(check_status(response)?, MAX_MANIFEST_BYTES))
            .await
    }

    pub async fn chunk(
        &self,
        wanted: &WantedVersion,
        index: u32,
        source: &Source,
        addr: SocketAddr,
        size: u64,
    ) -> Result<FetchedChunk, FetchError> {
        let path = match source {
            Source::Peer(_) => PeerRequest::Chunk(wanted.version.clone(), index).path(),
            Source::Origin(_) => self.origin.chunk_path(wanted, index),
        };
        let start = Instant::now();
        let fetch = async {
            let response = check_status(self.get(source, addr, &path).await?)?;
            let have = response
                .headers()
                .get(wire::HAVE_HEADER)
                .and_then(|value| wire::parse_have_header(value.to_str().ok()?));
            // A body longer than the size in the manifest is corrupt.
            let bytes = read_body(response, size as usize).await?;
            Ok((bytes, have))
        };
        let (bytes, have) = self.with_timeout(fetch).await?;
        Ok(FetchedChunk {
            bytes,
            have,
            took: start.elapsed(),
        })
    }

    pub async fn announce(
        &self,
        addr: SocketAddr,
        path: &PeerRequest,
        have: &Have,
    ) -> Result<Have, FetchError> {
        let body = announcement_body(have);
        let call = async {
            let response = self.call(Method::POST, addr, &path.path(), body).await?;
            match response.status() {
                StatusCode::NO_CONTENT => Ok(Have::Nothing),
                StatusCode::OK => {
                    let buf = read_body(response, MAX_HAVE_BYTES).await?;
                    Ok(Have::Chunks(ChunkSet::from_bytes(&buf)))
                }
                _ => Err(FetchError::Unreachable),
            }
        };
        self.with_timeout(call).await
    }

    pub async fn put(&self, engine: SocketAddr, path: &str, body: Bytes) -> Result<(), FetchError> {
        let call = async {
            let response = check_status(self.call(Method::PUT, engine, path, body).await?)?;
            read_body(response, MAX_HAVE_BYTES).await
        };
        self.with_timeout(call).await.map(drop)
    }

    /// Sends a GET request to a peer or an origin.
    ///
    /// The connection to an origin is closed afterwards: an origin can handle few connections, and
    /// each host downloads little from it.
    async fn get(
        &self,
        source: &Source,
        addr: SocketAddr,
        path: &str,
    ) -> Result<Response<Incoming>, FetchError> {
        let mut req = self.request(Method::GET, addr, path, Bytes::new())?;
        if matches!(source, Source::Origin(_)) {
            let close = HeaderValue::from_static("close");
            req.headers_mut().insert(CONNECTION, close);
        }
        self.send(req).await
    }

    fn request(
        &self,
        method: Method,
        addr: SocketAddr,
        path: &str,
        body: Bytes,
    ) -> Result<Request<Full<Bytes>>, FetchError> {
        Request::builder()
            .method(method)
            .uri(format!("http://{addr}{path}"))
            .header(wire::HOST_HEADER, &*self.own.host)
            .header(wire::ADDR_HEADER, self.own.addr.to_string())
            .body(Full::new(body))
            .map_err(|_| FetchError::Unreachable)
    }

    async fn call(
        &self,
        method: Method,
        addr: SocketAddr,
        path: &str,
        body: Bytes,
    ) -> Result<Response<Incoming>, FetchError> {
        let req = self.request(method, addr, path, body)?;
        self.send(req).await
    }

    async fn send(&self, mut req: Request<Full<Bytes>>) -> Result<Response<Incoming>, FetchError> {
        let flooded = too_many_interim_answers(&mut req);
        let response = tokio::select! {
            () = flooded => return Err(FetchError::Unreachable),
            response = self.http.request(req) => response,
        };
        let response = response.map_err(|_| FetchError::Unreachable)?;
        match is_readable_answer(response.status(), response.headers()) {
            true => Ok(response),
            false => Err(FetchError::Unreachable),
        }
    }

    async fn with_timeout<T>(
        &self,
        call: impl Future<Output = Result<T, FetchError>>,
    ) -> Result<T, FetchError> {
        tokio::time::timeout(self.timeout, call)
            .await
            .unwrap_or(Err(FetchError::TimedOut))
    }
}

/// Body of an announcement or its answer; only [`Have::Nothing`] has an empty body.
pub(super) fn announcement_body(have: &Have) -> Bytes {
    match have {
        Have::Nothing => Bytes::new(),
        Have::Chunks(have) if have.memory() == 0 => Bytes::from_static(&[0]),
        Have::Chunks(have) => Bytes::from(have.to_bytes()),
    }
}

fn check_status(response: Response<Incoming>) -> Result<Response<Incoming>, FetchError> {
    match response.status() {
        StatusCode::OK => Ok(response),
        StatusCode::NOT_FOUND => Err(FetchError::Missing),
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => Err(FetchError::Busy),
        _ => Err(FetchError::Unreachable),
    }
}

async fn read_body(response: Response<Incoming>, limit: usize) -> Result<Bytes, FetchError> {
    let body = collect_bounded(response.into_body(), limit).await;
    body.map_err(|err| match err {
        CollectError::TooLarge(_) => FetchError::Corrupt,
        CollectError::Broken(_) | CollectError::Stalled(_) => FetchError::Unreachable,
    })
}
