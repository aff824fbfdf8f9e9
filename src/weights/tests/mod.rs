//! Tests of weight distribution.

mod bitmap;
mod faults;
mod fleet;
mod fuzz;
mod manifest;
