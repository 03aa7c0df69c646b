#!/usr/bin/env bash
# Mutation test of the invariants: applies each mutation below to a scratch copy of
# the source and checks that the named test fails there. With an argument, runs only
# the mutations whose name contains it. I1 to I14 are the invariants of
# internal/invariant, in the order of their constants.
set -uo pipefail
cd "$(dirname "$0")/.."
FILTER="${1:-}"
COPY=$(mktemp -d)
trap 'rm -rf "$COPY"' EXIT
STATUS=0

# check_mutation NAME FILE SED-EXPRESSION TEST PACKAGE
check_mutation() {
  [[ "$1" == *"$FILTER"* ]] || return 0
  rm -rf "${COPY:?}/tree"
  mkdir "$COPY/tree"
  git ls-files -z -co --exclude-standard | xargs -0 cp --parents -t "$COPY/tree" 2>/dev/null
  sed -i "$3" "$COPY/tree/$2"
  if cmp -s "$2" "$COPY/tree/$2"; then
    echo "UNCHANGED $1: the sed expression changed nothing in $2"
    STATUS=1
    return
  fi
  if ! (cd "$COPY/tree" && go vet "$5" >/dev/null 2>&1); then
    echo "UNBUILT   $1: go vet fails on the mutated source"
    STATUS=1
    return
  fi
  if (cd "$COPY/tree" && timeout 100 go test -count=1 -timeout 90s -run "$4" "$5" >"$COPY/out" 2>&1); then
    echo "PASSED    $1: $4 does not detect the mutation"
    STATUS=1
  else
    echo "fails     $1: $4"
  fi
}

main() {
check_mutation "I1 an event without a weight version is accepted" internal/sample/sample.go \
  's/b.err = Class.New.*/_ = version/' TestBuilderRefuses ./internal/sample
check_mutation "I2 stale samples are kept at sealing" internal/rollout/run.go \
  's/return s.OldestVersion() >= r.trainerVersion-r.stalenessBound/return true/' TestSoakRun ./internal/rollout
check_mutation "I2 a manifest is sealed with stale samples" internal/step/manifest.go \
  's/e.oldestVersion >= m.trainerVersion-m.stalenessBound/true/' TestSealRefuses ./internal/step
check_mutation "I3 the loser of a race to seal keeps its own manifest" internal/step/manifest.go \
  's/	return existing, nil/	return m, nil/' TestSoakOneManifest ./internal/step
check_mutation "I4 a claim's identity leaves out the customer" internal/claim/log.go \
  's/\[\]string{customer, service, key}/[]string{service, key}/' TestEndToEnd ./internal/e2e
check_mutation "I5 the Authorization header is forwarded" internal/caller/identity.go \
  's/"authorization": true, //; s/if apiKey != "" \&\& bytes.Contains(value, \[\]byte(apiKey))/if false/' TestEndToEnd ./internal/e2e
check_mutation "I6 direct suspensions are ignored" internal/configuration/view.go \
  's/if _, suspended := .*/if suspended := false; suspended {/' TestDenialWins ./internal/configuration
check_mutation "I6 a queued request is not authorized again" internal/forward/attempt.go \
  's/	if err := f.CheckKey(c.request); err != nil {/	if err := error(nil); err != nil {/' TestFaultMatrix/identify ./internal/forward
check_mutation "I7 a candidate takes over the lease too early" internal/lease/lease.go \
  's/c.recordSeenAt.Add(max(c.ttl, c.record.ttl)+c.grace)/c.recordSeenAt.Add(c.ttl\/3)/' TestSoakOneHolder ./internal/lease
check_mutation "I7 the holder's deadline is later than its lease allows" internal/lease/lease.go \
  's/c.deadline = sentAt.Add(c.ttl - c.margin)/c.deadline = sentAt.Add(c.ttl + 2*c.grace)/' TestSoakOneHolder ./internal/lease
check_mutation "I7 an unconfirmed order is replaced by a new one" internal/order/controller.go \
  's/if previous.count == target.count \&\& previous.confirmed {/if previous.confirmed {/; s/		confirmed, err := c.sendOrder(ctx, term, r, intent)/		intent.count++\n		confirmed, err := c.sendOrder(ctx, term, r, intent)/' TestSoakOrders ./internal/order
check_mutation "I7 a holder acts past its deadline" internal/lease/lease.go \
  's/return c.State() == Holder \&\& now.Before(c.deadline)/return c.State() == Holder/' 'TestSoakOneHolder|TestCandidate' ./internal/lease
check_mutation "I8 a sealed window is sealed again" internal/usage/reporter.go \
  's/	if existing.Revision() != 0 {/	if false {/; s/	if !errors.Is(err, store.ErrConflict) {/	if errors.Is(err, store.ErrConflict) {\n\t\treturn value, nil\n\t}\n\tif err != nil {/' TestSoakWindows ./internal/usage
check_mutation "I9 the echoed request id is not checked" internal/backendserver/client.go \
  's/echo != a.id {/false {\n\t\t_ = echo/' TestBackendFaults/a_non-idempotent ./internal/e2e
check_mutation "I9 a missing end-of-stream event is not detected" internal/backendserver/client.go \
  's/if errors.Is(err, io.EOF) \&\& r.ctx.Err() == nil {/if r.ctx.Err() == nil {\n\t\te.Data = []byte(EndOfStream)\n\t\treturn nil\n\t}\n\tif errors.Is(err, io.EOF) {/' 'TestFaultMatrix|TestBackendFaults' ./internal/e2e
check_mutation "I10 an earlier attempt is ignored" internal/forward/state.go \
  's/return l.inFlight || l.unresolved > 0/return l.inFlight/' TestAnEarlierTry ./internal/forward
check_mutation "I10 a lost connection counts as not run" internal/backendserver/client.go \
  's/return \&Error{ran: failure.RanUnknown, lost: !ended/return \&Error{ran: failure.RanNo, lost: !ended/' TestFaultMatrix/answer ./internal/forward
check_mutation "I11 the HTTP client resends a request" internal/http1/client.go \
  's/return nil, \&Error{sent: true, cause: err}/return c.Do(ctx, address, r)/' TestNoRequestIsSentTwice ./internal/web
check_mutation "I11 a segment written at a trimmed position counts" internal/claim/log.go \
  's/if time.Since(l.syncedAt) >= l.window\*3\/4 {/if false {/' TestFrozenWhileWriting ./internal/claim
check_mutation "I11 a claim held by another instance is granted" internal/claim/log.go \
  's/	default:\n		return Result{Taken/&/; s/return Result{Taken, first.instance}/return Result{Granted, first.instance}/' 'TestSoakClaims|TestLog' ./internal/claim
check_mutation "I11 a non-idempotent request is retried" internal/forward/attempt.go \
  's/if c.lifecycle.mayHaveRun() \&\& !c.request.idempotent {/if false {/; s/invariant.Check(invariant.AtMostOnce, c.request.idempotent ||/invariant.Check(invariant.AtMostOnce, true ||/' TestFaultMatrix ./internal/forward
check_mutation "I12 a server's leaving state is reset" internal/fleet/fleet.go \
  's/	if i.Leaving() {/	e.leavingSince = time.Time{}\n	if i.Leaving() {/' TestFleet ./internal/fleet
check_mutation "I12 a server that says it is leaving gets requests" internal/pool/leaving.go \
  's/	s.server.Draining = true/	_ = s/' TestRequestsToLeavingServers/undisturbed ./internal/node
check_mutation "paths: requests stay at an instance without paths" internal/reach/decision.go \
  's/return Relay$/return Direct/' TestDecide ./internal/reach
check_mutation "evacuation: a late write replaces a newer set" internal/evacuation/publisher.go \
  's/p.fence, {Key: Key, Revision: last}}/p.fence}/' TestPublicationUnderFaults ./internal/evacuation
check_mutation "evacuation: a set that looks right after an unknown outcome is kept" internal/evacuation/publisher.go \
  's/case p.uncertain || p.invalid/case p.invalid/' 'TestNextStep|TestPublicationUnderFaults' ./internal/evacuation
check_mutation "evacuation: evacuated servers get requests" internal/pool/evacuation.go \
  's/return p.evacuated\[s.server.FailureDomain\]/return false/' TestEvacuatedServersGetNoRequests ./internal/pool
check_mutation "evacuation: a new holder begins without the set" internal/node/evacuation.go \
  's/	serverPool.SetEvacuated(domains)/	_ = domains/' 'TestEvacuation/the_holder_ends_during' ./internal/node
check_mutation "regions: a body is relayed to another region" internal/ingress/peer.go \
  's/s.allowedDomain(r)/func(string) bool { return true }/' 'TestAllowedRegions' ./internal/node
check_mutation "directory: instances are listed without contact" internal/directory/alive.go \
  's/return now.Sub(confirmed) <= maxUnconfirmed/return true || now.Sub(confirmed) <= maxUnconfirmed/' TestEndedInstances ./internal/directory
check_mutation "I13 late requests are taken in a planned stop" internal/ingress/stop.go \
  's/return now.Sub(p.began) < .*/return true/' 'TestRequestsTakenWhileStopping' ./internal/ingress
check_mutation "I13 the shutdown does not wait for open requests" internal/instance/instance.go \
  's/for time.Now().Before(deadline) \&\& i.busy() {/for false {/' TestProcessFaults/a_graceful ./internal/e2e
check_mutation "I14 an older record replaces a newer one" internal/configuration/snapshot.go \
  's/if r.Revision() > next.records\[r.Key()\].Revision() {/if true {/' TestSoakNeverReverts ./internal/configuration
check_mutation "I14 a gap in the updates advances the revision" internal/configuration/view.go \
  's/if after > before.revision {/if false {/' TestGapLeaves ./internal/configuration
exit $STATUS
}
main
