//! Tests of the dispatcher, without sockets.

mod admission;
mod attempts;
mod crashes;
mod fixture;
mod fuzz;
mod knowledge;
mod overload;
