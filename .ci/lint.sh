#!/usr/bin/env bash
# Runs clang-tidy in parallel over all sources of the project. A file that passed is skipped until the file, its headers or
# .clang-tidy change.
set -uo pipefail
cd "$(dirname "$0")/.."
cache=build/lint
mkdir -p "$cache"
# clang-tidy cannot read the precompiled headers of g++.
sed -E 's/-Winvalid-pch//g; s/-include [^ ]*cmake_pch\.hxx//g' build/compile_commands.json >"$cache/compile_commands.json"

lint_one() {
    local file=$1
    local depends
    depends=$(g++ -std=c++20 -MM -I. -Imustardrouter/Schema -I/usr/include/jsoncpp -DASIO_STANDALONE "$file" 2>/dev/null | tr -d '\\' | tr ' ' '\n' | grep -E '\.(h|cpp)$' | sort -u)
    local key
    # shellcheck disable=SC2086
    key=$(cat .clang-tidy $depends "$file" 2>/dev/null | sha256sum | cut -c1-32)
    local stamp="${XDG_CACHE_HOME:-$HOME/.cache}/mustardrouter-lint/$key"
    [ -e "$stamp" ] && return 0
    if clang-tidy --quiet -p build/lint "$file" >"build/lint/$(echo "$file" | tr / _).log" 2>/dev/null; then
        mkdir -p "$(dirname "$stamp")"
        : >"$stamp"
        return 0
    fi
    cat "build/lint/$(echo "$file" | tr / _).log"
    return 1
}
export -f lint_one
# Without arguments, checks all sources.
[ $# -gt 0 ] || mapfile -t all < <(git ls-files 'mustardrouter/*.cpp' 'platform/*.cpp' 'bench/*.cpp')
[ $# -gt 0 ] || set -- "${all[@]}"
if printf '%s\n' "$@" | xargs -P "${LINT_JOBS:-$(nproc)}" -I{} bash -c 'lint_one {}'; then
    echo "linter: clean"
else
    echo "linter: FAILED"
    exit 1
fi
