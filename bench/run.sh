#!/bin/sh
# Runs all benchmarks in turn (make bench). Takes some minutes.
set -eu
cd "$(dirname "$0")/.."
BUILD=${BUILD:-build}

echo "== gate: what one upstream serves under overload"
"$BUILD/bench/bench_gate"
echo "== rates: refusals within the rate, messages a request"
"$BUILD/bench/bench_rates"
echo "== fleets of processes, baseline and ours"
sh bench/fleet.sh
