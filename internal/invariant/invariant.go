// Package invariant checks the program's invariants at run time and counts the
// checks and violations. A violation is passed to the handler set with
// SetHandler; without a handler it panics in tests and is only counted otherwise.
package invariant

import (
	"fmt"
	"sync/atomic"
	"testing"
)

// ID identifies an invariant.
type ID uint8

const (
	// SampleVersions: each token of a sample belongs to exactly one span of
	// weight versions.
	SampleVersions ID = iota + 1
	// SampleStaleness: no sample beyond the staleness bound is sealed or delivered.
	SampleStaleness
	// SampleOnce: a sample is listed at most once in a step's manifest.
	SampleOnce
	// CustomerIsolation: a request is permitted only by a key of its own customer.
	CustomerIsolation
	// KeySecrecy: no request to a backend server contains the caller's key.
	KeySecrecy
	// KeyWithdrawal: a withdrawn key never becomes valid again.
	KeyWithdrawal
	// SingleOrders: orders and weight changes are sent only while the lease is held.
	SingleOrders
	// UsageOnce: a usage window is always reported with the same counts.
	UsageOnce
	// WholeAnswer: an incomplete or mismatched answer is never returned as complete.
	WholeAnswer
	// TrueNotRun: a request that may have run is never reported as not run.
	TrueNotRun
	// AtMostOnce: a non-idempotent request runs at most once.
	AtMostOnce
	// LeavingNoWork: a leaving backend server receives no new requests.
	LeavingNoWork
	// GracefulShutdown: a shutdown interrupts no request in progress.
	GracefulShutdown
	// ConfigurationForward: configuration revisions never decrease.
	ConfigurationForward
	idEnd
)

var names = [idEnd]string{
	SampleVersions:       "sample-versions",
	SampleStaleness:      "sample-staleness",
	SampleOnce:           "sample-once",
	CustomerIsolation:    "customer-isolation",
	KeySecrecy:           "key-secrecy",
	KeyWithdrawal:        "key-withdrawal",
	SingleOrders:         "single-orders",
	UsageOnce:            "usage-once",
	WholeAnswer:          "whole-answer",
	TrueNotRun:           "true-not-run",
	AtMostOnce:           "at-most-once",
	LeavingNoWork:        "leaving-no-work",
	GracefulShutdown:     "graceful-shutdown",
	ConfigurationForward: "configuration-forward",
}

// String returns the name used in metrics, logs and status reports.
func (id ID) String() string { return names[id] }

var (
	violations       [idEnd]atomic.Uint64
	checks           [idEnd]atomic.Uint64
	violationHandler atomic.Pointer[func(ID, string)]
)

// SetHandler sets the function called on each violation; nil restores the default.
func SetHandler(h func(ID, string)) {
	if h == nil {
		violationHandler.Store(nil)
		return
	}
	violationHandler.Store(&h)
}

// Check counts one check of an invariant and, unless ok, one violation. The format
// and args describe the violation.
func Check(id ID, ok bool, format string, args ...any) {
	checks[id].Add(1)
	if ok {
		return
	}
	violations[id].Add(1)
	message := fmt.Sprintf(format, args...)
	if h := violationHandler.Load(); h != nil {
		(*h)(id, message)
		return
	}
	if testing.Testing() {
		panic(fmt.Sprintf("invariant %s violated: %s", id, message))
	}
}

// Count holds the numbers of checks and violations of one invariant.
type Count struct {
	id         ID
	checks     uint64
	violations uint64
}

func (c Count) ID() ID { return c.id }

func (c Count) Checks() uint64 { return c.checks }

func (c Count) Violations() uint64 { return c.violations }

// Counts returns the counts of all invariants, ordered by ID.
func Counts() []Count {
	counts := make([]Count, 0, idEnd-1)
	for id := SampleVersions; id < idEnd; id++ {
		counts = append(counts, Count{id, checks[id].Load(), violations[id].Load()})
	}
	return counts
}
