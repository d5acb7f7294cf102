#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
set -u
folder="$(cd "$(dirname "$0")" && pwd)"
repository="$(cd "$folder/../.." && pwd)"
if [ ! -x "$repository/target/bin/chivewharfd" ] || [ ! -x "$repository/review/build/case-1" ]; then
    echo "build the deploy file and run review/build.sh first"
    exit 2
fi
# TROUBLE=0 plays the same without the disruption.
export TROUBLE="${TROUBLE:-1}"
exec timeout -k 5 118 "$repository/review/build/case-1" "$folder" "$repository"
