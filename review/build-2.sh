#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 and later in target/review-2/, from the libraries that the deploy build has left in target/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
flags="-std=c++20 -O1 -I. -Imustardrouter/Schema -DASIO_STANDALONE -DASIO_NO_DEPRECATED $(pkg-config --cflags jsoncpp)"
libraries="target/libmustardrouter_shell.a target/libmustardrouter_core.a target/libmustardrouter_schema.a target/libmustardrouter_json_rpc.a \
$(pkg-config --libs prometheus-cpp-pull jsoncpp protobuf) -llog4cxx -lsqlite3 -lboost_program_options -lcrypto -lpthread"
objects=""
for source in review/standin-2/*.cpp; do
    object=target/review-2/$(basename "$source" .cpp).o
    # shellcheck disable=SC2086
    g++ $flags -c "$source" -o "$object"
    objects="$objects $object"
done
for source in review/[0-9]*/main.cpp; do
    number=$(basename "$(dirname "$source")")
    [ "$number" -ge 6 ] || continue
    # shellcheck disable=SC2086
    g++ $flags "$source" $objects $libraries -o "target/review-2/case-$number"
done
