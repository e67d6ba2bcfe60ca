#!/usr/bin/env bash
# Soak seed 203, two rounds: a watch requested while the store was unresponsive was lost, and the configuration update with it. A step
# of its own, so that its entry in KNOWN-RED.txt passes over no other seed.
set -euo pipefail
cd "$(dirname "$0")/.."
folder=build/logs/soak
mkdir -p "$folder"
./build/mustardrouter soak --seed 203 --minutes 0.8 --folder "$folder"
