//! The agent process: the only gate to the endpoints of its host.

pub mod core;
