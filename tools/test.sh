#!/usr/bin/env bash
# Installs the packages, builds with warnings as errors, and passes every check and test.
set -euo pipefail
cd "$(dirname "$0")/.."
tools/install_packages.sh
tools/check_format.sh
jobs=$(nproc)
cmake --preset release >/dev/null
cmake --build --preset release -j "$jobs"
ctest --preset release -j 4
tools/lint.sh
cmake --preset sanitize >/dev/null
cmake --build --preset sanitize -j "$jobs"
ctest --preset sanitize -j 4
