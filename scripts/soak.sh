#!/usr/bin/env bash
# Runs short seeds of the fault soak, among them one with cold servers, one with
# evacuations and one with a crowd of idle callers, and all seeds that have failed before.
set -eu
cd "$(dirname "$0")/.."
SOAK="python3 bench/soak/soak.py"
$SOAK --seeds 14 --seconds 10
$SOAK --seeds 301 --seconds 14
$SOAK --seeds 310 --seconds 14 --kinds evacuate,configure --interval 3
$SOAK --seeds 411 --seconds 8 --kinds crowd --interval 3
grep -v '^#' bench/soak/regressions.txt | while read -r SEED SECONDS_LONG CAUSE; do
  echo "regression: seed $SEED ($CAUSE)"
  $SOAK --seeds "$SEED" --seconds "$SECONDS_LONG" </dev/null
done
