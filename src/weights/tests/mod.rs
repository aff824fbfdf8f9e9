//! Tests of weight distribution.

mod bitmap;
