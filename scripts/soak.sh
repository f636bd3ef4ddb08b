#!/usr/bin/env bash
# Plays a short seed of the fault soak and the seeds that have ever failed.
set -eu
cd "$(dirname "$0")/.."
SOAK="python3 bench/soak/soak.py"
$SOAK --seeds 14 --seconds 10
grep -v '^#' bench/soak/regressions.txt | while read -r SEED SECONDS_LONG CAUSE; do
  echo "regression: seed $SEED ($CAUSE)"
  $SOAK --seeds "$SEED" --seconds "$SECONDS_LONG" </dev/null
done
