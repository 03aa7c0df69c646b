#!/usr/bin/env bash
# Shows that each proof fails when its mechanism is broken: every break is made
# in a scratch copy, and the test named beside it must fail there. An argument
# picks the breaks whose name contains it.
set -uo pipefail
cd "$(dirname "$0")/.."
ONLY="${1:-}"
COPY=$(mktemp -d)
trap 'rm -rf "$COPY"' EXIT
BAD=0

# broken NAME FILE SED-EXPRESSION TEST PACKAGE
broken() {
  [[ "$1" == *"$ONLY"* ]] || return 0
  rm -rf "${COPY:?}/tree"
  mkdir "$COPY/tree"
  git ls-files -z -co --exclude-standard | xargs -0 cp --parents -t "$COPY/tree" 2>/dev/null
  sed -i "$3" "$COPY/tree/$2"
  if cmp -s "$2" "$COPY/tree/$2"; then
    echo "UNCHANGED $1: the expression matches nothing in $2"
    BAD=1
    return
  fi
  if ! (cd "$COPY/tree" && go vet "$5" >/dev/null 2>&1); then
    echo "UNBUILT   $1"
    BAD=1
    return
  fi
  if (cd "$COPY/tree" && timeout 100 go test -count=1 -timeout 90s -run "$4" "$5" >"$COPY/out" 2>&1); then
    echo "PASSED    $1: $4 does not notice"
    BAD=1
  else
    echo "fails     $1: $4"
  fi
}

main() {
broken "I1 an event without a version is taken" internal/sample/sample.go \
  's/b.err = Class.New.*/_ = version/' TestBuilderRefuses ./internal/sample
broken "I2 stale samples are kept at sealing" internal/rollout/run.go \
  's/return s.OldestVersion() >= r.trainerVersion-r.stalenessBound/return true/' TestSoakRun ./internal/rollout
broken "I2 the registry seals anything" internal/step/manifest.go \
  's/e.oldestVersion >= m.trainerVersion-m.stalenessBound/true/' TestSealRefuses ./internal/step
broken "I3 the loser of a race keeps its own manifest" internal/step/manifest.go \
  's/	return existing, nil/	return m, nil/' TestSoakOneManifest ./internal/step
broken "I4 the customer is not part of a claim" internal/claim/log.go \
  's/\[\]string{customer, service, key}/[]string{service, key}/' TestWholePath ./internal/e2e
broken "I5 the Authorization header goes on" internal/caller/identity.go \
  's/"authorization": true, //; s/if apiKey != "" \&\& bytes.Contains(value, \[\]byte(apiKey))/if false/' TestWholePath ./internal/e2e
broken "I6 direct suspensions are ignored" internal/configuration/view.go \
  's/if _, suspended := .*/if suspended := false; suspended {/' TestDenialWins ./internal/configuration
broken "I6 queued work is not checked again" internal/forward/try.go \
  's/	if err := f.CheckKey(c.request); err != nil {/	if err := error(nil); err != nil {/' TestFaultMatrix/identify ./internal/forward
broken "I7 a successor waits a third of the time" internal/lease/lease.go \
  's/c.recordSeenAt.Add(max(c.ttl, c.record.ttl)+c.grace)/c.recordSeenAt.Add(c.ttl\/3)/' TestSoakOneHolder ./internal/lease
broken "I7 the holder's time counts from the answer" internal/lease/lease.go \
  's/c.deadline = sentAt.Add(c.ttl - c.margin)/c.deadline = sentAt.Add(c.ttl + 2*c.grace)/' TestSoakOneHolder ./internal/lease
broken "I7 an unsettled order is decided anew" internal/order/controller.go \
  's/if previous.count == target.count \&\& previous.confirmed {/if previous.confirmed {/; s/		confirmed, err := c.sendOrder(ctx, term, r, intent)/		intent.count++\n		confirmed, err := c.sendOrder(ctx, term, r, intent)/' TestSoakOrders ./internal/order
broken "I7 a holder acts past its deadline" internal/lease/lease.go \
  's/return c.State() == Holder \&\& now.Before(c.deadline)/return c.State() == Holder/' 'TestSoakOneHolder|TestCandidate' ./internal/lease
broken "I8 a sealed window is sealed again" internal/usage/reporter.go \
  's/	if existing.Revision() != 0 {/	if false {/; s/	if !errors.Is(err, store.ErrConflict) {/	if errors.Is(err, store.ErrConflict) {\n\t\treturn value, nil\n\t}\n\tif err != nil {/' TestSoakWindows ./internal/usage
broken "I9 the echo of the request's id is not checked" internal/backendserver/client.go \
  's/echo != a.id {/false {\n\t\t_ = echo/' TestBackendFaults/a_non-idempotent ./internal/e2e
broken "I9 the end of a stream is not asked for" internal/backendserver/client.go \
  's/if errors.Is(err, io.EOF) \&\& r.ctx.Err() == nil {/if r.ctx.Err() == nil {\n\t\te.Data = []byte(EndOfStream)\n\t\treturn nil\n\t}\n\tif errors.Is(err, io.EOF) {/' 'TestFaultMatrix|TestBackendFaults' ./internal/e2e
broken "I10 an earlier try is forgotten" internal/forward/state.go \
  's/return l.inFlight || l.unresolved > 0/return l.inFlight/' TestAnEarlierTry ./internal/forward
broken "I10 a lost connection counts as not run" internal/backendserver/client.go \
  's/return \&Error{ran: failure.RanUnknown, lost: !ended/return \&Error{ran: failure.RanNo, lost: !ended/' TestFaultMatrix/answer ./internal/forward
broken "I11 the HTTP library sends again" internal/web/conn.go \
  's/return data, connectionLost(err)/return data, err/' TestNoRequestIsSentTwice ./internal/web
broken "I11 a segment in a trimmed place counts" internal/claim/log.go \
  's/if time.Since(l.syncedAt) >= l.window\*3\/4 {/if false {/' TestFrozenWhileWriting ./internal/claim
broken "I11 a taken claim is granted" internal/claim/log.go \
  's/	default:\n		return Result{Taken/&/; s/return Result{Taken, first.instance}/return Result{Granted, first.instance}/' 'TestSoakClaims|TestLog' ./internal/claim
broken "I11 once-only work is tried again" internal/forward/try.go \
  's/if c.lifecycle.mayHaveRun() \&\& !c.request.idempotent {/if false {/; s/invariant.Check(invariant.AtMostOnce, c.request.idempotent ||/invariant.Check(invariant.AtMostOnce, true ||/' TestFaultMatrix ./internal/forward
broken "I12 a leaving mark is forgotten" internal/fleet/fleet.go \
  's/	if i.Leaving() {/	e.leavingSince = time.Time{}\n	if i.Leaving() {/' TestFleet ./internal/fleet
broken "I13 the shutdown does not wait" internal/instance/instance.go \
  's/for time.Now().Before(deadline) \&\& i.busy() {/for false {/' TestProcessFaults/a_graceful ./internal/e2e
broken "I14 an older record replaces a newer one" internal/configuration/snapshot.go \
  's/if r.Revision() > next.records\[r.Key()\].Revision() {/if true {/' TestSoakNeverReverts ./internal/configuration
broken "I14 a gap moves the revision" internal/configuration/view.go \
  's/if after > before.revision {/if false {/' TestGapLeaves ./internal/configuration
exit $BAD
}
main
