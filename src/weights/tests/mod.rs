//! Tests of weight distribution.

mod bitmap;
mod faults;
mod manifest;
mod world;
