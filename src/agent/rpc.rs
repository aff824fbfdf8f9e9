//! RPC methods of the agent's control listener.

use jsonrpsee::RpcModule;
use jsonrpsee::core::{RpcResult, async_trait};
use jsonrpsee::server::RegisterMethodError;

use crate::control::stopping_error;
use crate::wire::{
    AgentControlServer, ProcessControlServer, SettleReply, SettleRequest, SyncReply, SyncRequest,
};

use super::control::Control;

#[derive(Clone)]
struct Rpc {
    control: Control,
}

#[async_trait]
impl AgentControlServer for Rpc {
    async fn sync(&self, request: SyncRequest) -> RpcResult<SyncReply> {
        self.control.sync(request).await.ok_or_else(stopping_error)
    }

    async fn settle(&self, request: SettleRequest) -> RpcResult<SettleReply> {
        self.control
            .settle(request)
            .await
            .ok_or_else(stopping_error)
    }
}

#[async_trait]
impl ProcessControlServer for Rpc {
    async fn dump(&self) -> RpcResult<serde_json::Value> {
        self.control.dump().await.ok_or_else(stopping_error)
    }
}

/// Registers the methods that an agent serves.
pub(super) fn methods(control: Control) -> Result<RpcModule<()>, RegisterMethodError> {
    let rpc = Rpc { control };
    let mut methods = RpcModule::new(());
    methods.merge(AgentControlServer::into_rpc(rpc.clone()))?;
    methods.merge(ProcessControlServer::into_rpc(rpc))?;
    Ok(methods)
}
