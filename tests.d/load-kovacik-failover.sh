#!/usr/bin/env bash
# A load run with a failover must report no violation; its report and plot can be written, and the report read back.
set -euo pipefail
out=$(mktemp -d)
trap 'rm -rf "$out"' EXIT
./build/mustardrouter load --profile examples/load/kovacik-failover.json --scale 0.7 --report "$out/a.json" --plot "$out/a.svg"
./build/mustardrouter load --compare "$out/a.json" "$out/a.json"
grep -q "kill the primary" "$out/a.svg"
