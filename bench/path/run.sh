#!/usr/bin/env bash
# Measures the HTTP path of one entry host on the loopback interface and prints four figures:
# one-task submissions per second, the round trip compared with a direct call to the runner, 60
# callers that connect at once, and resident memory with 1,000 open caller connections.
#
#   bench/path/run.sh [--requests N] [--connections N] [--build DIR]
set -euo pipefail
cd "$(dirname "$0")/../.."

requests=30000
connections=60
build=build
while [ $# -gt 0 ]; do
    case "$1" in
        --requests) requests=$2 ;;
        --connections) connections=$2 ;;
        --build) build=$2 ;;
        *) sed -n '2,6s/^# \{0,1\}//p' "$0" >&2; exit 2 ;;
    esac
    shift 2
done

bin=$build/bin
work=$(mktemp -d)
pids=()
stop_all() {
    for ((i = ${#pids[@]} - 1; i >= 0; i--)); do
        kill "${pids[i]}" 2>/dev/null || true
        wait "${pids[i]}" 2>/dev/null || true
    done
    rm -rf "$work"
}
trap stop_all EXIT

# Waits for a log line that matches LINE and contains KEY=NUMBER, and prints the number.
wait_line() {
    local log=$1 line=$2 key=$3 found
    for _ in $(seq 1 200); do
        found=$(grep -E "$line" "$log" 2>/dev/null | grep -oE "$key=[0-9]+" | head -1 || true)
        if [ -n "$found" ]; then
            echo "${found#*=}"
            return 0
        fi
        sleep 0.05
    done
    echo "timed out waiting for \"$line\" with $key= in $log:" >&2
    cat "$log" >&2
    return 1
}

# Two runner processes, so that the runners are not the bottleneck.
runners=()
for number in 1 2; do
    "$bin/standin_upstream" --first-port 0 --count 4 --slots 16 --count-starts 0 \
        --names "runner-$number-" --control 127.0.0.1:0 >"$work/upstream-$number.log" 2>&1 &
    pids+=($!)
    wait_line "$work/upstream-$number.log" '^control' port >/dev/null
    while read -r port; do
        runners+=("127.0.0.1:$port")
    done < <(grep '^runner=' "$work/upstream-$number.log" | grep -oE '[0-9]+$')
done

{
    echo '{"site": "bench", "key_domains": ["local"],'
    echo '"domains": [{"name": "local", "region": "bench"}],'
    echo '"entry_hosts": [{"name": "entry-1", "domain": "local", "peer_address": "127.0.0.1:8090"}],'
    echo '"customers": [{"name": "bench", "rate": 1000000, "burst": 1000000, "token_sha256": '
    echo "\"$(printf %s bench-token | sha256sum | cut -d' ' -f1)\"}],"
    echo '"operators": [], "services": [{"name": "plugdesk", "idempotent": false}],'
    echo '"upstreams": ['
    separator=
    for i in "${!runners[@]}"; do
        echo "$separator{\"name\": \"runner-$i\", \"address\": \"${runners[i]}\","
        echo '"domain": "local", "service": "plugdesk", "slots": 16}'
        separator=,
    done
    echo '], "platform": {"address": "127.0.0.1:9"}}'
} >"$work/settings.json"
cat >"$work/host.json" <<EOF
{"site": "bench", "host": {"name": "entry-1", "domain": "local",
 "caller_address": "127.0.0.1:0", "peer_address": "127.0.0.1:0",
 "peer_key": "bench-peer-key-0123456789", "log_directory": "$work", "drain_notice_ms": 100}}
EOF

# Starts the daemon and waits until it is ready. Sets `daemon` to its process id and `entry` to its
# address.
start_daemon() {
    rm -f "$work"/chivewharfd.*
    ${DAEMON_PREFIX:-} "$bin/chivewharfd" --host "$work/host.json" --settings "$work/settings.json" \
        --fixed >"$work/daemon.out" 2>&1 &
    daemon=$!
    pids+=("$daemon")
    entry=127.0.0.1:$(wait_line "$work/chivewharfd.INFO" callers_listening port)
    for _ in $(seq 1 200); do
        curl -fs -o /dev/null "http://$entry/readyz" && return 0
        sleep 0.05
    done
    return 1
}
stop_daemon() {
    kill "$daemon"
    wait "$daemon" || true
}
call() {
    "$bin/standin_caller" --token bench-token "$@"
}
# value JSON EXPRESSION: prints a Python f-string or expression over the parsed document `d`.
value() {
    python3 -c "import json, sys; d = json.loads(sys.argv[1]); print($2)" "$1"
}
cpu_seconds() {
    awk -v hz="$(getconf CLK_TCK)" '{ print ($14 + $15) / hz }' "/proc/$1/stat"
}
overflows() {
    awk '/^TcpExt:/ { if (!n) { for (i = 1; i <= NF; i++) if ($i == "ListenOverflows") n = i }
                      else print $n }' /proc/net/netstat
}

start_daemon
call --targets "$entry" --connections "$connections" --requests 5000 >/dev/null
before=$(cpu_seconds "$daemon")
rate=$(call --targets "$entry" --connections "$connections" --requests "$requests")
after=$(cpu_seconds "$daemon")
value "$rate" "f'''(a) submissions a second: {d['per_second']:.0f} (target at least 5000)
    outcomes {d['outcomes']}, p50 {d['latency_ms']['p50']:.2f} ms, p99 {d['latency_ms']['p99']:.2f} ms
    daemon CPU: {($after - $before) / $requests * 1e6:.0f} us a submission'''"

direct=$(call --direct 1 --targets "${runners[0]}" --connections 1 --requests 3000)
through=$(call --targets "$entry" --connections 1 --requests 3000)
value "[$direct, $through]" "f'''(b) median round trip: direct {d[0]['latency_ms']['p50'] * 1000:.0f} us, through {d[1]['latency_ms']['p50'] * 1000:.0f} us, ratio {d[1]['latency_ms']['p50'] / d[0]['latency_ms']['p50']:.1f} (target at most 8)'''"

before=$(overflows)
burst=$(call --targets "$entry" --connections 60 --requests 60)
value "$burst" "f'''(c) 60 callers at once: slowest first response {d['first_response_ms']['max']:.1f} ms, ListenOverflows +{$(overflows) - $before} (target +0, none at 1 s or more)'''"
stop_daemon

start_daemon
call --targets "$entry" --connections 1000 --requests 2000 --hold-ms 5000 >"$work/held.json" &
holder=$!
pids+=("$holder")
for _ in $(seq 1 200); do
    [ -s "$work/held.json" ] && break
    sleep 0.05
done
open=$(ls -l "/proc/$daemon/fd" | grep -c socket:)
awk -v open="$open" '/^VmRSS/ { printf "(d) resident memory with 1,000 caller connections: %.1f MB, %d open sockets (target under 64 MB)\n", $2 / 1024, open }' "/proc/$daemon/status"
