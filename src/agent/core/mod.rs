//! Decision logic of the agent, free of sockets and clocks.
//!
//! [`AgentEvent`]s go in with the time, [`AgentAction`]s come out.

mod action;
mod event;

pub use action::AgentAction;
pub use event::{AgentEvent, EndpointProbe, Offer};
