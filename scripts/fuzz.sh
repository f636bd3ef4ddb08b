#!/usr/bin/env bash
# Runs the fuzz tests on many inputs. Arguments: inputs per target (default
# 1000000), seed (default 1). CI runs a smaller, fixed number with the other tests.
set -eu
cd "$(dirname "$0")/.."
scripts/install-deps.sh
[ -f build/build.ninja ] || cmake -S . -B build -G Ninja >/dev/null
cmake --build build --target cumingauge-test-fuzz
FUZZ_INPUTS=${1:-1000000} FUZZ_SEED=${2:-1} build/tests/cumingauge-test-fuzz
