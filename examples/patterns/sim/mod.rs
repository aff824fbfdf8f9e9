//! Loads played on the request core, with a small model of engines in place of real ones.
//!
//! Nothing here opens a socket or looks at a clock: [`World`] moves the time, entries are
//! [`limpetloom::dispatch::Dispatcher`]s, and engines are [`Engine`]s.

// Each includer uses a part of this module.
#![allow(dead_code, unused_imports)]

mod callers;
mod engine;
mod fleet;
mod simulation;
mod summary;
mod workloads;

pub use callers::{Class, classes};
pub use engine::{Engine, Event, Job, MODEL};
pub use fleet::{capacity, engine_model};
pub use simulation::simulate;
pub use summary::Summary;
pub use workloads::{Pattern, Workload};
