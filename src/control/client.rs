//! Control connections to other processes, one per address.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use displaydoc::Display;
use hyper::header::AUTHORIZATION;
use hyper::{HeaderMap, http::HeaderValue};
use jsonrpsee::core::client::Error as RpcError;
use jsonrpsee::ws_client::{WsClient, WsClientBuilder};

use crate::settings::Secret;

use super::access::bearer;

/// Why a control call failed.
#[derive(Debug, Display)]
pub enum CallError {
    /// control connection to {0} failed: {1}
    Connect(SocketAddr, String),
    /// control call to {0} failed: {1}
    Call(SocketAddr, String),
}

impl std::error::Error for CallError {}

/// Pool of control connections; clones share it.
#[derive(Clone, Debug)]
pub struct ControlClients {
    token: Secret,
    timeout: Duration,
    connections: Arc<Mutex<HashMap<SocketAddr, Arc<WsClient>>>>,
}

impl ControlClients {
    /// Creates a pool whose connections present `token`. Connecting and calls each time out after
    /// `timeout`.
    pub fn new(token: Secret, timeout: Duration) -> Self {
        Self {
            token,
            timeout,
            connections: Arc::default(),
        }
    }

    /// Runs `call` on the connection to `addr`, which is opened when there is none. A failed call
    /// closes the connection.
    ///
    /// # Errors
    ///
    /// Fails when the connection can't be opened, when it breaks, and when the call fails or times
    /// out.
    pub async fn call<T, F, Fut>(&self, addr: SocketAddr, call: F) -> Result<T, CallError>
    where
        F: FnOnce(Arc<WsClient>) -> Fut,
        Fut: Future<Output = Result<T, RpcError>>,
    {
        let client = self.connection(addr).await?;
        call(client).await.map_err(|err| {
            self.disconnect(addr);
            CallError::Call(addr, err.to_string())
        })
    }

    /// Removes the connection to `addr`; it closes when no call uses it any more.
    pub fn disconnect(&self, addr: SocketAddr) {
        self.lock().remove(&addr);
    }

    async fn connection(&self, addr: SocketAddr) -> Result<Arc<WsClient>, CallError> {
        if let Some(client) = self
            .lock()
            .get(&addr)
            .filter(|client| client.is_connected())
        {
            return Ok(client.clone());
        }
        let client = Arc::new(self.connect(addr).await?);
        self.lock().insert(addr, client.clone());
        Ok(client)
    }

    async fn connect(&self, addr: SocketAddr) -> Result<WsClient, CallError> {
        WsClientBuilder::default()
            .connection_timeout(self.timeout)
            .request_timeout(self.timeout)
            .set_headers(self.headers())
            .set_tcp_no_delay(true)
            .build(format!("ws://{addr}"))
            .await
            .map_err(|err| CallError::Connect(addr, err.to_string()))
    }

    fn headers(&self) -> HeaderMap {
        // A token that is not a valid header value is left out; the listener then answers 401.
        let value = HeaderValue::from_str(&bearer(&self.token)).ok();
        value
            .into_iter()
            .map(|value| (AUTHORIZATION, value))
            .collect()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<SocketAddr, Arc<WsClient>>> {
        self.connections
            .lock()
            .expect("no holder of the lock panics")
    }
}
