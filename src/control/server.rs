//! Control listener of a process, over JSON-RPC.

use std::io;
use std::net::SocketAddr;

use jsonrpsee::RpcModule;
use jsonrpsee::server::{Server, ServerConfig, ServerHandle};
use jsonrpsee::types::{ErrorObject, ErrorObjectOwned};

use crate::codes::Code;
use crate::settings::{LimitsSettings, Secret};

use super::access::AccessLayer;

/// Limits of a control listener.
#[derive(Clone, Copy, Debug)]
pub struct ControlLimits {
    /// Largest number of open connections.
    pub connections: u32,
    /// Largest message, in bytes.
    pub message_bytes: u32,
}

impl Default for ControlLimits {
    fn default() -> Self {
        Self {
            connections: 256,
            message_bytes: 2 * 1024 * 1024,
        }
    }
}

impl From<&LimitsSettings> for ControlLimits {
    fn from(settings: &LimitsSettings) -> Self {
        Self {
            connections: settings.control_connections,
            message_bytes: u32::try_from(settings.control_bytes).unwrap_or(u32::MAX),
        }
    }
}

/// A running control listener; it stops when this value is dropped.
#[derive(Debug)]
pub struct ControlServer {
    addr: SocketAddr,
    _handle: ServerHandle,
}

impl ControlServer {
    /// Starts a listener on `addr` that serves `methods` to clients with `token`.
    ///
    /// # Errors
    ///
    /// Fails when the address can't be bound.
    pub async fn spawn(
        addr: SocketAddr,
        token: Secret,
        limits: ControlLimits,
        methods: RpcModule<()>,
    ) -> io::Result<Self> {
        let cfg = ServerConfig::builder()
            .max_connections(limits.connections)
            .max_request_body_size(limits.message_bytes)
            .max_response_body_size(limits.message_bytes)
            .set_tcp_no_delay(true)
            .build();
        let access = tower::ServiceBuilder::new().layer(AccessLayer::new(token));
        let server = Server::builder()
            .set_config(cfg)
            .set_http_middleware(access)
            .build(addr)
            .await?;
        let addr = server.local_addr()?;
        Ok(Self {
            addr,
            _handle: server.start(methods),
        })
    }

    /// Address that the listener is bound to.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }
}

/// Error with which a process that is stopping answers calls.
pub fn stopping_error() -> ErrorObjectOwned {
    let code = Code::Stopping;
    ErrorObject::owned(i32::from(code.number()), code.to_string(), None::<()>)
}
