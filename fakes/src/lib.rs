//! Small stand-ins for the platform and for endpoints, for tests and measurements only.
//!
//! Each stand-in listens on loopback, speaks the protocol of `docs/design/shape.md`, counts what
//! it serves, and has faults that a test can switch while it runs. Dropping a handle stops it.

pub mod engine;
pub mod hosts;
pub mod objects;
pub mod origin;
pub mod reply;
pub mod server;
pub mod service;
pub mod site;
