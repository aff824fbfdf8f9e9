//! The `limpetloom` binary.

fn main() {}
