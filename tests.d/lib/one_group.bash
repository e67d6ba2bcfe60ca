# Starts the whole path as separate processes: platform, one group of three databases, three instances. To be sourced by
# tests in the parent folder that run with `set -e`. All processes are killed when the test exits.
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

owner_of_group() { # prints the index of the instance that owns the group; waits while it changes its owner
    for _ in $(seq 40); do
        for n in 0 1 2; do
            if "$program" status --json --control "${controls[$n]}" --key secret 2>/dev/null | tr -d ' \n\t' | grep -q '"role":"owner"'; then
                echo "$n"
                return 0
            fi
        done
        sleep 0.1
    done
    return 1
}
