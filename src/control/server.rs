//! Control listener of a process.

use std::io;
use std::net::SocketAddr;

use jsonrpsee::RpcModule;
use jsonrpsee::server::{Server, ServerConfig, ServerHandle};
use jsonrpsee::types::{ErrorObject, ErrorObjectOwned};

use crate::codes::Code;
use crate::settings::{LimitsSettings, Secret};

use super::access::AccessLayer;

/// Bounds of a control listener.
#[derive(Clone, Copy, Debug)]
pub struct ControlLimits {
    /// Connections at once.
    pub connections: u32,
    /// Bytes of one message.
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

/// A running control listener; it ends when this value is dropped.
#[derive(Debug)]
pub struct ControlServer {
    addr: SocketAddr,
    _handle: ServerHandle,
}

impl ControlServer {
    /// Listens on `addr` and answers the calls of `methods` to holders of `token`.
    ///
    /// # Errors
    ///
    /// Fails when the address can not be bound.
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

/// Error of a call to a process that is stopping.
pub fn stopping_error() -> ErrorObjectOwned {
    let code = Code::Stopping;
    ErrorObject::owned(i32::from(code.number()), code.to_string(), None::<()>)
}
