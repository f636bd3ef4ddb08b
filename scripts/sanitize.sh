#!/usr/bin/env bash
# Builds and runs tests with sanitizers: ASan and UBSan over every area, TSan
# over the areas whose tests cross threads. Argument: address, thread or all.
set -eu
cd "$(dirname "$0")/.."
WHICH=${1:-all}
THREADED_AREAS='traffic|http|adapters|peer'

run() { # DIR SANITIZERS CTEST-ARGUMENTS...
  local DIR=$1 SANITIZERS=$2
  shift 2
  cmake -S . -B "$DIR" -G Ninja -DCUMINGAUGE_SANITIZE="$SANITIZERS" >/dev/null
  cmake --build "$DIR"
  ctest --test-dir "$DIR" --output-on-failure --no-tests=error -j 4 "$@"
}

case $WHICH in address | all) run build-asan address,undefined ;; esac
case $WHICH in thread | all) run build-tsan thread -R "^($THREADED_AREAS)$" ;; esac
