#!/usr/bin/env bash
# Compares random histories of the decision modules with a naive router. For a longer run:
# build/UnitTests/histories --count N --seed S.
set -euo pipefail
./build/UnitTests/histories --count 20000 --threads 4
# The fault schedules that expose the rarer defects must pass if no defect is injected.
./build/UnitTests/histories --count 2000 --threads 4 --fault slowReplicas@0+700 --fault crashPrimary@100+140 \
    --fault crashPrimary@250+140 --fault crashPrimary@400+200
./build/UnitTests/histories --count 2000 --threads 4 --fault cutPrimary@150+500
./build/UnitTests/histories --count 20000 --threads 4 --all-defects
