// Package invariant asserts inside the program what must always hold. A
// violation is counted and logged in production and panics in tests.
package invariant

import (
	"fmt"
	"sync/atomic"
	"testing"
)

// ID names one invariant of the brief, in the brief's order.
type ID uint8

// The fourteen invariants.
const (
	SampleVersions ID = iota + 1
	SampleStaleness
	SampleOnce
	CustomerIsolation
	KeySecrecy
	KeyWithdrawal
	SingleOrders
	UsageOnce
	WholeAnswer
	TrueNotRun
	AtMostOnce
	LeavingNoWork
	GracefulShutdown
	ConfigurationForward
	idCount
)

var names = [idCount]string{
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

// String returns the invariant's name.
func (id ID) String() string { return names[id] }

var (
	violations [idCount]atomic.Uint64
	checks     [idCount]atomic.Uint64
	handler    atomic.Pointer[func(ID, string)]
)

// SetHandler replaces what is done on a violation; nil restores the default.
func SetHandler(h func(ID, string)) {
	if h == nil {
		handler.Store(nil)
		return
	}
	handler.Store(&h)
}

// Check asserts that an invariant holds at this point.
func Check(id ID, ok bool, format string, args ...any) {
	checks[id].Add(1)
	if ok {
		return
	}
	violations[id].Add(1)
	message := fmt.Sprintf(format, args...)
	if h := handler.Load(); h != nil {
		(*h)(id, message)
		return
	}
	if testing.Testing() {
		panic(fmt.Sprintf("invariant %s violated: %s", id, message))
	}
}

// Count is how often one invariant was checked and violated.
type Count struct {
	id         ID
	checks     uint64
	violations uint64
}

// ID returns the invariant.
func (c Count) ID() ID { return c.id }

// Checks returns how often it was asserted.
func (c Count) Checks() uint64 { return c.checks }

// Violations returns how often it did not hold.
func (c Count) Violations() uint64 { return c.violations }

// Counts returns the counters of all invariants, in order.
func Counts() []Count {
	counts := make([]Count, 0, idCount-1)
	for id := SampleVersions; id < idCount; id++ {
		counts = append(counts, Count{id, checks[id].Load(), violations[id].Load()})
	}
	return counts
}
