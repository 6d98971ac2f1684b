#!/usr/bin/env bash
# Installs the Debian packages that are missing.
#   tests/packages.sh build|test|check     to build; to test as well; for all of .ci/run
set -euo pipefail
need=()
want() { [ -e "$1" ] || command -v "$1" >/dev/null || need+=("$2"); }
want cmake cmake
want make make
want c++ g++
want /usr/include/boost/asio.hpp libboost-dev
want /usr/include/nlohmann/json.hpp nlohmann-json3-dev
want /usr/include/CLI/CLI.hpp libcli11-dev
want /usr/include/toml++/toml.h libtomlplusplus-dev
want /usr/include/sodium.h libsodium-dev
want /usr/include/pcg_random.hpp libpcg-cpp-dev
want /usr/include/xxhash.h libxxhash-dev
want /usr/include/protozero/pbf_reader.hpp libprotozero-dev
want /usr/include/sqlite3.h libsqlite3-dev
want /usr/include/spdlog/spdlog.h libspdlog-dev
case "${1:-build}" in test | check) want /usr/include/gtest/gtest.h libgtest-dev ;; esac
case "${1:-build}" in check)
    want clang-format-14 clang-format-14
    want clang++-14 clang-14
    want valgrind valgrind
    ;;
esac
[ ${#need[@]} -gt 0 ] || exit 0
as_root=()
[ "$(id -u)" = 0 ] || as_root=(sudo)
export DEBIAN_FRONTEND=noninteractive
"${as_root[@]}" apt-get update -q
"${as_root[@]}" apt-get install -qy --no-install-recommends "${need[@]}"
