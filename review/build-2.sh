#!/bin/sh
# Builds the stand-ins of the second review's cases into review/build/. The project's own programs are built by
# the command of deploy/system.toml.
set -e
cd "$(dirname "$0")/.."
mkdir -p review/build
for file in review/standin-2/*.cpp; do
    case=$(basename "$file" .cpp)
    [ "$case" != mesh ] || continue
    g++ -std=c++20 -O2 -Wall -Wextra -pthread review/standin-2/mesh.cpp "$file" -o "review/build/$case"
done
