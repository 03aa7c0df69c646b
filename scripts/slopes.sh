#!/usr/bin/env bash
# Measures the control-plane cost of an idle entry instance at several fleet sizes:
# CPU time, memory, bytes exchanged with peers and store calls.
# Arguments: fleet sizes as ENTRIES:WORKERS.
set -euo pipefail
cd "$(dirname "$0")/.."
BIN="$PWD/bin"
SECONDS_IDLE="${SECONDS_IDLE:-10}"
source scripts/up.sh
PORT="${BASE_PORT:-24000}"

# metric ADDRESS NAME prints a count or value from an instance's metrics.
metric() { curl -s "http://$1/metrics" | tr '}' '\n' | sed -n "s/.*\"$2\":{\"\(count\|value\)\":\([0-9]*\).*/\2/p"; }
# collect_totals sums the metrics of all entry instances and reads the store's call counts.
collect_totals() {
  CPU=0 OUT=0 IN=0 RSS=0
  for ((i = 0; i < ENTRIES; i++)); do
    local operators
    operators=$(address "entry-$i-operators")
    CPU=$((CPU + $(metric "$operators" process-cpu-ms)))
    RSS=$((RSS + $(metric "$operators" process-rss-kb)))
    OUT=$((OUT + $(metric "$operators" peer-exchange-bytes-out)))
    IN=$((IN + $(metric "$operators" peer-exchange-bytes-in)))
  done
  CALLS=$(curl -s "http://$(address store)/lab/seen" | sed 's/.*"reads":\([0-9]*\),"writes":\([0-9]*\).*/\1 \2/')
}

echo "entries workers cpu-ms/s/entry rss-kb/entry bytes-out/s/entry bytes-in/s/entry store-reads/s store-writes/s"
for size in "$@"; do
  ENTRIES=${size%:*} WORKERS=${size#*:}
  FOLDER=$(mktemp -d)
  PIDS=()
  sed -e "s/\"entries\": [0-9]*/\"entries\": $ENTRIES/" -e "s/\"kind\": \"model\", \"workers\": [0-9]*/\"kind\": \"model\", \"workers\": $WORKERS/" \
    workloads/demo.json >"$FOLDER/workload.json"
  "$BIN/cactusspoke-lab" layout --workload "$FOLDER/workload.json" --folder "$FOLDER" --base-port "$PORT"
  PORT=$((PORT + 250))
  start_all
  wait_for "$(address store)/lab/ready"
  for ((i = 0; i < ENTRIES; i++)); do wait_for "$(address "entry-$i")/v1/entries"; done
  configure >/dev/null 2>&1
  sleep 6
  collect_totals
  C0=$CPU O0=$OUT I0=$IN
  read -r R0 W0 <<<"$CALLS"
  sleep "$SECONDS_IDLE"
  collect_totals
  read -r R1 W1 <<<"$CALLS"
  N=$((ENTRIES * SECONDS_IDLE))
  echo "$ENTRIES $WORKERS $(((CPU - C0) * 100 / N))e-2 $((RSS / ENTRIES)) $(((OUT - O0) / N)) $(((IN - I0) / N)) $(((R1 - R0) / SECONDS_IDLE)) $(((W1 - W0) / SECONDS_IDLE))"
  stop_all
  rm -rf "$FOLDER"
done
