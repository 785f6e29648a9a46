#!/usr/bin/env bash
# Demonstrates failover on a local cluster with stand-ins for platform, engines
# and service: streams one generation, kills its engine during the stream and
# checks the complete response. Then sends one posting twice and checks that the
# service executes it once. With --keep, prints the addresses and runs the
# cluster until Ctrl-C.
set -euo pipefail
source "$(dirname "$0")/common.sh"
KEEP=0
[ "${1:-}" = "--keep" ] && KEEP=1
[ "$#" -gt "$KEEP" ] && { echo "usage: demo.sh [--keep]" >&2; exit 2; }

install_packages
build_all
RUN="$(mktemp -d)"
trap 'stop_all; rm -rf "$RUN"' EXIT

PLATFORM=127.0.0.1:23000
ENTRIES=(127.0.0.1:23080 127.0.0.1:23081 127.0.0.1:23082)
DOMAINS=(north north south)
start_process "$RUN/platform.log" "$BUILD/standin-platform" --listen $PLATFORM
start_process "$RUN/engine1.log" "$BUILD/standin-engine" --listen 127.0.0.1:23101 --token-ms 15
ENGINE1=$LAST_PID
start_process "$RUN/engine2.log" "$BUILD/standin-engine" --listen 127.0.0.1:23102 --token-ms 15
ENGINE2=$LAST_PID
start_process "$RUN/service.log" "$BUILD/standin-service" --listen 127.0.0.1:23201 \
  --journal "$RUN/journal"
wait_for http://$PLATFORM/instances

mkdir "$RUN/intents"
cat >"$RUN/intents/10-work.yaml" <<EOF
services:
  records:
    calls:
      lookup: {idempotent: true}
      close-batch: {idempotent: false}
workspaces:
  plant-01:
    api_key_sha256: $(sha256_of plant-01-key)
    models:
      default: {serve: "tide:1"}
EOF
cat >"$RUN/intents/20-targets.yaml" <<EOF
targets:
  engine-1: {address: 127.0.0.1:23101, failure_domain: north, models: ["tide:1"]}
  engine-2: {address: 127.0.0.1:23102, failure_domain: south, models: ["tide:1"]}
  records-1: {address: 127.0.0.1:23201, failure_domain: north, kind: service, service: records}
EOF
INSTANCES=""
for i in 0 1 2; do
  write_entry_settings "$RUN/entry$i.yaml" "entry-$i" "${DOMAINS[$i]}" \
    "${ENTRIES[$i]##*:}" $((23180 + i)) $PLATFORM
  INSTANCES+="${INSTANCES:+,}{\"name\":\"entry-$i\",\"peer_address\":\"127.0.0.1:$((23180 + i))\",\"failure_domain\":\"${DOMAINS[$i]}\"}"
done
post $PLATFORM/control "{\"instances\":[$INSTANCES]}" >/dev/null
for i in 0 1 2; do
  start_process "$RUN/entry$i.log" "$BUILD/daisypond-entry" --config "$RUN/entry$i.yaml"
done
ENTRY_FLAGS=()
for it in "${ENTRIES[@]}"; do ENTRY_FLAGS+=(--entry "$it"); done
"$BUILD/daisypond-ctl" apply --folder "$RUN/intents" --platform $PLATFORM \
  --author demo --wait "${ENTRY_FLAGS[@]}"
for it in "${ENTRIES[@]}"; do wait_for "http://$it/readyz"; done
sleep 1.5

if [ "$KEEP" = 1 ]; then
  for it in "${ENTRIES[@]}"; do echo "entry=$it"; done
  echo "platform=$PLATFORM"
  echo "engine=127.0.0.1:23101"
  echo "engine=127.0.0.1:23102"
  echo "service=127.0.0.1:23201"
  echo "wall=http://${ENTRIES[0]}/wall workspace=plant-01 api_key=plant-01-key"
  echo "Press Ctrl-C to end."
  wait
  exit 0
fi

echo "== one generation of 300 tokens; its engine is killed near token 100"
"$BUILD/daisypond-load" "${ENTRY_FLAGS[@]}" --workspace plant-01:plant-01-key \
  --rate 1 --generations 1 --tokens 300 --report "$RUN/report.json" \
  >"$RUN/load.out" &
LOAD=$!
sleep 1.7
# running_requests ADDRESS: prints how many requests the engine is running.
running_requests() {
  curl -s "http://$1/load" |
    python3 -c 'import json,sys; print(json.load(sys.stdin)["running"])'
}
if [ "$(running_requests 127.0.0.1:23101)" -gt 0 ]; then
  kill -9 "$ENGINE1" && echo "killed engine-1"
else
  kill -9 "$ENGINE2" && echo "killed engine-2"
fi
wait "$LOAD" || { cat "$RUN/load.out"; echo "demo failed"; exit 1; }
python3 - "$RUN/report.json" <<'EOF'
import json, sys
report = json.load(open(sys.argv[1]))
gap = report["spans"]["longest_gap_ms"]["p99"]
print(f"resume_latency_ms={gap:.0f}")
EOF
tail -1 "$RUN/load.out"

echo "== one posting sent twice"
for attempt in 1 2; do
  curl -s --max-time 10 -X POST "http://${ENTRIES[$attempt]}/v1/services/records/close-batch" \
    -H "Authorization: Bearer plant-01-key" -H "Idempotency-Key: batch-7" \
    -H "Daisypond-Attempt: $attempt" -d '{"batch":7}'
  echo
done
echo "executions=$(wc -l <"$RUN/journal")"
grep -q 'tokens=300 missing=0 repeated=0 mixed=0' "$RUN/load.out"
[ "$(wc -l <"$RUN/journal")" = 1 ]
echo "demo passed"
