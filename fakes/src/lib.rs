//! Small stand-ins for the platform and for endpoints, for tests and measurements only.
//!
//! Each stand-in listens on loopback, speaks the protocol of `docs/design/shape.md` or, in
//! [`site`], the protocol published by the platform's operators. It counts the calls that it
//! serves, and tests can inject faults while it runs. Dropping a handle stops its stand-in.

pub mod engine;
pub mod hosts;
pub mod objects;
pub mod origin;
pub mod raw;
pub mod reply;
pub mod server;
pub mod service;
pub mod site;
