#!/bin/sh
# Starved: streams whose ids increase by more than one are cut. See claim.txt.
cd "$(dirname "$0")/../.." || exit 2
exec timeout -k 5 115 target/review/standin-2 event-ids target/release/limpetloom review/9
