//! The platform's host list.

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
    /// Reads the list, which lags behind the hosts.
    ///
    /// # Errors
    /// `Refused` or `Lost` when the list does not answer, `Invalid` when it can not be parsed.
    fn hosts(&self) -> impl Future<Output = Result<Vec<HostEntry>, PlatformError>> + Send;
}

/// Host list over HTTP.
#[derive(Clone, Debug)]
pub struct HttpHostList {
    addr: SocketAddr,
    http: HttpClient,
}

impl HttpHostList {
    /// Makes a client of the host list at an address.
    pub fn new(addr: SocketAddr, http: HttpClient) -> Self {
        Self { addr, http }
    }
}

impl HostList for HttpHostList {
    async fn hosts(&self) -> Result<Vec<HostEntry>, PlatformError> {
        let req = request(Method::GET, self.addr, "/hosts", Bytes::new())?;
        let res = expect_ok(self.http.send(req).await?)?;
        let lines = parse::<Vec<WireHost>>(&res)?;
        Ok(lines.into_iter().map(HostEntry::from).collect())
    }
}
