#!/usr/bin/env bash
# A rolling shutdown of the instances must not interrupt any request.
set -euo pipefail
out=$(mktemp -d)
trap 'rm -rf "$out"' EXIT
./build/mustardrouter load --profile examples/load/granite-notch-rolling-shutdown.json --rate 0.5 --report "$out/rolling.json"
grep -q '"cleanShutdowns": 3' "$out/rolling.json"
if grep -q '"unknown"' "$out/rolling.json"; then
    echo "a shutdown interrupted requests"
    exit 1
fi
