#!/usr/bin/env bash
# Installs the libraries, builds everything and runs all tests. Arguments go to ctest.
set -eu
cd "$(dirname "$0")/.."
scripts/install-deps.sh
cmake -S . -B build -G Ninja >/dev/null
cmake --build build
ctest --test-dir build --output-on-failure --no-tests=error -j 4 "$@"
