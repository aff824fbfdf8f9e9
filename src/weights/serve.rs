//! Handlers for requests of peers.

use std::convert::Infallible;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Body;
use hyper::{Method, Request, Response, StatusCode};

use super::bitmap::ChunkSet;
use super::client::{MAX_HAVE_BYTES, announcement_body};
use super::core::{Have, WeightsEvent};
use super::service::WeightsService;
use super::wire::{self, PeerRequest, Sender};

/// Timeout for the body of an announcement. Peers send it with its head and give up an answer after
/// about as long.
const HAVE_TIMEOUT: Duration = Duration::from_secs(2);

/// Response to a peer.
pub type PeerResponse = Response<Full<Bytes>>;

impl WeightsService {
    /// Handles a request under [`wire::PATH_PREFIX`].
    ///
    /// # Errors
    ///
    /// Never; a request that cannot be served gets an error status.
    pub async fn serve<B>(&self, req: Request<B>) -> Result<PeerResponse, Infallible>
    where
        B: Body<Data = Bytes>,
        B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
    {
        let response = match (req.method(), PeerRequest::parse(req.uri().path())) {
            (&Method::GET, Some(PeerRequest::Manifest(version))) => {
                self.inner.store.manifest_bytes(&version).map(ok_response)
            }
            (&Method::GET, Some(PeerRequest::Chunk(version, index))) => {
                self.serve_chunk(&version, index).await
            }
            (&Method::POST, Some(PeerRequest::Have(version))) => {
                let sender = Sender::from_headers(req.headers());
                let body = Limited::new(req.into_body(), MAX_HAVE_BYTES).collect();
                let body = tokio::time::timeout(HAVE_TIMEOUT, body).await;
                let body = body.ok().and_then(Result::ok).map(|body| body.to_bytes());
                Some(self.serve_have(version.as_ref(), sender, body))
            }
            _ => None,
        };
        Ok(response.unwrap_or_else(|| status_response(StatusCode::NOT_FOUND)))
    }

    async fn serve_chunk(&self, version: &str, index: u32) -> Option<PeerResponse> {
        let chunk = self.inner.store.chunk(version, index)?;
        let Ok(_slot) = self.inner.uploads.acquire().await else {
            return Some(status_response(StatusCode::SERVICE_UNAVAILABLE));
        };
        self.wait_for_upload_rate(chunk.len() as u64).await;
        let mut response = ok_response(chunk);
        if let Have::Chunks(have) = self.inner.store.have(version)
            && let Ok(value) = wire::have_header(&have).parse()
        {
            response.headers_mut().insert(wire::HAVE_HEADER, value);
        }
        Some(response)
    }

    async fn wait_for_upload_rate(&self, bytes: u64) {
        let Some(limit) = &self.inner.upload_rate else {
            return;
        };
        let until = match limit.lock() {
            Ok(mut limit) => limit.reserve(Instant::now(), bytes),
            Err(_) => return,
        };
        tokio::time::sleep_until(until.into()).await;
    }

    fn serve_have(
        &self,
        version: &str,
        sender: Option<Sender>,
        body: Option<Bytes>,
    ) -> PeerResponse {
        let (Some(sender), Some(body)) = (sender, body) else {
            return status_response(StatusCode::BAD_REQUEST);
        };
        let have = match body.is_empty() {
            true => Have::Nothing,
            false => Have::Chunks(ChunkSet::from_bytes(&body)),
        };
        let event = WeightsEvent::AnnouncementReceived {
            host: sender.host,
            addr: sender.addr,
            version: version.into(),
            have,
        };
        // A full buffer drops the announcement; the next one lists all chunks again.
        let _ = self.inner.announcements.try_send(event);
        match self.inner.store.have(version) {
            Have::Nothing => status_response(StatusCode::NO_CONTENT),
            have => ok_response(announcement_body(&have)),
        }
    }
}

fn ok_response(body: Bytes) -> PeerResponse {
    Response::new(Full::new(body))
}

fn status_response(status: StatusCode) -> PeerResponse {
    let mut response = ok_response(Bytes::new());
    *response.status_mut() = status;
    response
}
