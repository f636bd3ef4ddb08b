# Plots, checks and summary of the demo.
LEAVING_GRACE_MS=3000 # from this time on, a server marked as leaving must get no new calls
MAX_IN_FORCE_MS=10000

write_plots() {
  "$BIN/cumingauge-load" plot "$OUT/result.json" --out "$OUT/latency.svg" "${MARKS[@]}" ||
    fail "the latency plot was not written"
  ctl timeline --html="$OUT/timeline.html" >"$OUT/timeline.txt" 2>&1 ||
    fail "the time line was not written: $(tail -1 "$OUT/timeline.txt")"
}

# Prints the number of calls started on servers marked as leaving, later than
# LEAVING_GRACE_MS after the mark.
count_work_after_leaving() {
  printf '%s\n' "${LEAVING[@]}" | jq -Rn --slurpfile r "$OUT/result.json" --argjson grace "$LEAVING_GRACE_MS" '
    $r[0] as $r | [inputs | select(. != "") | split("=") | {name: .[0], from: ((.[1] | tonumber) - $r.startedAtMs + $grace)}
      | . as $mark | $r.servers[] | select(.server == $mark.name)
      | .startsByBucket | to_entries[] | select(.key * $r.bucketMs >= $mark.from) | .value] | add // 0'
}

probe_budget_per_second() {
  jq -s --argjson services 2 'map(.measuring.probesPerSecond) | max * $services' "presets/$DEPLOYMENT"/{ordinary,peak,maintenance}.json
}

summary() {
  jq -c --argjson after "$(count_work_after_leaving)" --argjson inForce "$IN_FORCE_MS" \
    --argjson budget "$(probe_budget_per_second)" --arg deployment "$DEPLOYMENT" '
    def r: . * 1000 | round / 1000;
    {deployment: $deployment, calls: .overall.calls, answered: .overall.answered,
     lost: .verdict.lost, doubled: .verdict.doubled, foreign: .verdict.foreign,
     untruthful: .verdict.untruthful, cut_off: .verdict.cutOff, work_after_leaving: $after,
     in_force_seconds: ($inForce / 1000), p50_ms: (.overall.p50Ms | r), p99_ms: (.overall.p99Ms | r),
     p999_ms: (.overall.p999Ms | r), probes_per_s: (.probesPerSecond | r), probe_budget_per_s: $budget}' "$OUT/result.json"
}

# expect DESCRIPTION FILTER: fails with the description unless the jq filter is true for the summary.
expect() { jq -e "$2" "$OUT/summary.json" >/dev/null || fail "$1"; }

check_results() {
  summary >"$OUT/summary.json"
  local COUNT
  for COUNT in lost doubled foreign untruthful cut_off work_after_leaving; do
    expect "$COUNT is not 0" ".$COUNT == 0"
  done
  expect "a preset was in force everywhere only after more than $MAX_IN_FORCE_MS ms" ".in_force_seconds * 1000 <= $MAX_IN_FORCE_MS"
  expect "more probes per second than the budget allows" '.probes_per_s <= .probe_budget_per_s'
  expect "fewer than 98 of 100 calls were answered" '.answered >= 0.98 * .calls'
  jq -e .journalsComplete "$OUT/result.json" >/dev/null || fail "a journal is not complete"
  jq -e ".entries[$STOPPED_ENTRY].lostOnTheWay == 0" "$OUT/result.json" >/dev/null ||
    fail "the stopped entry process lost calls of callers"
  jq -e "[.entries[].lostOnTheWay] as \$lost | (\$lost | add) == \$lost[$KILLED_ENTRY]" "$OUT/result.json" >/dev/null ||
    fail "entry processes other than the killed one lost calls on the way"
}

report() {
  check_results
  say "calls by outcome: $(jq -c .outcomes "$OUT/result.json")"
  jq -r '.routes[] | select(.phase == "") | "  \(.route): \(.latency.answered) of \(.latency.calls) answered, p50 \(.latency.p50Ms | floor) ms, p99 \(.latency.p99Ms | floor) ms"' "$OUT/result.json"
  jq -c '.verdict.traces[]' "$OUT/result.json" | head -5
  say "plots: $OUT/latency.svg and $OUT/timeline.html"
  cat "$OUT/summary.json"
  [ ${#FAILURES[@]} -eq 0 ]
}
