//! What a process takes on, bounded by its own processor time.
//!
//! Requests that arrive are work that nobody asked for; news is work that has a deadline: a
//! configuration, a caller that leaves, the end of a version. [`Pulse`] tells for how long the control
//! loop, which handles news, has not run in time. [`LoadShedder`] refuses requests while the traffic loop
//! runs late.

mod pulse;
mod shedder;
#[cfg(test)]
mod tests;

pub use pulse::{LoopTicks, Pulse};
pub use shedder::{LoadShedder, SHEDDER_TICK, ShedReport, Verdict};
