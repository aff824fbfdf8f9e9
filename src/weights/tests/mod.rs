//! Tests of weight distribution.

mod bitmap;
mod faults;
mod fuzz;
mod manifest;
mod world;
