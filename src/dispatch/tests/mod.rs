//! Tests of the request core, without sockets.

mod admission;
mod attempts;
mod crashes;
mod fixture;
mod fuzz;
mod knowledge;
mod overload;
