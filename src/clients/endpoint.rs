//! Control calls of an endpoint; requests themselves are forwarded by the agent's shell.

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
    /// The answer is complete.
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

/// Control calls of an endpoint.
pub trait EndpointAdmin: Send + Sync + 'static {
    /// Reads the endpoint's report of itself, which may lag.
    ///
    /// # Errors
    /// `Refused` or `Lost` when the endpoint does not answer.
    fn status(&self) -> impl Future<Output = Result<EndpointProbe, PlatformError>> + Send;

    /// Cancels a request; `Done` when the cancellation came too late.
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

    /// Puts the manifest of a version into the endpoint's staging.
    ///
    /// # Errors
    /// As [`EndpointAdmin::status`].
    fn stage_manifest(
        &self,
        version: &str,
        manifest: Bytes,
    ) -> impl Future<Output = Result<(), PlatformError>> + Send;

    /// Puts a verified chunk of a version into the endpoint's staging.
    ///
    /// # Errors
    /// As [`EndpointAdmin::status`].
    fn stage_chunk(
        &self,
        version: &str,
        index: u32,
        chunk: Bytes,
    ) -> impl Future<Output = Result<(), PlatformError>> + Send;

    /// Orders a switch to a staged version and returns the version that is active afterwards.
    ///
    /// # Errors
    /// `Conflict` when the endpoint has seen a higher fencing number, `Missing` when the staging
    /// is incomplete, else as [`EndpointAdmin::status`].
    fn load(
        &self,
        version: &str,
        fence: Generation,
        limit: Duration,
    ) -> impl Future<Output = Result<Digest, PlatformError>> + Send;
}

/// Control calls of an endpoint over HTTP.
#[derive(Clone, Debug)]
pub struct HttpEndpoint {
    addr: SocketAddr,
    http: HttpClient,
}

impl HttpEndpoint {
    /// Makes a client of the endpoint at an address.
    pub fn new(addr: SocketAddr, http: HttpClient) -> Self {
        Self { addr, http }
    }

    async fn order(&self, path: &str, id: &str) -> Result<JobState, PlatformError> {
        let body = to_json(&WireJob { id })?;
        let req = request(Method::POST, self.addr, path, body)?;
        let res = expect_ok(self.http.send(req).await?)?;
        Ok(parse::<WireJobState>(&res)?.state)
    }

    async fn stage(&self, path: &str, body: Bytes) -> Result<(), PlatformError> {
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
        self.order("/admin/cancel", id).await
    }

    async fn pause(&self, id: &str) -> Result<JobState, PlatformError> {
        self.order("/admin/pause", id).await
    }

    async fn resume(&self, id: &str) -> Result<JobState, PlatformError> {
        self.order("/admin/resume", id).await
    }

    async fn stage_manifest(&self, version: &str, manifest: Bytes) -> Result<(), PlatformError> {
        let path = format!("/admin/staging/{version}/manifest");
        self.stage(&path, manifest).await
    }

    async fn stage_chunk(
        &self,
        version: &str,
        index: u32,
        chunk: Bytes,
    ) -> Result<(), PlatformError> {
        let path = format!("/admin/staging/{version}/{index}");
        self.stage(&path, chunk).await
    }

    async fn load(
        &self,
        version: &str,
        fence: Generation,
        limit: Duration,
    ) -> Result<Digest, PlatformError> {
        let body = to_json(&WireLoad { version, fence })?;
        let req = request(Method::POST, self.addr, "/admin/load", body)?;
        let res = self.http.send_within(req, limit).await?;
        let res = load_refusal(res)?;
        Ok(parse::<WireLoaded>(&res)?.version.into())
    }
}

fn load_refusal(res: Response<Bytes>) -> Result<Response<Bytes>, PlatformError> {
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
