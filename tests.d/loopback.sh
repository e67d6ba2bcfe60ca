#!/usr/bin/env bash
# A primary killed and frozen, an owner killed, a connection silent; the platform up, down and losing answers.
set -euo pipefail
./build/UnitTests/loopback 1
