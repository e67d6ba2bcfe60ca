#!/usr/bin/env bash
# Short soak test: instances run as separate processes while faults are injected from outside. Keeps seeds that once failed.
set -uo pipefail
cd "$(dirname "$0")/.."
folder=build/logs/soak
mkdir -p "$folder"
# Each entry is a seed and the fault that it covers.
seeds=(
    "11 databases leave while connections are faulty"
    "12 answers that never end, stalled connections"
    "29 replaced primaries continue, scarce connections: statements are relayed"
    "3 all instances in one data centre: most learn of the store's changes from others"
    "118 an order without a reply is repeated: the claim must get a new revision"
    "571 a watch repeated while the store was silent was awaited after its return, and a removed route served (inc1)"
    "20054 holders that are to stop stand still: late messages of channels that they closed (issue 33)"
    "5010 keys are withdrawn and a limit is lowered while instances can't read it (workspaces)"
    "30000 many routes over narrow links, learnt of from others: differences, and what is too large for a link (issue 36)"
    "70000 a route moves between two groups and back while replicas lag (issue 58)"
    "60002 entries of lost instances among those of the living, orders refused while a database leaves (issue 52)"
    "203 two rounds: a watch requested while the store was unresponsive was lost, and the configuration update with it"
    "5101 two rounds: the same with returns of the store; once an answer was another's"
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
