# The report, the pictures and the verdict.
LEAVING_GRACE_MS=3000 # a marked server gets no new work after this time
MAX_IN_FORCE_MS=10000

write_pictures() {
  "$BIN/cumingauge-load" plot "$OUT/result.json" --out "$OUT/latency.svg" "${MARKS[@]}" ||
    fail "no latency plot"
  ctl timeline --html="$OUT/timeline.html" >"$OUT/timeline.txt" 2>&1 ||
    fail "no time line: $(tail -1 "$OUT/timeline.txt")"
}

# Calls that a marked server started later than the grace after its mark.
work_after_leaving() {
  printf '%s\n' "${LEAVING[@]}" | jq -Rn --slurpfile r "$OUT/result.json" --argjson grace "$LEAVING_GRACE_MS" '
    $r[0] as $r | [inputs | select(. != "") | split("=") | {name: .[0], from: ((.[1] | tonumber) - $r.startedAtMs + $grace)}
      | . as $mark | $r.servers[] | select(.server == $mark.name)
      | .startsByBucket | to_entries[] | select(.key * $r.bucketMs >= $mark.from) | .value] | add // 0'
}

budget_per_second() {
  jq -s --argjson services 2 'map(.measuring.probesPerSecond) | max * $services' "presets/$DEPLOYMENT"/{ordinary,peak,maintenance}.json
}

summary() {
  jq -c --argjson after "$(work_after_leaving)" --argjson inForce "$IN_FORCE_MS" \
    --argjson budget "$(budget_per_second)" --arg deployment "$DEPLOYMENT" '
    def r: . * 1000 | round / 1000;
    {deployment: $deployment, calls: .overall.calls, answered: .overall.answered,
     lost: .verdict.lost, doubled: .verdict.doubled, foreign: .verdict.foreign,
     untruthful: .verdict.untruthful, cut_off: .verdict.cutOff, work_after_leaving: $after,
     in_force_seconds: ($inForce / 1000), p50_ms: (.overall.p50Ms | r), p99_ms: (.overall.p99Ms | r),
     p999_ms: (.overall.p999Ms | r), probes_per_s: (.probesPerSecond | r), probe_budget_per_s: $budget}' "$OUT/result.json"
}

# expect DESCRIPTION FILTER: the filter must hold for the summary.
expect() { jq -e "$2" "$OUT/summary.json" >/dev/null || fail "$1"; }

check_promises() {
  summary >"$OUT/summary.json"
  local COUNT
  for COUNT in lost doubled foreign untruthful cut_off work_after_leaving; do
    expect "$COUNT is not 0" ".$COUNT == 0"
  done
  expect "a preset took too long" ".in_force_seconds * 1000 <= $MAX_IN_FORCE_MS"
  expect "probes went over the budget" '.probes_per_s <= .probe_budget_per_s'
  expect "fewer than 98 of 100 calls were answered" '.answered >= 0.98 * .calls'
  jq -e .journalsComplete "$OUT/result.json" >/dev/null || fail "a journal is not complete"
  jq -e ".entries[$STOPPED_ENTRY].lostOnTheWay == 0" "$OUT/result.json" >/dev/null ||
    fail "the stopped entry process cut callers off"
  jq -e "[.entries[].lostOnTheWay] as \$lost | (\$lost | add) == \$lost[$KILLED_ENTRY]" "$OUT/result.json" >/dev/null ||
    fail "entry processes other than the killed one lost calls on the way"
}

report() {
  check_promises
  say "calls by outcome: $(jq -c .outcomes "$OUT/result.json")"
  jq -r '.routes[] | select(.phase == "") | "  \(.route): \(.latency.answered) of \(.latency.calls) answered, p50 \(.latency.p50Ms | floor) ms, p99 \(.latency.p99Ms | floor) ms"' "$OUT/result.json"
  jq -c '.verdict.traces[]' "$OUT/result.json" | head -5
  say "pictures: $OUT/latency.svg and $OUT/timeline.html"
  cat "$OUT/summary.json"
  [ ${#FAILURES[@]} -eq 0 ]
}
