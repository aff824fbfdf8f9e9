#!/bin/sh
# WHOLE: a staged piece turns bad between its check and the order. See claim.txt.
cd "$(dirname "$0")/../.." || exit 2
exec timeout -k 5 115 target/review/standin-2 spoilt-piece target/release/limpetloom review/6
