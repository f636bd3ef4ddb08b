# Changes and faults of the demo while the load runs.
MARKS=()         # arguments that mark events in the plot
LEAVING=()       # NAME=MS: time at which the leaving mark of a server was accepted
IN_FORCE_MS=0    # longest time until a change was in force on every entry VM
FAILURES=()
KILLED_ENTRY=10  # numbers of entry processes that are no seed peers
STOPPED_ENTRY=11

fail() {
  say "FAILED: $*"
  FAILURES+=("$*")
}

mark_event() {
  say "$1"
  MARKS+=("--mark" "$(now_ms)=$1")
}

# wait_until SECONDS: sleeps until this time after the start of the load.
wait_until() {
  local LEFT=$((EVENTS_START + $1 * 1000 - $(now_ms)))
  [ "$LEFT" -le 0 ] || sleep "$(printf '%d.%03d' $((LEFT / 1000)) $((LEFT % 1000)))"
}

# choose_preset NAME: chooses a preset and waits until it is in force on every entry VM.
choose_preset() {
  local START TOOK
  mark_event "preset $1"
  START=$(now_ms)
  ctl preset choose "$1" --wait >"$OUT/choose-$1.txt" 2>&1 || fail "preset $1 was not in force everywhere: $(tail -1 "$OUT/choose-$1.txt")"
  TOOK=$(($(now_ms) - START))
  [ "$TOOK" -le "$IN_FORCE_MS" ] || IN_FORCE_MS=$TOOK
  say "preset $1 in force on every entry VM after $TOOK ms"
}

post_backend_admin() { curl -sf -m 5 -X POST -o /dev/null "http://127.0.0.1:$BACKEND_ADMIN/servers/$1" -d "${2:-}"; }

# Marks a server as leaving and stops it once no call is in flight there.
retire_server() {
  mark_event "$MARKED leaves"
  if ! ctl server leave "$MARKED" --wait >"$OUT/leave.txt" 2>&1; then
    fail "$MARKED did not become idle: $(tail -1 "$OUT/leave.txt")"
    return 0
  fi
  LEAVING+=("$MARKED=$(now_ms)")
  mark_event "$MARKED stops"
  post_backend_admin "$MARKED/stop?mode=graceful" || fail "$MARKED could not be stopped"
}

# Two operators mark the same server at the same time; at least one must succeed.
mark_concurrently() {
  local A B CODE_A=0 CODE_B=0
  mark_event "two operators mark $RACED"
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
  mark_event "entry $((STOPPED_ENTRY + 1)) stops"
  kill -TERM "${ENTRY_PIDS[$STOPPED_ENTRY]}"
  wait "${ENTRY_PIDS[$STOPPED_ENTRY]}" || CODE=$?
  [ "$CODE" = 0 ] || fail "the stopped entry process ended with status $CODE"
}

run_events() {
  EVENTS_START=$(now_ms)
  wait_until 3 && choose_preset peak
  wait_until 5 && retire_server
  wait_until 8 && mark_event "$DRAINING drains" && post_backend_admin "$DRAINING/control" '{"draining": true}'
  wait_until 9 && mark_concurrently
  wait_until 10 && mark_event "$VICTIM is killed" && kill_process "$VICTIM_PID"
  wait_until 14 && choose_preset maintenance
  wait_until 17 && mark_event "entry $((KILLED_ENTRY + 1)) is killed" && kill_process "${ENTRY_PIDS[$KILLED_ENTRY]}"
  wait_until 19 && stop_entry
}
