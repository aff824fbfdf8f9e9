//! Discrete-event simulation of workloads on the dispatcher, with a simple model of engines.
//!
//! No sockets are opened and time is simulated: [`simulate`] advances it from event to event.
//! Entries are [`limpetloom::dispatch::Dispatcher`]s and engines are [`Engine`]s.

// The example and tests/patterns.rs each use only a part of this module.
#![allow(dead_code, unused_imports)]

mod callers;
mod engine;
mod fleet;
mod simulation;
mod summary;
mod workloads;

pub use callers::{Class, classes};
pub use engine::{Engine, Job, MODEL, StreamEvent};
pub use fleet::{engine_capacity, engine_model};
pub use simulation::simulate;
pub use summary::Summary;
pub use workloads::{Pattern, Workload};
