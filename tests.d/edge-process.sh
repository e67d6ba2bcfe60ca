#!/usr/bin/env bash
# Runs the edge command as a process: settings, readiness, metrics, reload and stop.
set -uo pipefail
cd "$(dirname "$0")/.."
folder=$(mktemp -d)
pid=""
trap '[ -n "$pid" ] && kill -KILL "$pid" 2>/dev/null; rm -rf "$folder"' EXIT
fail() {
    echo "FAILED: $1"
    cat "$folder/log"
    exit 1
}
# Below the ports that the system gives to outgoing connections.
base=$((20000 + RANDOM % 12000))
settings() { # zone
    cat <<EOF
{"node_name":"edge-1","role":"edge","ip":"127.0.0.1","zone":"$1","zones":{"z":"r"},
"bind_addrs":{"frontend":"127.0.0.1:$base","readiness":"127.0.0.1:$((base + 1))"},"internal_ports":[$((base + 2)),$((base + 9))],
"bounds":{"grace_s":6},"platform":{"address":"127.0.0.1:$((base + 3))"},"provider_api":{"address":"127.0.0.1:$((base + 4))"}}
EOF
}
./build/mustardrouter edge --settings "$folder/none" 2>"$folder/log" && fail "a missing settings file was accepted"
settings z >"$folder/settings"
MUSTARDROUTER_SETTINGS="$folder/settings" ./build/mustardrouter edge >"$folder/log" 2>&1 &
pid=$!
for _ in $(seq 50); do
    grep -q '"event":"start"' "$folder/log" && break
    sleep 0.1
done
# Without a store there is no configuration, so the readiness probe must keep clients away.
[ "$(curl -s -o "$folder/body" -w '%{http_code}' "http://127.0.0.1:$((base + 1))/v1/readyz")" = 503 ] || fail "ready without a configuration"
curl -s "http://127.0.0.1:$((base + 2))/metrics" | grep -q '^mustardrouter_statements_total 0' || fail "no metrics"
echo '{"node_name":' >"$folder/settings"
kill -HUP "$pid"
for _ in $(seq 50); do
    grep -q '"event":"reload_failed"' "$folder/log" && break
    sleep 0.1
done
grep -q '"event":"reload_failed"' "$folder/log" || fail "a broken settings file was not reported"
settings y >"$folder/settings"
for _ in $(seq 60); do
    grep -q '"event":"reload","why":"file changed"' "$folder/log" && break
    sleep 0.1
done
grep -q '"event":"reload","why":"file changed"' "$folder/log" || fail "a changed file was not read without a signal"
kill -TERM "$pid"
wait "$pid"
status=$?
pid=""
[ "$status" = 0 ] || fail "exit code $status after SIGTERM"
grep -q '"event":"stop"' "$folder/log" || fail "the stop was not logged"
echo "edge process: settings, readiness, metrics, reload and stop as expected"
