//! Outputs of the entry's decision logic.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::delivery::StoreCall;
use crate::telemetry::Event;
use crate::types::{
    AttemptId, Digest, EndpointId, Generation, HostId, InstanceId, Key, Refusal, RequestId,
};
use crate::wire::SyncRequest;

/// Id of a call to the object API; the reply is reported with it.
pub type StoreCallId = u64;

/// Something that the entry's driver has to do.
#[derive(Clone, Debug)]
pub enum EntryAction {
    /// Send the request to an agent.
    Dispatch(Dispatch),
    /// Refuse the request, as its final answer.
    Refuse {
        /// The request.
        req: RequestId,
        /// The refusal to send to the caller.
        refusal: Refusal,
    },
    /// Send the stored answer of an earlier run, as the request's final answer.
    Replay {
        /// The request.
        req: RequestId,
        /// The stored answer.
        answer: Arc<str>,
    },
    /// Complete the answer that is being forwarded. The request has ended.
    Complete {
        /// The request.
        req: RequestId,
    },
    /// Call the object API.
    Store {
        /// Id to report the reply with.
        call_id: StoreCallId,
        /// The call.
        call: StoreCall,
    },
    /// Request the outcome of an attempt from its agent.
    Settle {
        /// The request whose claim needs the outcome.
        req: RequestId,
        /// The agent's host.
        host: HostId,
        /// The agent's control address.
        control: SocketAddr,
        /// The key.
        key: Key,
        /// The attempt. An agent without a record of it fences it, so that it cannot run later.
        attempt: AttemptId,
    },
    /// Send a heartbeat to an agent.
    Sync {
        /// The agent's host.
        host: HostId,
        /// The agent's control address.
        control: SocketAddr,
        /// The heartbeat.
        request: Box<SyncRequest>,
    },
    /// Log a numbered event.
    Log {
        /// The event.
        event: Event,
        /// Free text.
        detail: String,
    },
}

/// One attempt at a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Dispatch {
    /// The request.
    pub req: RequestId,
    /// Id of the attempt.
    pub attempt: AttemptId,
    /// Host of the agent.
    pub host: HostId,
    /// Traffic address of the agent.
    pub traffic: SocketAddr,
    /// Endpoint at the agent.
    pub endpoint: EndpointId,
    /// Instance of the agent that the attempt is addressed to.
    pub agent_instance: InstanceId,
    /// Model version that must answer; `None` for a plain service.
    pub version: Option<Digest>,
    /// Generation in force at the entry.
    pub generation: Generation,
    /// Number of tokens that earlier attempts with the same version have delivered.
    pub resume_from: u64,
    /// Time without data after which a stream counts as broken; `None` for deferrable classes,
    /// whose work may be paused.
    pub stall_timeout: Option<Duration>,
    /// Time left until the answer must start.
    pub start_budget: Duration,
    /// True when the request is suspected of crashing endpoints and must run alone.
    pub suspect: bool,
}
