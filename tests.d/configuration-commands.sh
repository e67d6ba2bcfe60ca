#!/usr/bin/env bash
# Runs apply, dry run, get, history, diff, rollback and a rejected removal against a platform stand-in.
set -euo pipefail
router=./build/mustardrouter
folder=$(mktemp -d)
stop() {
    kill "$platform" 2>/dev/null || true
    rm -rf "$folder"
}
trap stop EXIT
echo '{"address": "127.0.0.1:0"}' >"$folder/platform.json"
$router standin platform --settings "$folder/platform.json" >"$folder/log" &
platform=$!
for _ in $(seq 100); do
    grep -q " at " "$folder/log" && break
    sleep 0.05
done
address=$(sed 's/.* at //' "$folder/log")
expect() { # text command...
    local text=$1
    shift
    "$@" >"$folder/out" 2>&1 || true
    grep -qF -- "$text" "$folder/out" || { echo "expected \"$text\" of: $*"; cat "$folder/out"; exit 1; }
}
expect "add service/scripts" $router apply --platform "$address" -f examples/kovacik/configuration --dry-run
expect "REVISION" $router history --platform "$address"
expect "published revision 1" $router apply --platform "$address" -f examples/kovacik/configuration
mkdir "$folder/change"
echo '{"changed": [{"place": {"name": "trencin", "region": "slovakia"}}]}' >"$folder/change/a.json"
expect "published revision 2" $router apply --platform "$address" -f "$folder/change"
expect "add place/trencin" $router diff --platform "$address" 1 2
expect '"trencin"' $router get --platform "$address" place/trencin
echo '{"removed": [{"kind": "place", "name": "zilina"}]}' >"$folder/change/a.json"
expect "place/zilina: name: in_use: database_group/scripts-1.databases[scripts-1-zilina].place refers to it" \
    $router apply --platform "$address" -f "$folder/change"
expect "published revision 3" $router rollback --platform "$address" 1
expect "not_found: place/trencin does not exist" $router get --platform "$address" place/trencin
echo '{"changed": [{"place": {"name": "trencin", "region": "other"}}]}' >"$folder/change/a.json"
expect "place/trencin: also changed in revision 2" $router apply --platform "$address" -f "$folder/change" --base 1
expect "revision 9 does not exist or is no longer kept" $router diff --platform "$address" 1 9
$router history --platform "$address" >"$folder/out"
[ "$(wc -l <"$folder/out")" = 4 ]
[ "$(awk '{ if (length($0) > 80) print }' "$folder/out" | wc -l)" = 0 ]
