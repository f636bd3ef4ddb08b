# Settings of the demo's processes, generated from the deployment's presets.
ENTRIES=14
LOAD_SECONDS=24
KEY=$(head -c 24 /dev/urandom | base64)
SEEDS=3
VICTIM=       # backend server that runs in a process of its own and is killed
ENTRY_PIDS=() # indexed by the number of the entry process, from 0

case $DEPLOYMENT in
nord-italia)
  FIRST=catalogue SECOND=rights SLOTS=3 PROBE_COST_US=0
  ZONES='["milano-a","torino-b","bologna-c"]'
  SERVICE_TIMES='[
    {"pathPrefix":"/catalogue/search","distribution":"lognormal","meanUs":30000,"answerBytes":4000},
    {"pathPrefix":"/catalogue/licences","distribution":"lognormal","meanUs":50000},
    {"pathPrefix":"/rights/splits","distribution":"exponential","meanUs":20000},
    {"pathPrefix":"/rights/cue-sheets","distribution":"exponential","meanUs":30000}]'
  ROUTES='[
    {"name":"search","path":"/catalogue/search","callsPerSecond":250,"idempotent":true,"answerBytes":4000},
    {"name":"licence","method":"POST","path":"/catalogue/licences","callsPerSecond":60,"requestBytes":600,"answerBytes":300},
    {"name":"splits","path":"/rights/splits","callsPerSecond":120,"idempotent":true,"answerBytes":1000},
    {"name":"cue-sheets","path":"/rights/cue-sheets","callsPerSecond":60,"idempotent":true,"answerBytes":20000}]'
  ;;
gujarat)
  FIRST=booking SECOND=results SLOTS=2 PROBE_COST_US=6000
  ZONES='["ahmedabad","vadodara","surat","rajkot"]'
  SERVICE_TIMES='[
    {"pathPrefix":"/booking/availability","distribution":"lognormal","meanUs":25000},
    {"pathPrefix":"/booking/reservations","distribution":"lognormal","meanUs":60000},
    {"pathPrefix":"/results/reports","distribution":"lognormal","meanUs":50000},
    {"pathPrefix":"/results/archive","distribution":"exponential","meanUs":400000}]'
  ROUTES='[
    {"name":"availability","path":"/booking/availability","callsPerSecond":150,"idempotent":true,"answerBytes":1000},
    {"name":"reservation","method":"POST","path":"/booking/reservations","callsPerSecond":40,"requestBytes":400,"answerBytes":300},
    {"name":"reports","path":"/results/reports","callsPerSecond":60,"idempotent":true,"answerBytes":50000},
    {"name":"archive","path":"/results/archive","callsPerSecond":4,"idempotent":true,"answerBytes":1000000}]'
  ;;
esac

MARKED=$FIRST-02     # marked as leaving, then stopped once it has no call in flight
RACED=$SECOND-05     # marked as leaving by two operators at the same time
DRAINING=$SECOND-03  # reports that it is draining
VICTIM=$FIRST-07     # its process is killed
FROZEN=$SECOND-09    # sends no answers for some seconds
FAULTY=$FIRST-11     # truncates, duplicates, resets, fails and delays some of its answers

ctl() { "$BIN/cumingaugectl" --settings="$OUT/ctl.json" "$@"; }

start_store() {
  jq -n --argjson entries "$ENTRIES" --arg d "$DEPLOYMENT" \
    --slurpfile servers "presets/$DEPLOYMENT/servers.json" '{
      log: {level: "warning"},
      faults: {vms: ([range($entries) | {vm: "\($d)-entry-\(. + 1)", role: "cumingauge"}]
        + [$servers[0][] | {vm, role: "backend"}])}}' >"$OUT/store.json"
  start store "$BIN/cumingauge-fakestore" --settings "$OUT/store.json" --port-file "$OUT/store.port"
  wait_for 10 test -s "$OUT/store.port"
  STORE_PORT=$(cat "$OUT/store.port")
}

# backend_settings NAME FILTER: writes the settings of a process that runs the
# servers selected by the jq filter.
backend_settings() {
  jq --argjson slots "$SLOTS" --argjson probe "$PROBE_COST_US" --argjson times "$SERVICE_TIMES" \
    --arg journal "$OUT/$1.journal" '{
      log: {level: "warning"}, threads: 2, journalFile: $journal,
      behaviour: {slots: $slots, probeCostUs: $probe, connectionCostUs: 1000,
                  serviceTimes: $times, reportLagMs: 20},
      servers: [.[] | select('"$2"') | {name, vm}]}' \
    "presets/$DEPLOYMENT/servers.json" >"$OUT/$1.json"
}

start_backends() {
  backend_settings backends ".name != \"$VICTIM\""
  backend_settings victim ".name == \"$VICTIM\""
  start backends "$BIN/cumingauge-fakebackend" --settings "$OUT/backends.json" --port-file "$OUT/backends.ports"
  start victim "$BIN/cumingauge-fakebackend" --settings "$OUT/victim.json" --port-file "$OUT/victim.ports"
  VICTIM_PID=$PID
  wait_for 10 test -s "$OUT/backends.ports"
  wait_for 10 test -s "$OUT/victim.ports"
  BACKEND_ADMIN=$(jq .adminPort "$OUT/backends.ports")
}

entry_settings() {
  jq -n --argjson n "$1" --arg d "$DEPLOYMENT" --argjson zones "$ZONES" --argjson base "$PEER_BASE" \
    --argjson listen "$((LISTEN_BASE + $1))" --argjson admin "$((ADMIN_BASE + $1))" \
    --argjson seeds "$SEEDS" --argjson store "$STORE_PORT" --arg key "$KEY" '{
      log: {level: "warning"}, trafficThreads: 1,
      listen: {port: $listen}, admin: {port: $admin},
      control: {process: "\($d)-entry-\($n + 1)", zone: $zones[$n % ($zones | length)],
                region: $d, peer: {port: ($base + $n)}, store: {port: $store}, key: $key,
                seedPeers: [range($seeds) | {port: ($base + .)}]}}' >"$OUT/entry-$1.json"
}

start_entries() {
  local N
  PEER_BASE=$(free_ports $((3 * ENTRIES)))
  LISTEN_BASE=$((PEER_BASE + ENTRIES))
  ADMIN_BASE=$((LISTEN_BASE + ENTRIES))
  for N in $(seq 0 $((ENTRIES - 1))); do
    entry_settings "$N"
    start "entry-$N" "$BIN/cumingauged" --settings "$OUT/entry-$N.json"
    ENTRY_PIDS+=("$PID")
  done
}

initialize_deployment() {
  jq -n --argjson store "$STORE_PORT" --argjson base "$PEER_BASE" --argjson seeds "$SEEDS" --arg key "$KEY" '{
    store: {port: $store}, key: $key, author: "demo", waitTimeoutMs: 20000,
    peers: [range($seeds) | {port: ($base + .)}]}' >"$OUT/ctl.json"
  jq -n --slurpfile servers "presets/$DEPLOYMENT/servers.json" \
    --slurpfile a "$OUT/backends.ports" --slurpfile b "$OUT/victim.ports" \
    --slurpfile presets <(cat "presets/$DEPLOYMENT"/{ordinary,peak,maintenance}.json) '
    ([$a[0].servers[], $b[0].servers[]] | map({(.server): .port}) | add) as $ports
    | {presets: $presets, choose: "ordinary",
       servers: [$servers[0][] | .port = $ports[.name]]}' >"$OUT/deployment.json"
  ctl init "$OUT/deployment.json" >"$OUT/init.txt"
}

is_entry_ready() { curl -sf -o /dev/null -m 1 "http://127.0.0.1:$((ADMIN_BASE + $1))/readyz"; }

wait_until_ready() {
  local N
  for N in $(seq 0 $((ENTRIES - 1))); do
    wait_for 30 is_entry_ready "$N" || { say "entry process $N is not ready"; return 1; }
  done
}

write_plan() {
  jq -n --argjson routes "$ROUTES" --argjson seconds "$LOAD_SECONDS" --arg frozen "$FROZEN" --arg faulty "$FAULTY" \
    --argjson n "$ENTRIES" --argjson listen "$LISTEN_BASE" --argjson ready "$ADMIN_BASE" --argjson admin "$BACKEND_ADMIN" --arg file "$OUT/victim.journal" '{
      seed: 1, durationMs: ($seconds * 1000), callers: 200, routes: $routes,
      entries: [range($n) | {port: ($listen + .), adminPort: ($ready + .)}],
      phases: [{name: "ordinary"}, {name: "peak", fromMs: 3000, rateFactor: 1.5},
               {name: "maintenance", fromMs: 20000, rateFactor: 0.7}],
      actions: [
        {atMs: 6500, label: "\($faulty) returns faulty answers", port: $admin, target: "/servers/\($faulty)/control",
         body: {cutShare: 0.05, twiceShare: 0.05, resetShare: 0.05, failShare: 0.05, lateShare: 0.05, lateByMs: 1500}},
        {atMs: 12000, label: "\($frozen) stops answering", port: $admin, target: "/servers/\($frozen)/control", body: {frozen: true}},
        {atMs: 16000, label: "\($frozen) answers again", port: $admin, target: "/servers/\($frozen)/control", body: {frozen: false}}],
      journals: [{port: $admin}, {file: $file}]}' >"$OUT/plan.json"
}
