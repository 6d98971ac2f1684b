#!/usr/bin/env bash
# Installs the Debian packages that are missing.
#   tests/packages.sh build|test|check     to build; to test as well; for all of .ci/run
set -euo pipefail
need=()
want() { [ -e "$1" ] || command -v "$1" >/dev/null || need+=("$2"); }
want cmake cmake
want make make
want c++ g++
want /usr/include/boost/leaf.hpp libboost1.81-dev  # Debian's libboost-dev is 1.74, without LEAF
want /usr/include/nlohmann/json.hpp nlohmann-json3-dev
want /usr/include/CLI/CLI.hpp libcli11-dev
want /usr/include/toml++/toml.h libtomlplusplus-dev
want /usr/include/sodium.h libsodium-dev
want /usr/include/pcg_random.hpp libpcg-cpp-dev
want /usr/include/xxhash.h libxxhash-dev
want /usr/include/protozero/pbf_reader.hpp libprotozero-dev
want /usr/include/sqlite3.h libsqlite3-dev
want /usr/include/spdlog/spdlog.h libspdlog-dev
want pkg-config pkg-config
want /usr/include/absl/flags/flag.h libabsl-dev
want /usr/include/jsoncpp/json/json.h libjsoncpp-dev
want /usr/include/leveldb/db.h libleveldb-dev
want /usr/include/snappy.h libsnappy-dev
want /usr/include/cereal/cereal.hpp libcereal-dev
case "${1:-build}" in test | check)
    want /usr/include/gtest/gtest.h libgtest-dev
    want /usr/include/doctest/doctest.h doctest-dev
    ;;
esac
case "${1:-build}" in check)
    want clang-format-14 clang-format-14
    want clang++-14 clang-14
    want clang-tidy-14 clang-tidy-14
    want valgrind valgrind
    want ccache ccache
    ;;
esac
[ ${#need[@]} -gt 0 ] || exit 0
as_root=()
[ "$(id -u)" = 0 ] || as_root=(sudo)
export DEBIAN_FRONTEND=noninteractive
"${as_root[@]}" apt-get update -q
"${as_root[@]}" apt-get install -qy --no-install-recommends "${need[@]}"
