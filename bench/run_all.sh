#!/usr/bin/env bash
# Runs every benchmark and prints its figures, with the targets where the program knows them. All
# targets are listed in docs/design.md, section 1.6, and docs/CAPACITY.md.
#
#   bench/run_all.sh [BUILD_DIR]
set -uo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}

run() {
    echo
    echo "== $*"
    "$@" 2>/dev/null
}

for module in submission sched upstream config; do
    run "$build/bin/${module}_bench" --benchmark_min_time=0.2 --benchmark_color=false
done
run "$build/bin/peers_bench"
run "$build/bin/capacity_bench"
run "$build/bin/policy_bench" --check bench/policy/bounds.json
run "$build/bin/policy_bench" --cost
run bash bench/path/run.sh --build "$build"
