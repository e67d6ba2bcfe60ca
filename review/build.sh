#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts, into target/review/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
objects=()
for source in review/StandIn/*.cpp; do
    object=target/review/$(basename "$source" .cpp).o
    # shellcheck disable=SC2046
    g++ -std=c++20 -O1 -Wall -Wextra -Wno-mismatched-new-delete -DASIO_STANDALONE $(pkg-config --cflags jsoncpp) -c "$source" -o "$object" &
    objects+=("$object")
done
for _ in "${objects[@]}"; do
    wait -n
done
g++ "${objects[@]}" -o target/review/bed -ljsoncpp -pthread
