#!/usr/bin/env bash
# Installs the Debian packages required by the build and the tests, unless all are installed.
set -euo pipefail

packages=(
    cmake ninja-build ccache pkg-config clang-format clang-tidy curl
    libglib2.0-dev libsoup-3.0-dev glib-networking libflatbuffers-dev libboost-dev
    libgoogle-glog-dev libexpected-dev librapidcheck-dev nlohmann-json3-dev libgtest-dev
    libgmock-dev libbenchmark-dev libxxhash-dev
)

missing=()
for package in "${packages[@]}"; do
    dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed' \
        || missing+=("$package")
done
if [ "${#missing[@]}" -eq 0 ]; then
    exit 0
fi
export DEBIAN_FRONTEND=noninteractive
apt-get update -qq
apt-get install -y -qq "${missing[@]}" >/dev/null
