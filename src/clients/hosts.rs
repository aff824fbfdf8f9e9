//! Client of the platform's host list.

use std::future::Future;
use std::net::SocketAddr;

use bytes::Bytes;
use hyper::Method;

use crate::membership::HostEntry;

use super::http::{expect_ok, parse, request};
use super::wire::WireHost;
use super::{HttpClient, PlatformError};

/// Client of the host list.
pub trait HostList: Send + Sync + 'static {
    /// Reads the list, which may be outdated.
    ///
    /// # Errors
    /// `Refused` or `Lost` when the server does not answer, `Invalid` when its answer can't be
    /// parsed.
    fn hosts(&self) -> impl Future<Output = Result<Vec<HostEntry>, PlatformError>> + Send;
}

/// Client of the host list over HTTP.
#[derive(Clone, Debug)]
pub struct HttpHostList {
    addr: SocketAddr,
    http: HttpClient,
}

impl HttpHostList {
    /// Creates a client of the host list at `addr`.
    pub fn new(addr: SocketAddr, http: HttpClient) -> Self {
        Self { addr, http }
    }
}

impl HostList for HttpHostList {
    async fn hosts(&self) -> Result<Vec<HostEntry>, PlatformError> {
        let req = request(Method::GET, self.addr, "/hosts", Bytes::new())?;
        let res = expect_ok(self.http.send(req).await?)?;
        let hosts = parse::<Vec<WireHost>>(&res)?;
        Ok(hosts.into_iter().map(HostEntry::from).collect())
    }
}
