//! Sources of weights: the origin and the weight store, which speak the same protocol.

use std::future::Future;
use std::net::SocketAddr;

use bytes::Bytes;
use hyper::Method;

use super::http::{escape, expect_ok, request};
use super::{HttpClient, PlatformError};

/// Client of the origin or of the weight store.
pub trait WeightSource: Send + Sync + 'static {
    /// Reads the manifest of a version, byte for byte as its digest covers it.
    ///
    /// # Errors
    /// `Missing` when there is no such version, `Refused` or `Lost` when the source does not answer.
    fn manifest(
        &self,
        model: &str,
        version: &str,
    ) -> impl Future<Output = Result<Bytes, PlatformError>> + Send;

    /// Reads one chunk of a version. The bytes are not verified.
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

/// Origin or weight store over HTTP.
#[derive(Clone, Debug)]
pub struct HttpWeightSource {
    addr: SocketAddr,
    http: HttpClient,
}

impl HttpWeightSource {
    /// Makes a client of the source at an address; the time-outs have to suit its link.
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
