#!/usr/bin/env bash
# Sets up, builds, and runs the demo; arguments go to "mustardrouter demo".
set -euo pipefail
cd "$(dirname "$0")"
./setup.sh >&2
exec ./build/mustardrouter demo "$@"
