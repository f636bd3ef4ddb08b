#!/usr/bin/env bash
# Runs one short seed of the fault soak and all seeds that have failed before.
set -eu
cd "$(dirname "$0")/.."
SOAK="python3 bench/soak/soak.py"
$SOAK --seeds 14 --seconds 10
grep -v '^#' bench/soak/regressions.txt | while read -r SEED SECONDS_LONG CAUSE; do
  echo "regression: seed $SEED ($CAUSE)"
  $SOAK --seeds "$SEED" --seconds "$SECONDS_LONG" </dev/null
done
