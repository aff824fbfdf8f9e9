#!/bin/sh
# Fault: entries of another writer take every entry process over its memory. See claim.txt.
cd "$(dirname "$0")/../.." || exit 2
exec timeout -k 5 115 target/review/standin-2 odd-entries target/release/limpetloom review/6
