#!/usr/bin/env bash
# The one test command: installs what the tests need, configures and builds into a folder, then runs every test.
#   tests/run.sh [FOLDER [CMAKE OPTIONS...]]
set -euo pipefail
cd "$(dirname "$0")/.."
tests/packages.sh test
folder=${1:-build-tests}
shift || true
cmake -S . -B "$folder" -DKELPLB_TESTS=ON "$@"
cmake --build "$folder" -j"$(nproc)"
ctest --test-dir "$folder" --output-on-failure -j"$(nproc)"
