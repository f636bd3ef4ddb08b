#!/usr/bin/env bash
# Fails when a folder of the core library includes a header of a folder that it
# must not depend on, or breaks one of the rules below.
set -eu
cd "$(dirname "$0")/../src/libcumingauge"
STATUS=0

# forbid FOLDER PATTERN: no file of FOLDER may include a header that matches.
forbid() {
  if grep -rnE "#include [<\"]($2)" "$1"; then
    echo "$1 must not include $2" >&2
    STATUS=1
  fi
}

IO='boost/(asio|beast|log|thread)|websocketpp|prometheus|thread>|mutex>|sys/|unistd|time\.h>|fstream>|iostream>'
forbid model "(policy|control|traffic|ports|adapters|codec|emulator)/|$IO"
forbid ports "(policy|control|traffic|adapters|codec|emulator)/|$IO"
forbid policy "(control|traffic|adapters|emulator)/|$IO"
forbid control "(policy|traffic|adapters|emulator)/|$IO"
forbid codec "(policy|control|traffic|adapters|ports|emulator)/|$IO"
forbid traffic "(adapters|emulator)/|$IO"
forbid adapters "emulator/"
forbid platform "(control|policy|emulator)/"
forbid model "platform/"
forbid control "platform/"
forbid policy "platform/"
forbid traffic "platform/"
forbid adapters "platform/"
# Names of the platform's protocol.
WORDS='kv-(key|range|watch|txn)|Attempt-Id|Not-Executed|Expected-Instance|Response-Signature|Server-Load|op/config|latency-objective|traffic-split|cold-remaining|api-keys|"[Tt]enants?"'
if grep -rnE "$WORDS" .. --include='*.h' --include='*.cpp' | grep -v '/platform/'; then
  echo "names of the platform's protocol may appear in platform/ only" >&2
  STATUS=1
fi
if grep -rnE '(steady|system|high_resolution)_clock::now' model policy control codec traffic; then
  echo "only adapters may read a clock; other folders get the time as a parameter" >&2
  STATUS=1
fi
exit $STATUS
