#!/usr/bin/env bash
# The whole path as separate processes: platform, one group of three databases, three instances.
# A caller's session moves between entries, the primary and then an owner are killed, and an
# instance shuts down gracefully.
set -euo pipefail
program=$PWD/build/mustardrouter
work=$(mktemp -d)
pids=()
cleanup() {
    for pid in "${pids[@]}"; do kill -9 "$pid" 2>/dev/null || true; done
    rm -rf "$work"
}
trap cleanup EXIT

wait_for_line() { # file pattern
    for _ in $(seq 200); do
        if grep -q "$2" "$1" 2>/dev/null; then return 0; fi
        sleep 0.05
    done
    echo "no line \"$2\" in $1"
    cat "$1"
    return 1
}

start() { # name command...
    local name=$1
    shift
    "$program" "$@" >"$work/$name.out" 2>"$work/$name.err" &
    pids+=($!)
    eval "pid_${name}=$!"
}

echo '{"address": "127.0.0.1:0", "listLagMs": 200}' >"$work/platform.json"
start platform standin platform --settings "$work/platform.json"
wait_for_line "$work/platform.out" "stand-in at"
platform=$(grep -oE '127[0-9.]+:[0-9]+' "$work/platform.out")

databases=""
for n in 1 2 3; do
    cat >"$work/database$n.json" <<J
{"name": "db-$n", "address": "127.0.0.1:0", "slots": 3, "connections": 45, "connectionCostUs": "10000", "serviceTimeUs": "500",
 "initialStatements": ["CREATE TABLE lines(id INTEGER, body TEXT)"]}
J
    start "database$n" standin database --settings "$work/database$n.json"
    wait_for_line "$work/database$n.out" "stand-in db-$n at"
    address=$(grep -oE '127[0-9.]+:[0-9]+' "$work/database$n.out")
    databases="$databases${databases:+,}{\"name\": \"db-$n\", \"place\": \"zilina\", \"address\": \"$address\", \"slots\": 3, \"connections\": 45}"
done
mkdir "$work/configuration"
cat >"$work/configuration/all.json" <<J
{"changed": [
  {"place": {"name": "zilina", "region": "slovakia"}},
  {"readRule": {"name": "own-work", "kind": "session"}},
  {"sessionPolicy": {"name": "default", "readRule": "own-work", "weight": 1, "deadlineMs": "5000", "idleInTransactionMs": "10000"}},
  {"databaseGroup": {"name": "scripts-1", "confirmReplicas": 1, "databases": [$databases]}},
  {"service": {"name": "scripts", "groups": ["scripts-1"], "sessionPolicy": "default", "retryBudget": 0.1}}
]}
J
"$program" check -f "$work/configuration"
"$program" apply --platform "$platform" -f "$work/configuration"

for n in 1 2 3; do
    cat >"$work/instance$n.json" <<J
{"name": "entry-$n", "place": "zilina", "callerAddress": "127.0.0.1:0", "peerAddress": "127.0.0.1:0", "controlAddress": "127.0.0.1:0",
 "platformAddress": "$platform", "operatorKey": "secret", "tokenKey": "shared"}
J
    start "instance$n" serve --settings "$work/instance$n.json" --log-level info
done
entries=()
controls=()
for n in 1 2 3; do
    wait_for_line "$work/instance$n.out" "^instance "
    entries+=("$(sed -E 's/.*callers ([0-9.:]+).*/\1/' "$work/instance$n.out")")
    controls+=("$(sed -E 's/.*control ([0-9.:]+).*/\1/' "$work/instance$n.out")")
done

call() { # entry-index arguments...
    local entry=${entries[$1]}
    shift
    timeout 20 "$program" call --entry "$entry" --service scripts --deadline-ms 10000 "$@"
}

expect() { # pattern text
    if ! grep -qE "$1" <<<"$2"; then
        echo "expected \"$1\" in: $2"
        return 1
    fi
    echo "$2" | tail -n 1
}

# Instances learn the configuration within seconds of their start.
for _ in $(seq 100); do
    if call 0 'SELECT 1' >/dev/null 2>&1; then break; fi
    sleep 0.1
done

session=$work/session
expect 'outcome: done' "$(call 0 --session "$session" --non-idempotent --key k1 "INSERT INTO lines VALUES(1, 'first')")"
expect 'first' "$(call 1 --session "$session" 'SELECT body FROM lines WHERE id = 1')"
expect 'first' "$(call 2 --read latest 'SELECT body FROM lines WHERE id = 1')"
expect 'duplicate_key|done' "$(call 1 --non-idempotent --key k1 "INSERT INTO lines VALUES(1, 'first')" || true)"
expect '^1$' "$(call 2 --read latest 'SELECT count(*) FROM lines')"

# Refused requests are always traced; others once somebody looks.
timeout 20 "$program" call --entry "${entries[1]}" --service nosuch 'SELECT 1' >/dev/null || true
expect 'unknown_service' "$("$program" trace --control "${controls[1]}" --key secret --service nosuch --outcome not_run)"
"$program" trace --control "${controls[2]}" --key secret >/dev/null
call 2 'SELECT 1' >/dev/null
traced=$("$program" trace --control "${controls[2]}" --key secret --outcome done)
expect 'scripts done' "$traced"
expect "owner's queue" "$traced"
expect 'database db-[0-9]: ' "$traced"
expect 'confirmation' "$traced"

owner=""
for n in 0 1 2; do
    if "$program" status --json --control "${controls[$n]}" --key secret | grep -q '"role" : "owner"'; then owner=$n; fi
done
[ -n "$owner" ]
if "$program" status --control "${controls[0]}" --key wrong >/dev/null 2>&1; then
    echo "the control interface took a wrong key"
    exit 1
fi
primary=$("$program" status --json --control "${controls[$owner]}" --key secret | sed -nE 's/.*"primary" : "db-([0-9])".*/\1/p' | head -n 1)
echo "owner is instance $((owner + 1)), primary is db-$primary; killing the primary"
eval "kill -9 \$pid_database$primary"
expect 'outcome: done' "$(call 0 --session "$session" "INSERT INTO lines VALUES(2, 'second')")"
expect 'second' "$(call 1 --session "$session" 'SELECT body FROM lines WHERE id = 2')"

echo "killing the owner"
eval "kill -9 \$pid_instance$((owner + 1))"
other=$(((owner + 1) % 3))
third=$(((owner + 2) % 3))
expect 'outcome: done' "$(call $other --session "$session" "INSERT INTO lines VALUES(3, 'third')")"
expect '^3$' "$(call $third --session "$session" 'SELECT count(*) FROM lines')"

echo "shutting the new owner down"
for n in $other $third; do
    if "$program" status --json --control "${controls[$n]}" --key secret | grep -q '"role" : "owner"'; then leaving=$n; fi
done
stays=$((other + third - leaving))
eval "leaving_pid=\$pid_instance$((leaving + 1))"
kill -TERM "$leaving_pid"
status=0
wait "$leaving_pid" || status=$?
[ "$status" = 0 ] || { echo "graceful shutdown ended with $status"; cat "$work/instance$((leaving + 1)).err"; exit 1; }
expect '^3$' "$(call $stays --session "$session" 'SELECT count(*) FROM lines')"
echo "every step held"
