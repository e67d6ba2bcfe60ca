#!/usr/bin/env bash
# The fault soak, short: instances as processes of their own under faults from outside. Seeds that failed once stay here.
set -uo pipefail
cd "$(dirname "$0")/.."
folder=build/logs/soak
mkdir -p "$folder"
# Seed and why it is here.
seeds=(
    "11 databases leave while links are harmed"
    "12 answers without an end, held links"
    "203 two rounds: a watch asked for while the store was silent was lost, and the configuration with it"
)
pids=()
for entry in "${seeds[@]}"; do
    seed=${entry%% *}
    minutes=0.4
    case $entry in *"two rounds"*) minutes=0.8 ;; esac
    ./build/mustardrouter soak --seed "$seed" --minutes "$minutes" --folder "$folder" >"$folder/$seed.txt" 2>&1 &
    pids+=($!)
done
result=0
for pid in "${pids[@]}"; do
    wait "$pid" || result=1
done
for entry in "${seeds[@]}"; do
    cat "$folder/${entry%% *}.txt"
done
exit "$result"
