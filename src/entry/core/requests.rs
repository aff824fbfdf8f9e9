//! Life cycle of a request at the entry.

use std::time::Instant;

use crate::types::{AttemptId, EndpointId, RequestMeta};

/// A request that has not got its final answer.
#[derive(Debug)]
pub struct Request {
    pub meta: RequestMeta,
    /// Time by which the answer has to start.
    pub deadline: Instant,
    pub phase: Phase,
    /// Number of attempts so far.
    pub tries: u32,
}

/// Where a request stands.
#[derive(Debug)]
pub enum Phase {
    /// Waits for a place at an endpoint.
    Waiting,
    /// An attempt runs.
    Running(Attempt),
}

/// The current attempt of a request.
#[derive(Debug)]
pub struct Attempt {
    pub id: AttemptId,
    pub endpoint: EndpointId,
}
