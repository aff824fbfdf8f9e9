//! Client of the object API: versioned objects with conditional writes and watches.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::{Method, Response, StatusCode};

use crate::types::Generation;

use super::http::{escape, expect_ok, parse, request};
use super::wire::WireObject;
use super::{HttpClient, PlatformError};

/// Header that carries the version of an object.
const VERSION_HEADER: &str = "x-version";

/// An object with its version.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Object {
    /// Key of the object.
    pub key: Arc<str>,
    /// Version of the object, taken from one counter for the whole store.
    pub version: Generation,
    /// Value of the object.
    pub value: Arc<str>,
}

/// A change that a watch returned.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Change {
    /// Key of the object.
    pub key: Arc<str>,
    /// Version of the object after the change.
    pub version: Generation,
    /// New value; `None` when the object was deleted.
    pub value: Option<Arc<str>>,
}

/// Client of the object API.
pub trait ObjectApi: Send + Sync + 'static {
    /// Reads an object; `None` when it does not exist. The result may be stale.
    ///
    /// # Errors
    /// `Refused` or `Lost` when the object API does not answer.
    fn get(&self, key: &str) -> impl Future<Output = Result<Option<Object>, PlatformError>> + Send;

    /// Writes an object and returns its new version, provided that its version is `if_version`; 0
    /// means that the object must not exist.
    ///
    /// # Errors
    /// After `Conflict` or `Refused` nothing was written; after `Lost` or `Invalid` the write may
    /// have happened.
    fn put(
        &self,
        key: &str,
        value: &str,
        if_version: Generation,
    ) -> impl Future<Output = Result<Generation, PlatformError>> + Send;

    /// Deletes an object, provided that its version is `if_version`.
    ///
    /// # Errors
    /// As [`ObjectApi::put`].
    fn delete(
        &self,
        key: &str,
        if_version: Generation,
    ) -> impl Future<Output = Result<(), PlatformError>> + Send;

    /// Lists the objects whose keys begin with `prefix`.
    ///
    /// # Errors
    /// As [`ObjectApi::get`].
    fn list(&self, prefix: &str)
    -> impl Future<Output = Result<Vec<Object>, PlatformError>> + Send;

    /// Waits for changes later than version `after` to objects whose keys begin with `prefix`;
    /// empty when there were none within `wait`.
    ///
    /// # Errors
    /// As [`ObjectApi::get`].
    fn watch(
        &self,
        prefix: &str,
        after: Generation,
        wait: Duration,
    ) -> impl Future<Output = Result<Vec<Change>, PlatformError>> + Send;
}

/// Client of the object API over HTTP.
#[derive(Clone, Debug)]
pub struct HttpObjectApi {
    addr: SocketAddr,
    http: HttpClient,
}

impl HttpObjectApi {
    /// Creates a client of the object API at `addr`.
    pub fn new(addr: SocketAddr, http: HttpClient) -> Self {
        Self { addr, http }
    }

    async fn write(
        &self,
        method: Method,
        key: &str,
        value: Bytes,
        if_version: Generation,
    ) -> Result<Response<Bytes>, PlatformError> {
        let path = format!("/objects/{}?if_version={if_version}", escape(key));
        let res = self
            .http
            .send(request(method, self.addr, &path, value)?)
            .await?;
        if res.status() == StatusCode::CONFLICT {
            let current = version_of(&res).unwrap_or_default();
            return Err(PlatformError::Conflict { current });
        }
        expect_ok(res)
    }
}

impl ObjectApi for HttpObjectApi {
    async fn get(&self, key: &str) -> Result<Option<Object>, PlatformError> {
        let path = format!("/objects/{}", escape(key));
        let req = request(Method::GET, self.addr, &path, Bytes::new())?;
        match self.http.send(req).await.and_then(expect_ok) {
            Ok(res) => Ok(Some(Object {
                key: key.into(),
                version: version_of(&res)?,
                value: text(&res)?.into(),
            })),
            Err(PlatformError::Missing) => Ok(None),
            Err(e) => Err(e),
        }
    }

    async fn put(
        &self,
        key: &str,
        value: &str,
        if_version: Generation,
    ) -> Result<Generation, PlatformError> {
        let value = Bytes::copy_from_slice(value.as_bytes());
        let res = self.write(Method::PUT, key, value, if_version).await?;
        version_of(&res)
    }

    async fn delete(&self, key: &str, if_version: Generation) -> Result<(), PlatformError> {
        self.write(Method::DELETE, key, Bytes::new(), if_version)
            .await
            .map(drop)
    }

    async fn list(&self, prefix: &str) -> Result<Vec<Object>, PlatformError> {
        let path = format!("/objects?prefix={}", escape(prefix));
        let req = request(Method::GET, self.addr, &path, Bytes::new())?;
        let res = expect_ok(self.http.send(req).await?)?;
        parse::<Vec<WireObject>>(&res)?
            .into_iter()
            .map(Object::try_from)
            .collect()
    }

    async fn watch(
        &self,
        prefix: &str,
        after: Generation,
        wait: Duration,
    ) -> Result<Vec<Change>, PlatformError> {
        let prefix = escape(prefix);
        let wait_ms = wait.as_millis();
        let path = format!("/watch?prefix={prefix}&after={after}&wait_ms={wait_ms}");
        let req = request(Method::GET, self.addr, &path, Bytes::new())?;
        let total = wait.saturating_add(self.http.total_timeout());
        let res = expect_ok(self.http.send_within(req, total).await?)?;
        let changes = parse::<Vec<WireObject>>(&res)?;
        Ok(changes.into_iter().map(Change::from).collect())
    }
}

fn version_of(res: &Response<Bytes>) -> Result<Generation, PlatformError> {
    res.headers()
        .get(VERSION_HEADER)
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.parse().ok())
        .ok_or_else(|| {
            PlatformError::Invalid(format!("missing or invalid header {VERSION_HEADER}"))
        })
}

fn text(res: &Response<Bytes>) -> Result<&str, PlatformError> {
    std::str::from_utf8(res.body()).map_err(|e| PlatformError::Invalid(e.to_string()))
}
