#!/usr/bin/env bash
# Runs the libFuzzer targets for a fixed number of inputs from a fixed seed.
set -euo pipefail
compiler=$(command -v clang++-14 || true)
[ -n "$compiler" ] || { echo "clang++-14 is missing"; exit 1; }
runs=20000
seed=20261203
folder=build/fuzz
mkdir -p "$folder"
cache=$(command -v ccache || true)
flags="-std=c++20 -O1 -g1 -fsanitize=fuzzer-no-link,address,undefined -fno-sanitize-recover=all -I. -Imustardrouter/Schema $(pkg-config --cflags jsoncpp)"

compile() { # source
    # shellcheck disable=SC2086
    $cache "$compiler" $flags -c "$1" -o "$folder/$(basename "$1").o"
}

source=mustardrouter
generated=("$source/Schema/wire.pb.cc" "$source/Schema/objects.pb.cc" "$source/Schema/relay.pb.cc")
others=(fuzz/fuzz_token.cpp fuzz/fuzz_frames.cpp fuzz/fuzz_settings.cpp fuzz/fuzz_platform.cpp
    "$source/Sessions/session_token.cpp" "$source/Network/frame_reader.cpp" "$source/Instance/wire_codec.cpp"
    "$source/Configuration/change_set.cpp" "$source/Configuration/configuration_check.cpp"
    "$source/Platform/object_codec.cpp" "$source/Runtime/json_settings.cpp"
    "$source/Edge/limit_codec.cpp" "$source/Workspaces/limit_message.cpp" "$source/Runtime/json_object.cpp" "$source/Runtime/json_slices.cpp" platform/line_codec.cpp platform/stored_objects.cpp "$source/Workspaces/workspace_table.cpp" "$source/Workspaces/key_digest.cpp")
(for file in "${generated[@]}"; do compile "$file"; done) &
first=$!
for file in "${others[@]}"; do compile "$file"; done
wait "$first"

link() { # target objects...
    local target=$1
    shift
    "$compiler" -fsanitize=fuzzer,address,undefined "${@/#/$folder/}" -o "$folder/$target" -lprotobuf -ljsoncpp -lcrypto
}
link fuzz_token fuzz_token.cpp.o session_token.cpp.o
link fuzz_frames fuzz_frames.cpp.o frame_reader.cpp.o wire_codec.cpp.o wire.pb.cc.o
link fuzz_settings fuzz_settings.cpp.o change_set.cpp.o configuration_check.cpp.o object_codec.cpp.o json_settings.cpp.o objects.pb.cc.o
link fuzz_platform fuzz_platform.cpp.o line_codec.cpp.o stored_objects.cpp.o limit_codec.cpp.o limit_message.cpp.o json_object.cpp.o json_slices.cpp.o workspace_table.cpp.o key_digest.cpp.o relay.pb.cc.o

for target in token frames settings platform; do
    echo "--- fuzz_$target: $runs runs, seed $seed"
    "$folder/fuzz_$target" -runs=$runs -seed=$seed -max_len=4096 -timeout=5 -rss_limit_mb=1024 -print_final_stats=0 \
        -artifact_prefix="$folder/" "$(mktemp -d "$folder/corpus.XXXX")" "fuzz/seeds/$target" 2>&1 | tail -n 3
done
