# Starts and ends the processes of the demo. Only processes that it has started
# are ever ended, by their process number.
STARTED=()

say() { printf '%s %s\n' "$(date +%T)" "$*"; }
now_ms() { date +%s%3N; }

# start NAME PROGRAM ARGUMENT...: runs in the background; log in OUT/NAME.log,
# process number in PID.
start() {
  local NAME=$1
  shift
  "$@" >"$OUT/$NAME.log" 2>&1 &
  PID=$!
  STARTED+=("$PID")
}

# wait_for SECONDS COMMAND...: repeats the command until it succeeds.
wait_for() {
  local END=$(($(now_ms) + $1 * 1000))
  shift
  until "$@"; do
    [ "$(now_ms)" -lt "$END" ] || return 1
    sleep 0.1
  done
}

# Reaped at once, so that the shell prints no notice of its own.
kill_process() {
  kill -KILL "$1"
  wait "$1" 2>/dev/null || true
}

stop_all() {
  local P
  for P in "${STARTED[@]}"; do kill -TERM "$P" 2>/dev/null || true; done
  for P in "${STARTED[@]}"; do
    wait_for 10 is_gone "$P" || kill -KILL "$P" 2>/dev/null || true
    wait "$P" 2>/dev/null || true
  done
  STARTED=()
}

is_gone() { [ ! -e "/proc/$1" ] || grep -q '^State:.Z' "/proc/$1/status" 2>/dev/null; }

# free_ports COUNT: a base below the ephemeral range with so many free ports.
free_ports() {
  local BASE TRY PORT
  for TRY in $(seq 50); do
    BASE=$((20000 + RANDOM % 12000))
    for PORT in $(seq "$BASE" $((BASE + $1 - 1))); do
      (: <"/dev/tcp/127.0.0.1/$PORT") 2>/dev/null && continue 2
    done
    echo "$BASE"
    return 0
  done
  return 1
}
