#!/usr/bin/env bash
# Builds the stand-ins and clients of the cases in review/6 to review/10 into target/review-2. Needs
# a C++20 compiler and nlohmann-json, which deploy/system.toml lists.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/{6,7,8,9,10}/case.cpp; do
    [ -f "$source" ] || continue
    number=$(basename "$(dirname "$source")")
    "${CXX:-g++}" -std=c++20 -O1 -Wall -Wextra -pthread -o "target/review-2/case$number" "$source"
done
