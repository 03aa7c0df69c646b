#!/usr/bin/env bash
# Deploys a workload and runs its load and a trainer concurrently. Prints the results
# of the load and the trainer, the violations found by the simulated platform, the
# weight switches and the invariant violations of each entry instance.
# Arguments: WORKLOAD (a name in workloads/) TRAINER-CUSTOMER.
set -euo pipefail
cd "$(dirname "$0")/.."
BIN="$PWD/bin"
WORKLOAD="workloads/$1.json"
TRAINER="$2"
FOLDER=$(mktemp -d)
source scripts/up.sh
trap 'stop_all; rm -rf "$FOLDER"' EXIT
"$BIN/cactusspoke-lab" layout --workload "$WORKLOAD" --folder "$FOLDER" --base-port "${BASE_PORT:-26000}"
ENTRY_COUNT=$(grep -c '^entry-' "$FOLDER/processes.txt")
start_all
wait_for "$(address store)/lab/ready"
ENTRIES=""
for ((i = 0; i < ENTRY_COUNT; i++)); do
  wait_for "$(address "entry-$i")/v1/entries"
  ENTRIES="$ENTRIES,$(address "entry-$i")"
done
ENTRIES=${ENTRIES#,}
configure >/dev/null 2>&1
sleep 7
MODEL=$(sed -n 's/.*"name": "\([a-z-]*\)", "kind": "model".*/\1/p' "$WORKLOAD" | head -n 1)
"$BIN/cactusspoke-lab" trainer --entries "$ENTRIES" --key-file "$FOLDER/keys/$TRAINER.key" --service "$MODEL" \
  --weights "$(address weight-store)" --steps "${STEPS:-4}" --groups "${GROUPS_PER_STEP:-64}" --samples 8 --max-tokens 48 >"$FOLDER/trainer.json" &
TRAINER_PID=$!
"$BIN/cactusspoke-lab" load --workload "$WORKLOAD" --entries "$ENTRIES" --keys "$FOLDER/keys" \
  --duration "${DURATION:-20s}" --scale "${SCALE:-1}" --seed "${SEED:-1}" >"$FOLDER/load.json"
wait "$TRAINER_PID"
echo "== load"
cat "$FOLDER/load.json"
echo "== trainer"
cat "$FOLDER/trainer.json"
echo "== platform"
curl -sS "http://$(address orders)/lab/seen" | sed 's/.*"violations"/orders: "violations"/'
echo
curl -sS "http://$(address usage)/lab/seen" | sed 's/.*"violations"/usage: "violations"/'
echo
echo "== weight versions: number of servers switched and duration of the switch"
grep -ho '"weights: version active".*' "$FOLDER"/entry-*.log | sed 's/.*"version":/version /' || true
echo "== invariant violations, with the number of entry instances"
for ((i = 0; i < ENTRY_COUNT; i++)); do
  "$BIN/cactusspoke" status --settings "$FOLDER/settings-entry-$i.json" | grep '"violations"'
done | sort | uniq -c
