//! JSON-RPC methods served by the control listeners.

use jsonrpsee::core::RpcResult;
use jsonrpsee::proc_macros::rpc;

use super::{EntryStatus, SettleReply, SettleRequest, SyncReply, SyncRequest};

/// Methods that an agent serves.
#[rpc(server, client)]
pub trait AgentControl {
    /// Receives an entry's heartbeat and replies with the agent's.
    #[method(name = "sync")]
    async fn sync(&self, request: SyncRequest) -> RpcResult<SyncReply>;

    /// Returns the state of a keyed attempt. An attempt that the agent has no record of is fenced,
    /// so that it cannot run later.
    #[method(name = "settle")]
    async fn settle(&self, request: SettleRequest) -> RpcResult<SettleReply>;
}

/// Methods that an entry serves.
#[rpc(server, client)]
pub trait EntryControl {
    /// Returns the entry's view of the system.
    #[method(name = "status")]
    async fn status(&self) -> RpcResult<EntryStatus>;
}

/// Methods that every process serves.
#[rpc(server, client)]
pub trait ProcessControl {
    /// Returns a dump of the process's state.
    #[method(name = "dump")]
    async fn dump(&self) -> RpcResult<serde_json::Value>;
}
