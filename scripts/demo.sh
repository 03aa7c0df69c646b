#!/usr/bin/env bash
# Shows the whole path: three entry instances and the stand-ins as processes,
# real requests, a trainer's step, a key granted and withdrawn, the account.
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
echo "== three entry instances and their stand-ins run"
configure
sleep 3

ENTRIES="$(address entry-0),$(address entry-1),$(address entry-2)"
KEY=$(cat "$FOLDER/keys/clinic.key")
ask() { curl -sS -H "Authorization: Bearer $KEY" -H 'Content-Type: application/json' "$@"; }

echo "== which entry instances to use"
curl -sS "http://$(address entry-0)/v1/entries"; echo
echo "== a whole answer"
ask "http://$(address entry-0)/v1/chat/completions" -d '{"model":"route-llm","max_tokens":6,"messages":[{"role":"user","content":"two packs from depot 4"}]}'; echo
echo "== a streamed answer, its last lines"
ask -N "http://$(address entry-1)/v1/chat/completions" -d '{"model":"route-llm","max_tokens":6,"stream":true,"messages":[{"role":"user","content":"three packs from depot 9"}]}' | tail -n 4
echo "== a booking that may run once, sent twice through two instances"
for i in 0 2; do ask -H 'Idempotency-Key: van-17' "http://$(address entry-$i)/v1/services/returns-app/bookings" -d '{"booking":"van-17"}'; echo; done
echo "== a route open to all"
curl -sS "http://$(address entry-2)/v1/services/returns-app/slots/today"; echo
echo "== a trainer's steps"
"$BIN/cactusspoke-lab" trainer --entries "$ENTRIES" --key-file "$FOLDER/keys/caterer.key" --service route-llm \
  --weights "$(address weight-store)" --steps 3 --groups 8 --samples 4
echo "== five seconds of load"
"$BIN/cactusspoke-lab" load --workload workloads/demo.json --entries "$ENTRIES" --keys "$FOLDER/keys" --duration 5s | head -n 19
echo "== a key withdrawn at one instance is refused by another"
"$BIN/cactusspoke" key withdraw --settings "$FOLDER/settings-entry-0.json" --customer clinic "$KEY"
sleep 1
STATUS=$(ask -o "$FOLDER/refused" -w '%{http_code}' "http://$(address entry-2)/v1/chat/completions" -d '{"model":"route-llm","messages":[{"role":"user","content":"again"}]}')
echo "$STATUS $(cat "$FOLDER/refused")"
[ "$STATUS" = 401 ]
echo "== the usage reports that the platform got"
curl -sS "http://$(address usage)/lab/seen" | cut -c1-600; echo
echo "== the orders that the platform got"
curl -sS "http://$(address orders)/lab/seen" | cut -c1-400; echo
VIOLATIONS=$(for i in 0 1 2; do "$BIN/cactusspoke" status --settings "$FOLDER/settings-entry-$i.json"; done | grep -c '"violations": {}')
echo "== $VIOLATIONS of 3 instances saw no invariant violated"
[ "$VIOLATIONS" = 3 ]
echo "== done"
