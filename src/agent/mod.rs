//! The agent process: entries reach the endpoints of a host only through the agent of that host.
//!
//! [`core`] makes the decisions; it runs on the control thread. The other modules are its driver,
//! which does all I/O; [`spawn`] starts it. An attempt arrives in `traffic`, is parsed by `offer`
//! and handled by `attempt`, which waits for the decision of the core, forwards the request to the
//! endpoint and returns the answer, whose head `answer_head` checks. `orders` sends the core's orders to endpoints and to the weight
//! transfer; `background` probes the endpoints and follows the weight transfer and the host list.

mod answer_head;
mod attempt;
mod background;
mod control;
pub mod core;
mod offer;
mod orders;
mod process;
mod relay;
mod rpc;
#[cfg(test)]
mod tests;
mod traffic;

pub use process::{AgentHandle, spawn};
