#!/usr/bin/env bash
# Runs the case "restored-for-a-client-that-left"; see claim.txt. Exits with 1 if the rule was
# broken, 0 if it held, and 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
set -uo pipefail
cd "$(dirname "$0")/../.."
code=0
timeout -s KILL 118 target/review-3/rig restored-for-a-client-that-left target/bin/chivewharfd \
    review/13/record.txt || code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
