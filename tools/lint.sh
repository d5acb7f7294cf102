#!/usr/bin/env bash
# Runs clang-tidy on the project's sources. Optional arguments are regular expressions that select
# files.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD_DIR:-build}
run-clang-tidy -quiet -p "$build" -j "$(nproc)" "${@:-.*/(modules|platform|apps|testing|bench)/.*\.cpp$}" \
    > "$build/lint.log" 2>&1 || { grep -E 'error:|warning:' -A4 "$build/lint.log"; exit 1; }
echo "lint: clean"
