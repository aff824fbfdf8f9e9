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

/// Number of a call to the object API.
pub type StoreCallId = u64;

/// Something that the entry's shell has to do.
#[derive(Clone, Debug)]
pub enum EntryAction {
    /// Send the request to an agent.
    Dispatch(Dispatch),
    /// Refuse the request; its final answer.
    Refuse {
        /// The request.
        req: RequestId,
        /// What the caller is told.
        refusal: Refusal,
    },
    /// Answer the request with the stored answer of an earlier run; its final answer.
    Replay {
        /// The request.
        req: RequestId,
        /// The stored answer.
        answer: Arc<str>,
    },
    /// End the answer that is being passed on; the request is over.
    Complete {
        /// The request.
        req: RequestId,
    },
    /// Call the object API.
    Store {
        /// Number to answer with.
        call_id: StoreCallId,
        /// The call.
        call: StoreCall,
    },
    /// Ask an agent what became of an attempt.
    Settle {
        /// The request on whose behalf the agent is asked.
        req: RequestId,
        /// The agent's host.
        host: HostId,
        /// The agent's control address.
        control: SocketAddr,
        /// The key.
        key: Key,
        /// The attempt; fenced when the agent does not know it.
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
        /// Detail for the reader.
        detail: String,
    },
}

/// One attempt at a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Dispatch {
    /// The request.
    pub req: RequestId,
    /// Name of the attempt.
    pub attempt: AttemptId,
    /// Host of the agent.
    pub host: HostId,
    /// Traffic address of the agent.
    pub traffic: SocketAddr,
    /// Endpoint behind the agent.
    pub endpoint: EndpointId,
    /// Instance of the agent that the attempt is addressed to.
    pub agent_instance: InstanceId,
    /// Version that must answer; absent for a plain service.
    pub version: Option<Digest>,
    /// Generation in force at the entry.
    pub generation: Generation,
    /// Number of tokens already delivered by an earlier attempt with the same version.
    pub resume_from: u64,
    /// Silence of a stream after which the attempt has broken off; `None` where work may be paused.
    pub stall_timeout: Option<Duration>,
    /// Time left until the answer has to start.
    pub start_budget: Duration,
    /// True when the request is suspected of crashing endpoints and must run alone.
    pub suspect: bool,
}
