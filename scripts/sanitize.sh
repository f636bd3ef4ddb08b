#!/usr/bin/env bash
# Builds and runs tests with sanitizers: ASan and UBSan for every area, TSan for
# the areas whose tests use several threads. Argument: address, thread or all
# (default).
set -eu
cd "$(dirname "$0")/.."
WHICH=${1:-all}
THREADED_AREAS='traffic|http|adapters|peer'

build_and_test() { # DIR SANITIZERS CTEST-ARGUMENTS...
  local DIR=$1 SANITIZERS=$2
  shift 2
  cmake -S . -B "$DIR" -G Ninja -DCUMINGAUGE_SANITIZE="$SANITIZERS" >/dev/null
  cmake --build "$DIR"
  ctest --test-dir "$DIR" --output-on-failure --no-tests=error -j 4 "$@"
}

case $WHICH in address | all) build_and_test build-asan address,undefined ;; esac
case $WHICH in thread | all) build_and_test build-tsan thread -R "^($THREADED_AREAS)$" ;; esac
