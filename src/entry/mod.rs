//! The entry process: takes callers' requests and follows each one to its end.

pub mod core;
