#!/usr/bin/env bash
# Builds the stand-ins of the third review's scripts into target/review-3. Run it after the build of
# deploy/system.toml; it needs the compiler and the header of nlohmann-json3-dev, which that build
# needs too.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
"${CXX:-c++}" -std=c++20 -O1 -Wall -Wextra -pthread -o target/review-3/rig review/rig-3/rig.cpp
