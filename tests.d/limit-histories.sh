#!/usr/bin/env bash
# Random histories of the limits of workspaces in virtual time: no window beyond a limit whatever fails, and nearly nothing refused
# below it. LIMIT_HISTORIES sets their number.
set -euo pipefail
cd "$(dirname "$0")/.."
exec "${BUILD:-build}/UnitTests/limit_histories" "${LIMIT_HISTORIES:-500}" "${LIMIT_SEED:-1}"
