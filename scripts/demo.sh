#!/usr/bin/env bash
# End-to-end demo: starts three entry instances and the simulated platform and
# backend servers, sends requests, runs training steps and load, withdraws a key and
# prints the usage reports and orders that the platform received.
set -euo pipefail
cd "$(dirname "$0")/.."
BIN="$PWD/bin"
FOLDER=$(mktemp -d)
source scripts/up.sh
trap 'stop_all; rm -rf "$FOLDER"' EXIT

"$BIN/cactusspoke-lab" layout --workload workloads/demo.json --folder "$FOLDER" --base-port "${BASE_PORT:-21000}"
start_all
for name in store instances orders usage weight-store; do wait_for "$(address $name)/lab/ready"; done
for i in 0 1 2; do wait_for "$(address entry-$i)/v1/entries"; done
echo "== three entry instances and the simulated services are running"
configure
sleep 3

ENTRIES="$(address entry-0),$(address entry-1),$(address entry-2)"
KEY=$(cat "$FOLDER/keys/clinic.key")
ask() { curl -sS -H "Authorization: Bearer $KEY" -H 'Content-Type: application/json' "$@"; }

echo "== list of entry instances"
curl -sS "http://$(address entry-0)/v1/entries"; echo
echo "== a complete (non-streamed) answer"
ask "http://$(address entry-0)/v1/chat/completions" -d '{"model":"route-llm","max_tokens":6,"messages":[{"role":"user","content":"two packs from depot 4"}]}'; echo
echo "== the last lines of a streamed answer"
ask -N "http://$(address entry-1)/v1/chat/completions" -d '{"model":"route-llm","max_tokens":6,"stream":true,"messages":[{"role":"user","content":"three packs from depot 9"}]}' | tail -n 4
echo "== a non-idempotent booking sent through two instances, run once"
for i in 0 2; do ask -H 'Idempotency-Key: van-17' "http://$(address entry-$i)/v1/services/returns-app/bookings" -d '{"booking":"van-17"}'; echo; done
echo "== a route that needs no key"
curl -sS "http://$(address entry-2)/v1/services/returns-app/slots/today"; echo
echo "== training steps"
"$BIN/cactusspoke-lab" trainer --entries "$ENTRIES" --key-file "$FOLDER/keys/caterer.key" --service route-llm \
  --weights "$(address weight-store)" --steps 3 --groups 8 --samples 4
echo "== five seconds of load"
"$BIN/cactusspoke-lab" load --workload workloads/demo.json --entries "$ENTRIES" --keys "$FOLDER/keys" --duration 5s | head -n 19
echo "== a key withdrawn through one instance is refused by another"
"$BIN/cactusspoke" key withdraw --settings "$FOLDER/settings-entry-0.json" --customer clinic "$KEY"
sleep 1
STATUS=$(ask -o "$FOLDER/refused" -w '%{http_code}' "http://$(address entry-2)/v1/chat/completions" -d '{"model":"route-llm","messages":[{"role":"user","content":"again"}]}')
echo "$STATUS $(cat "$FOLDER/refused")"
[ "$STATUS" = 401 ]
echo "== usage reports received by the platform"
curl -sS "http://$(address usage)/lab/seen" | cut -c1-600; echo
echo "== orders received by the platform"
curl -sS "http://$(address orders)/lab/seen" | cut -c1-400; echo
CLEAN_INSTANCES=$(for i in 0 1 2; do "$BIN/cactusspoke" status --settings "$FOLDER/settings-entry-$i.json"; done | grep -c '"violations": {}')
echo "== $CLEAN_INSTANCES of 3 instances report no invariant violations"
[ "$CLEAN_INSTANCES" = 3 ]
echo "== done"
