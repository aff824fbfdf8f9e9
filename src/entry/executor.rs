//! Performs the calls to the object API and to agents that the core requests.

use std::net::SocketAddr;

use tokio::runtime::Handle;

use crate::clients::{HttpObjectApi, ObjectApi, PlatformError};
use crate::control::ControlClients;
use crate::delivery::{StoreCall, StoreReply};
use crate::types::{AttemptId, HostId, Key, RequestId};
use crate::wire::{AgentControlClient, SettleRequest, SyncRequest};

use super::control::EventSender;
use super::core::{EntryEvent, StoreCallId};

/// Starts calls on the traffic threads and sends their results to the control thread as events.
pub(super) struct Executor {
    /// Runtime of the traffic threads.
    pub(super) runtime: Handle,
    /// Client of the object API.
    pub(super) objects: HttpObjectApi,
    /// Control connections to agents.
    pub(super) agents: ControlClients,
    /// Receives the results.
    pub(super) events: EventSender,
}

impl Executor {
    /// Calls the object API.
    pub(super) fn store(&self, call_id: StoreCallId, call: StoreCall) {
        let objects = self.objects.clone();
        let events = self.events.clone();
        self.runtime.spawn(async move {
            let reply = call_store(&objects, call).await;
            events.send(EntryEvent::StoreReplied { call_id, reply });
        });
    }

    /// Sends a heartbeat to an agent.
    pub(super) fn sync(&self, host: HostId, addr: SocketAddr, request: SyncRequest) {
        let agents = self.agents.clone();
        let events = self.events.clone();
        self.runtime.spawn(async move {
            let reply = agents
                .call(addr, |agent| async move { agent.sync(request).await })
                .await;
            events.send(match reply {
                Ok(reply) => EntryEvent::Synced { host, reply },
                Err(_) => EntryEvent::SyncFailed { host },
            });
        });
    }

    /// Requests the outcome of an attempt from its agent.
    pub(super) fn settle(&self, req: RequestId, addr: SocketAddr, key: Key, attempt: AttemptId) {
        let agents = self.agents.clone();
        let events = self.events.clone();
        let request = SettleRequest {
            key: key.to_string(),
            attempt: attempt.to_string(),
        };
        self.runtime.spawn(async move {
            let reply = agents
                .call(addr, |agent| async move { agent.settle(request).await })
                .await;
            events.send(EntryEvent::SettleReplied {
                req,
                reply: reply.ok(),
            });
        });
    }
}

async fn call_store(objects: &HttpObjectApi, call: StoreCall) -> StoreReply {
    match call {
        StoreCall::Get { key } => match objects.get(&key).await {
            Ok(Some(object)) => StoreReply::Found {
                version: object.version,
                value: object.value,
            },
            Ok(None) => StoreReply::Missing,
            Err(err) => failure_reply(&err),
        },
        StoreCall::Put {
            key,
            value,
            if_version,
        } => match objects.put(&key, &value, if_version).await {
            Ok(version) => StoreReply::Written { version },
            Err(err) => failure_reply(&err),
        },
        StoreCall::Delete { key, if_version } => match objects.delete(&key, if_version).await {
            Ok(()) => StoreReply::Written {
                version: if_version,
            },
            Err(err) => failure_reply(&err),
        },
    }
}

fn failure_reply(err: &PlatformError) -> StoreReply {
    match err {
        PlatformError::Conflict { .. } => StoreReply::Conflict,
        PlatformError::Refused(_) => StoreReply::Refused,
        PlatformError::Missing => StoreReply::Missing,
        _ => StoreReply::Lost,
    }
}
