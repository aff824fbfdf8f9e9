//! The agent process: the only gate to the endpoints of its host.
//!
//! [`core`] decides, on the control thread. Beside it stand the shells: [`spawn`] starts them.
//! The way of an attempt: `traffic` reads the offer, `attempt` waits for the decision of the core
//! and carries it to the endpoint, `orders` carries out what the core asks of endpoints.

mod attempt;
mod background;
mod control;
pub mod core;
mod offer;
mod orders;
mod process;
mod relay;
mod rpc;
mod traffic;

pub use process::{AgentHandle, spawn};
