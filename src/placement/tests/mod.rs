//! Tests of the placement's computation and of its proposals.

mod plan;
mod proposer;
