# Starts and stops the processes of the demo. Stops only processes that it has
# started, by their process id.
STARTED=()

say() { printf '%s %s\n' "$(date +%T)" "$*"; }
now_ms() { date +%s%3N; }

# start NAME PROGRAM ARGUMENT...: runs the program in the background. Its log is
# OUT/NAME.log; sets PID to its process id.
start() {
  local NAME=$1
  shift
  "$@" >"$OUT/$NAME.log" 2>&1 &
  PID=$!
  STARTED+=("$PID")
}

# wait_for SECONDS COMMAND...: repeats the command until it succeeds; fails after SECONDS.
wait_for() {
  local END=$(($(now_ms) + $1 * 1000))
  shift
  until "$@"; do
    [ "$(now_ms)" -lt "$END" ] || return 1
    sleep 0.1
  done
}

# Waits for the killed process, so that the shell prints no message about it.
kill_process() {
  kill -KILL "$1"
  wait "$1" 2>/dev/null || true
}

stop_started_processes() {
  local P
  for P in "${STARTED[@]}"; do kill -TERM "$P" 2>/dev/null || true; done
  for P in "${STARTED[@]}"; do
    wait_for 10 has_exited "$P" || kill -KILL "$P" 2>/dev/null || true
    wait "$P" 2>/dev/null || true
  done
  STARTED=()
}

has_exited() { [ ! -e "/proc/$1" ] || grep -q '^State:.Z' "/proc/$1/status" 2>/dev/null; }

# free_ports COUNT: prints the first of COUNT consecutive free ports below the ephemeral range.
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
