#!/usr/bin/env bash
# Injects faults over loopback (primary killed or frozen, owner killed, connection silent), each with the platform up, down
# and losing answers.
set -euo pipefail
./build/UnitTests/loopback 1
