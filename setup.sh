#!/usr/bin/env bash
# Installs the build dependencies on Debian 12 and builds all targets in build/.
set -euo pipefail
cd "$(dirname "$0")"
packages="g++ cmake ninja-build ccache pkg-config libasio-dev libprotobuf-dev protobuf-compiler libjsonrpccpp-dev libjsoncpp-dev \
libcurl4-openssl-dev libmicrohttpd-dev prometheus-cpp-dev libboost1.81-dev libboost-program-options1.81-dev liblog4cxx-dev libcpputest-dev \
librapidcheck-dev libxxhash-dev libsqlite3-dev libssl-dev spin gcc curl clang-format clang-tidy libclang-rt-14-dev clang"
missing=""
for package in $packages; do
    dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'ok installed' || missing="$missing $package"
done
if [ -n "$missing" ]; then
    sudo=""
    [ "$(id -u)" = 0 ] || sudo="sudo"
    $sudo apt-get update -qq
    # shellcheck disable=SC2086
    DEBIAN_FRONTEND=noninteractive $sudo apt-get install -y -qq --no-install-recommends $missing >/dev/null
fi
cmake -S . -B build -G Ninja >build-configure.log 2>&1 || { cat build-configure.log; exit 1; }
rm -f build-configure.log
# Ninja's default of two jobs more than cores makes the largest translation units swap on small machines.
ninja -C build -j "${MUSTARDROUTER_JOBS:-$(nproc)}"
