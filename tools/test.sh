#!/usr/bin/env bash
# Installs the packages, builds with warnings as errors, and runs every check and test. Tests listed
# in KNOWN-RED.txt are skipped and printed.
set -euo pipefail
cd "$(dirname "$0")/.."

# Prints the names of the tests of one kind in KNOWN-RED.txt. Its lines that name a test have the form
# `gtest SUITE.NAME | ...` or `ctest NAME | ...`.
known_red() {
    [ -f KNOWN-RED.txt ] && sed -nE "s/^$1 +([^ |]+).*/\1/p" KNOWN-RED.txt || true
}

gtest_red=$(known_red gtest | paste -sd: -)
ctest_red=$(known_red ctest | paste -sd'|' -)
if [ -n "$gtest_red$ctest_red" ]; then
    echo "left out, see KNOWN-RED.txt:"
    { known_red gtest; known_red ctest; } | sed 's/^/  /'
fi
[ -n "$gtest_red" ] && export GTEST_FILTER="-$gtest_red"
exclude=()
[ -n "$ctest_red" ] && exclude=(-E "^($ctest_red)\$")

tools/install_packages.sh
tools/check_format.sh
jobs=$(nproc)
cmake --preset release >/dev/null
cmake --build --preset release -j "$jobs"
ctest --preset release -j 3 "${exclude[@]}"
tools/lint.sh
cmake --preset sanitize >/dev/null
cmake --build --preset sanitize -j "$jobs"
# Tests that start real processes and the benchmark bounds run in the release build only: they cover
# the same code, and the sanitizers would only make them slower.
ctest --preset sanitize -j 5 -LE release_only "${exclude[@]}"
