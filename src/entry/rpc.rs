//! RPC methods of the entry's control listener.

use jsonrpsee::RpcModule;
use jsonrpsee::core::{RpcResult, async_trait};
use jsonrpsee::server::RegisterMethodError;

use crate::control::stopping_error;
use crate::wire::{EntryControlServer, EntryStatus, ProcessControlServer};

use super::control::ControlHandle;

#[derive(Clone)]
struct Rpc {
    control: ControlHandle,
}

#[async_trait]
impl EntryControlServer for Rpc {
    async fn status(&self) -> RpcResult<EntryStatus> {
        self.control.status().await.ok_or_else(stopping_error)
    }
}

#[async_trait]
impl ProcessControlServer for Rpc {
    async fn dump(&self) -> RpcResult<serde_json::Value> {
        self.control.dump().await.ok_or_else(stopping_error)
    }
}

/// The RPC methods that an entry serves.
pub(super) fn methods(control: ControlHandle) -> Result<RpcModule<()>, RegisterMethodError> {
    let rpc = Rpc { control };
    let mut methods = RpcModule::new(());
    methods.merge(EntryControlServer::into_rpc(rpc.clone()))?;
    methods.merge(ProcessControlServer::into_rpc(rpc))?;
    Ok(methods)
}
