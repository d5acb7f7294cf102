#!/usr/bin/env bash
# Installs the packages, builds the project, starts an entry host on this machine with stand-ins for
# the platform and the upstreams, and sends a first submission. On a terminal it then keeps running
# until Ctrl-C; otherwise it stops all processes and exits.
set -euo pipefail
cd "$(dirname "$0")/.."

tools/install_packages.sh
cmake --preset release >/dev/null
cmake --build --preset release -j "$(nproc)" \
    --target chivewharfd chivewharfctl standin_upstream standin_platform

bin=build/bin
logs=$(mktemp -d)
pids=()
stop_all() {
    for ((i = ${#pids[@]} - 1; i >= 0; i--)); do
        kill "${pids[i]}" 2>/dev/null || true
        wait "${pids[i]}" 2>/dev/null || true
    done
    rm -rf "$logs"
}
trap stop_all EXIT

start() {
    local name=$1
    shift
    "$@" >"$logs/$name.log" 2>&1 &
    pids+=($!)
}

wait_for() {
    for _ in $(seq 1 200); do
        curl -fs -o /dev/null "$1" && return 0
        sleep 0.1
    done
    echo "$1 did not answer; logs:" >&2
    cat "$logs"/*.log >&2
    return 1
}

start platform "$bin/standin_platform"
start upstreams "$bin/standin_upstream"
wait_for http://127.0.0.1:8091/stats
wait_for http://127.0.0.1:8100/stats
start entry "$bin/chivewharfd" --host examples/demo-host.json --settings examples/demo.json
wait_for http://127.0.0.1:8080/healthz
"$bin/chivewharfctl" --host examples/demo-host.json publish --expect 0 examples/demo.json
wait_for http://127.0.0.1:8080/readyz

auth="Authorization: Bearer demo-token"
url=http://127.0.0.1:8080/v1
id=$(curl -fs -X POST -H "$auth" "$url/ids" | sed 's/.*\["\(.*\)"\].*/\1/')
echo "Submitting a job of two tasks under the id $id"
curl -fsS -H "$auth" -H "Idempotency-Key: $id" "$url/submissions" -d '{
    "service": "plugdesk", "deadline_ms": 2000,
    "tasks": [{"kind": "plug-check", "payload": {"run_ms": 120, "box": "MSKU-1"}},
              {"kind": "plug-check", "payload": {"run_ms": 80, "box": "MSKU-2"}}]}'
echo
echo "The whole path works."

if [ -t 1 ]; then
    echo "Callers: $url (token demo-token), operators: token admin-token. Ctrl-C stops all."
    wait
fi
