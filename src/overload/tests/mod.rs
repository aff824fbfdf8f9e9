//! Tests of the pulse and the load shedder.

mod pulse;
mod shedder;
