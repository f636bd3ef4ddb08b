#!/usr/bin/env bash
# Builds cumingauge and runs one deployment on this machine: a store, 14 entry
# processes, 27 backend servers and load. While the load runs it changes the
# preset, marks servers as leaving, drains one, kills and freezes others, kills
# one entry process and stops another. The last line of output is one JSON
# object; the exit status is 0 only if every check of the report passed.
#
# usage: scripts/demo.sh [nord-italia|gujarat]
set -eu
cd "$(dirname "$0")/.."
DEPLOYMENT=${1:-nord-italia}
[ -d "presets/$DEPLOYMENT" ] || { echo "usage: $0 [nord-italia|gujarat]" >&2; exit 10; }
BIN=${CUMINGAUGE_BIN:-$PWD/build/src} # set CUMINGAUGE_BIN to use programs built elsewhere
OUT=$PWD/out/$DEPLOYMENT

scripts/install-deps.sh
if [ -z "${CUMINGAUGE_BIN:-}" ]; then
  cmake -S . -B build -G Ninja >/dev/null
  cmake --build build --target cumingauged cumingaugectl cumingauge-load \
    cumingauge-fakestore cumingauge-fakebackend
fi
rm -rf "$OUT"
mkdir -p "$OUT"

. scripts/demo/processes.sh
. scripts/demo/settings.sh
. scripts/demo/events.sh
. scripts/demo/report.sh
trap stop_started_processes EXIT
trap 'say "the demo failed before its end; the logs are in $OUT"' ERR

say "starting the store, 27 backend servers and 14 entry processes"
start_store
start_backends
start_entries
initialize_deployment
wait_until_ready

say "sending load for $LOAD_SECONDS s"
write_plan
"$BIN/cumingauge-load" run "$OUT/plan.json" --out "$OUT/result.json" 2>"$OUT/load.log" &
LOAD_PID=$!
run_events
wait "$LOAD_PID"

write_plots
report
