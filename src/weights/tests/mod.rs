//! Tests of weight distribution.

mod bitmap;
mod cuts;
mod download_window;
mod faults;
mod fleet;
mod fuzz;
mod manifest;
mod owners;
