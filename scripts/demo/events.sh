# What happens while the load runs.
MARKS=()         # lines of the plot
LEAVING=()       # NAME=MS: when a server's leaving mark was accepted
IN_FORCE_MS=0    # longest time until a change was in force on every entry VM
FAILURES=()
KILLED_ENTRY=10  # numbers of entry processes, none of them a seed
STOPPED_ENTRY=11

fail() {
  say "FAILED: $*"
  FAILURES+=("$*")
}

mark() {
  say "$1"
  MARKS+=("--mark" "$(now_ms)=$1")
}

# at SECONDS: sleeps until so long after the start of the load.
at() {
  local LEFT=$((EVENTS_START + $1 * 1000 - $(now_ms)))
  [ "$LEFT" -le 0 ] || sleep "$(printf '%d.%03d' $((LEFT / 1000)) $((LEFT % 1000)))"
}

# choose_preset NAME: waits until it is in force on every entry VM.
choose_preset() {
  local START TOOK
  mark "preset $1"
  START=$(now_ms)
  ctl preset choose "$1" --wait >"$OUT/choose-$1.txt" 2>&1 || fail "preset $1 was not in force everywhere: $(tail -1 "$OUT/choose-$1.txt")"
  TOOK=$(($(now_ms) - START))
  [ "$TOOK" -le "$IN_FORCE_MS" ] || IN_FORCE_MS=$TOOK
  say "preset $1 in force on every entry VM after $TOOK ms"
}

backend_admin() { curl -sf -m 5 -X POST -o /dev/null "http://127.0.0.1:$BACKEND_ADMIN/servers/$1" -d "${2:-}"; }

# Marks a server as leaving and stops it once no call is in flight there.
retire_server() {
  mark "$MARKED leaves"
  if ! ctl server leave "$MARKED" --wait >"$OUT/leave.txt" 2>&1; then
    fail "$MARKED did not become idle: $(tail -1 "$OUT/leave.txt")"
    return 0
  fi
  LEAVING+=("$MARKED=$(now_ms)")
  mark "$MARKED stops"
  backend_admin "$MARKED/stop?mode=graceful" || fail "$MARKED could not be stopped"
}

# Two operators mark the same server at the same moment: one change results.
race_operators() {
  local A B CODE_A=0 CODE_B=0
  mark "two operators mark $RACED"
  ctl server leave "$RACED" >"$OUT/race-a.txt" 2>&1 &
  A=$!
  ctl server leave "$RACED" >"$OUT/race-b.txt" 2>&1 &
  B=$!
  wait "$A" || CODE_A=$?
  wait "$B" || CODE_B=$?
  [ "$CODE_A" = 0 ] || [ "$CODE_B" = 0 ] || fail "no operator could mark $RACED ($CODE_A, $CODE_B)"
  LEAVING+=("$RACED=$(now_ms)")
}

stop_entry() {
  local CODE=0
  mark "entry $((STOPPED_ENTRY + 1)) stops"
  kill -TERM "${ENTRY_PIDS[$STOPPED_ENTRY]}"
  wait "${ENTRY_PIDS[$STOPPED_ENTRY]}" || CODE=$?
  [ "$CODE" = 0 ] || fail "the stopped entry process ended with status $CODE"
}

run_events() {
  EVENTS_START=$(now_ms)
  at 3 && choose_preset peak
  at 5 && retire_server
  at 8 && mark "$DRAINING drains" && backend_admin "$DRAINING/control" '{"draining": true}'
  at 9 && race_operators
  at 10 && mark "$VICTIM is killed" && kill_process "$VICTIM_PID"
  at 14 && choose_preset maintenance
  at 17 && mark "entry $((KILLED_ENTRY + 1)) is killed" && kill_process "${ENTRY_PIDS[$KILLED_ENTRY]}"
  at 19 && stop_entry
}
