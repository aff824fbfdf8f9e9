//! Tests of the request core, without sockets.

mod admission;
mod attempts;
mod crashes;
mod fixture;
mod knowledge;
mod overload;
