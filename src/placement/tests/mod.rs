//! Tests of placement and orders.

mod order;
mod plan;
mod proposer;
