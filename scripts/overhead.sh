#!/usr/bin/env bash
# Measures the overhead of one entry instance compared with direct requests to an
# engine, at 1 and at 256 concurrent streams.
set -euo pipefail
cd "$(dirname "$0")/.."
BIN="$PWD/bin"
FOLDER=$(mktemp -d)
source scripts/up.sh
trap 'stop_all; rm -rf "$FOLDER"' EXIT
"$BIN/cactusspoke-lab" layout --workload workloads/overhead.json --folder "$FOLDER" --base-port "${BASE_PORT:-23500}"
sed -i '/"trace": {/,/}/d' "$FOLDER/settings-entry-0.json"
sed -i ':a;N;$!ba;s/,\n\( *"usage"\)/,\n\1/' "$FOLDER/settings-entry-0.json"
start_all
wait_for "$(address store)/lab/ready"
wait_for "$(address entry-0)/v1/entries"
configure >/dev/null 2>&1
sleep 7
for streams in ${STREAMS:-1 256}; do
  "$BIN/cactusspoke-lab" compare --direct "$(address route-llm-0)" --through "$(address entry-0)" \
    --operators "$(address entry-0-operators)" --key-file "$FOLDER/keys/clinic.key" --service route-llm \
    --streams "$streams" --tokens "${TOKENS:-32}" --rounds "${ROUNDS:-4}" --requests "${REQUESTS:-$((streams == 1 ? 15 : 3))}"
done
