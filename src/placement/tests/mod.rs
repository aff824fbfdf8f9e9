//! Tests of placement and orders.

mod plan;
mod proposer;
