//! Client of the sources of weights: the origin and the weight store, which have the same protocol.

use std::future::Future;
use std::net::SocketAddr;

use bytes::Bytes;
use hyper::Method;

use super::http::{escape, expect_ok, request};
use super::{HttpClient, PlatformError};

/// Client of the origin or of the weight store.
pub trait WeightSource: Send + Sync + 'static {
    /// Reads the manifest of a version. The bytes are those that its digest covers.
    ///
    /// # Errors
    /// `Missing` when the version does not exist, `Refused` or `Lost` when the source does not
    /// answer.
    fn manifest(
        &self,
        model: &str,
        version: &str,
    ) -> impl Future<Output = Result<Bytes, PlatformError>> + Send;

    /// Reads one chunk of a version, without verifying it.
    ///
    /// # Errors
    /// As [`WeightSource::manifest`].
    fn chunk(
        &self,
        model: &str,
        version: &str,
        index: u32,
    ) -> impl Future<Output = Result<Bytes, PlatformError>> + Send;
}

/// Client of the origin or the weight store over HTTP.
#[derive(Clone, Debug)]
pub struct HttpWeightSource {
    addr: SocketAddr,
    http: HttpClient,
}

impl HttpWeightSource {
    /// Creates a client of the source at `addr`. The timeouts of `http` must suit the bandwidth of
    /// the link to the source.
    pub fn new(addr: SocketAddr, http: HttpClient) -> Self {
        Self { addr, http }
    }

    async fn read(&self, path: &str) -> Result<Bytes, PlatformError> {
        let req = request(Method::GET, self.addr, path, Bytes::new())?;
        let res = expect_ok(self.http.send(req).await?)?;
        Ok(res.into_body())
    }
}

impl WeightSource for HttpWeightSource {
    async fn manifest(&self, model: &str, version: &str) -> Result<Bytes, PlatformError> {
        let path = format!("/manifests/{}/{}", escape(model), escape(version));
        self.read(&path).await
    }

    async fn chunk(&self, model: &str, version: &str, index: u32) -> Result<Bytes, PlatformError> {
        let path = format!("/chunks/{}/{}/{index}", escape(model), escape(version));
        self.read(&path).await
    }
}
