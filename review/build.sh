#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start, into review/build/. Needs g++ alone.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p build
for source in standin/*.cpp; do
    g++ -std=c++20 -O2 -Wall -Wextra -Wconversion -pthread -o "build/$(basename "$source" .cpp)" "$source"
done
