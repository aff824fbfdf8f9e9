//! Client of the platform's host list.

use std::collections::BTreeSet;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

use bytes::Bytes;
use hyper::Method;

use crate::log_event;
use crate::membership::HostEntry;
use crate::telemetry::Event;

use super::http::{expect_ok, request};
use super::json::{Members, split_array};
use super::wire::WireHost;
use super::{HttpClient, PlatformError};

/// Client of the host list.
pub trait HostList: Send + Sync + 'static {
    /// Reads the list, which may be outdated. Items that can't be parsed are set aside.
    ///
    /// # Errors
    /// `Refused` or `Lost` when the server does not answer, `Invalid` when its answer is no list.
    fn hosts(&self) -> impl Future<Output = Result<Vec<HostEntry>, PlatformError>> + Send;
}

/// Longest description of an item that is set aside, in characters; another writer may choose it.
const MAX_DESCRIPTION: usize = 160;

/// Client of the host list over HTTP.
#[derive(Clone, Debug)]
pub struct HttpHostList {
    addr: SocketAddr,
    http: HttpClient,
    /// Items of the last list that were set aside, each of which is logged once while it stands;
    /// shared by the clones.
    set_aside: Arc<Mutex<BTreeSet<String>>>,
}

impl HttpHostList {
    /// Creates a client of the host list at `addr`.
    pub fn new(addr: SocketAddr, http: HttpClient) -> Self {
        Self {
            addr,
            http,
            set_aside: Arc::default(),
        }
    }

    /// Replaces the items that are set aside, and logs what has changed.
    fn record_set_aside(&self, items: BTreeSet<String>) {
        let mut before = self
            .set_aside
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        for item in items.difference(&before) {
            log_event!(Event::EntrySetAside, "{item}");
        }
        for item in before.difference(&items) {
            log_event!(Event::SetAsideEnded, "{item}");
        }
        *before = items;
    }
}

impl HostList for HttpHostList {
    async fn hosts(&self) -> Result<Vec<HostEntry>, PlatformError> {
        let req = request(Method::GET, self.addr, "/hosts", Bytes::new())?;
        let res = expect_ok(self.http.send(req).await?)?;
        let items = split_array(res.body())
            .ok_or_else(|| PlatformError::Invalid("the host list is no array".to_owned()))?;
        let mut hosts = Vec::with_capacity(items.len());
        let mut set_aside = BTreeSet::new();
        for item in items {
            match serde_json::from_slice::<WireHost>(item) {
                Ok(host) => hosts.push(HostEntry::from(host)),
                Err(err) => {
                    set_aside.insert(describe(item, &err));
                }
            }
        }
        self.record_set_aside(set_aside);
        Ok(hosts)
    }
}

/// Describes an item that can't be parsed, by its name where that can be.
fn describe(item: &[u8], err: &serde_json::Error) -> String {
    let name = Members::split(item).and_then(|members| members.get("host"));
    let name = name.and_then(|name| serde_json::from_slice::<String>(name).ok());
    let text = format!(
        "host {}: {err}",
        name.as_deref().unwrap_or("without a name")
    );
    text.chars().take(MAX_DESCRIPTION).collect()
}
