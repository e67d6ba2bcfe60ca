#!/usr/bin/env bash
# Failovers with a low connection limit must not exceed the limit of any database.
set -euo pipefail
./build/mustardrouter load --profile examples/load/granite-notch-failover.json --scale 0.7 --rate 0.5
