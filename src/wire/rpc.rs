//! Calls on the control listeners.

use jsonrpsee::core::RpcResult;
use jsonrpsee::proc_macros::rpc;

use super::{EntryStatus, SettleReply, SettleRequest, SyncReply, SyncRequest};

/// Calls that an agent answers.
#[rpc(server, client)]
pub trait AgentControl {
    /// Exchanges heartbeats.
    #[method(name = "sync")]
    async fn sync(&self, request: SyncRequest) -> RpcResult<SyncReply>;

    /// Asks what became of a keyed attempt; an unknown attempt is fenced.
    #[method(name = "settle")]
    async fn settle(&self, request: SettleRequest) -> RpcResult<SettleReply>;
}

/// Calls that an entry answers.
#[rpc(server, client)]
pub trait EntryControl {
    /// What the entry knows of the system.
    #[method(name = "status")]
    async fn status(&self) -> RpcResult<EntryStatus>;
}

/// Calls that every process answers.
#[rpc(server, client)]
pub trait ProcessControl {
    /// Dump of the process's state.
    #[method(name = "dump")]
    async fn dump(&self) -> RpcResult<serde_json::Value>;
}
