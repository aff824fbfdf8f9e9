//! Client of an endpoint's admin interface. The agent's driver forwards the requests themselves.

use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use hyper::{Method, Response, StatusCode};
use serde::{Deserialize, Serialize};

use crate::agent::core::EndpointProbe;
use crate::types::{Digest, Generation};

use super::http::{expect_ok, parse, request};
use super::wire::{WireJob, WireJobState, WireLoad, WireLoaded, WireStatus};
use super::{HttpClient, PlatformError};

/// State of a request at an endpoint.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "lowercase")]
pub enum JobState {
    /// The request's answer is complete.
    Done,
    /// The request was cancelled before its answer was complete.
    Cancelled,
    /// The request is paused.
    Paused,
    /// The request runs or waits.
    Running,
    /// The endpoint does not know the request.
    Unknown,
}

/// Admin interface of an endpoint.
pub trait EndpointAdmin: Send + Sync + 'static {
    /// Reads the endpoint's status, which may be outdated.
    ///
    /// # Errors
    /// `Refused` or `Lost` when the endpoint does not answer.
    fn status(&self) -> impl Future<Output = Result<EndpointProbe, PlatformError>> + Send;

    /// Cancels a request; `Done` when its answer was already complete.
    ///
    /// # Errors
    /// As [`EndpointAdmin::status`].
    fn cancel(&self, id: &str) -> impl Future<Output = Result<JobState, PlatformError>> + Send;

    /// Pauses a request.
    ///
    /// # Errors
    /// As [`EndpointAdmin::status`].
    fn pause(&self, id: &str) -> impl Future<Output = Result<JobState, PlatformError>> + Send;

    /// Resumes a paused request.
    ///
    /// # Errors
    /// As [`EndpointAdmin::status`].
    fn resume(&self, id: &str) -> impl Future<Output = Result<JobState, PlatformError>> + Send;

    /// Uploads the manifest of a version to the endpoint's staging area.
    ///
    /// # Errors
    /// As [`EndpointAdmin::status`].
    fn stage_manifest(
        &self,
        version: &str,
        manifest: Bytes,
    ) -> impl Future<Output = Result<(), PlatformError>> + Send;

    /// Uploads a verified chunk of a version to the endpoint's staging area.
    ///
    /// # Errors
    /// As [`EndpointAdmin::status`].
    fn stage_chunk(
        &self,
        version: &str,
        index: u32,
        chunk: Bytes,
    ) -> impl Future<Output = Result<(), PlatformError>> + Send;

    /// Switches the endpoint to a staged version, within `timeout`, and returns the version that is
    /// active afterwards.
    ///
    /// # Errors
    /// `Conflict` when the endpoint has seen a higher fencing number, `Missing` when the staged
    /// version is incomplete, else as [`EndpointAdmin::status`].
    fn load(
        &self,
        version: &str,
        fence: Generation,
        timeout: Duration,
    ) -> impl Future<Output = Result<Digest, PlatformError>> + Send;
}

/// Admin interface of an endpoint over HTTP.
#[derive(Clone, Debug)]
pub struct HttpEndpoint {
    addr: SocketAddr,
    http: HttpClient,
}

impl HttpEndpoint {
    /// Creates a client of the endpoint at `addr`.
    pub fn new(addr: SocketAddr, http: HttpClient) -> Self {
        Self { addr, http }
    }

    async fn post_job(&self, path: &str, id: &str) -> Result<JobState, PlatformError> {
        let body = to_json(&WireJob { id })?;
        let req = request(Method::POST, self.addr, path, body)?;
        let res = expect_ok(self.http.send(req).await?)?;
        Ok(parse::<WireJobState>(&res)?.state)
    }

    async fn upload(&self, path: &str, body: Bytes) -> Result<(), PlatformError> {
        let req = request(Method::PUT, self.addr, path, body)?;
        expect_ok(self.http.send(req).await?).map(drop)
    }
}

impl EndpointAdmin for HttpEndpoint {
    async fn status(&self) -> Result<EndpointProbe, PlatformError> {
        let req = request(Method::GET, self.addr, "/admin/status", Bytes::new())?;
        let res = expect_ok(self.http.send(req).await?)?;
        Ok(parse::<WireStatus>(&res)?.into())
    }

    async fn cancel(&self, id: &str) -> Result<JobState, PlatformError> {
        self.post_job("/admin/cancel", id).await
    }

    async fn pause(&self, id: &str) -> Result<JobState, PlatformError> {
        self.post_job("/admin/pause", id).await
    }

    async fn resume(&self, id: &str) -> Result<JobState, PlatformError> {
        self.post_job("/admin/resume", id).await
    }

    async fn stage_manifest(&self, version: &str, manifest: Bytes) -> Result<(), PlatformError> {
        let path = format!("/admin/staging/{version}/manifest");
        self.upload(&path, manifest).await
    }

    async fn stage_chunk(
        &self,
        version: &str,
        index: u32,
        chunk: Bytes,
    ) -> Result<(), PlatformError> {
        let path = format!("/admin/staging/{version}/{index}");
        self.upload(&path, chunk).await
    }

    async fn load(
        &self,
        version: &str,
        fence: Generation,
        timeout: Duration,
    ) -> Result<Digest, PlatformError> {
        let body = to_json(&WireLoad { version, fence })?;
        let req = request(Method::POST, self.addr, "/admin/load", body)?;
        let res = self.http.send_within(req, timeout).await?;
        let res = expect_loaded(res)?;
        Ok(parse::<WireLoaded>(&res)?.version.into())
    }
}

/// Returns the response to a load order, or an error when its status is not 200.
fn expect_loaded(res: Response<Bytes>) -> Result<Response<Bytes>, PlatformError> {
    match res.status() {
        StatusCode::CONFLICT => Err(PlatformError::Conflict { current: 0 }),
        StatusCode::UNPROCESSABLE_ENTITY => Err(PlatformError::Missing),
        _ => expect_ok(res),
    }
}

fn to_json(value: &impl Serialize) -> Result<Bytes, PlatformError> {
    serde_json::to_vec(value)
        .map(Bytes::from)
        .map_err(|e| PlatformError::Refused(e.to_string()))
}
