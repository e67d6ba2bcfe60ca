#!/usr/bin/env bash
# Builds the stand-ins of the scripts in review/11 to review/15, after the build of the deploy file, into target/review-3/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for case in review/standin-3/*.cpp; do
    name=$(basename "$case" .cpp)
    [ "$name" = world ] && continue
    g++ -std=c++20 -O1 -Wall -Wextra -o "target/review-3/$name" "$case" review/standin-3/world.cpp
done
