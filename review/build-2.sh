#!/bin/sh
# Builds the stand-ins of the cases 6 to 10, with the compiler alone.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/standin-2 review/standin-2/main.rs
