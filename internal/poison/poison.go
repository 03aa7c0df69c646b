// Package poison blocks poison requests: requests that crash each backend
// server they run on. Instances share their crash reports through the store,
// because such a request may be sent again to any instance.
package poison

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"cactusspoke/internal/kv"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"
)

const (
	// Prefix is the store prefix of crash reports. It lies below the prefix
	// that entry instances watch.
	Prefix = "cluster/entry-poison/"
	// crashesToBlock is the number of crash reports that blocks a request.
	crashesToBlock = 3
	// reportTTL is how long a crash report counts.
	reportTTL = 2 * time.Minute
	// reportTimeout limits the time for writing a crash report.
	reportTimeout = 3 * time.Second
	// suspicionTime is how long after a connection was lost its server may turn out to have
	// crashed: its registration lapses after three heartbeats, and the list of servers follows.
	suspicionTime = 15 * time.Second
	// maxSuspicions bounds the lost connections of which that is not known yet.
	maxSuspicions = 4096
	// queueSize is the maximum number of crash reports that wait to be written.
	queueSize = 64
)

// Fingerprint is a hash of the content of a request.
type Fingerprint uint64

// FingerprintOf returns the fingerprint of a request from its customer, path and body.
func FingerprintOf(customer, path string, body []byte) Fingerprint {
	hash := xxhash.New()
	_, _ = hash.WriteString(customer + "\x00" + path + "\x00")
	_, _ = hash.Write(body)
	return Fingerprint(hash.Sum64())
}

// Tracker counts the crash reports of requests. It is safe for concurrent use.
type Tracker struct {
	store   kv.Store
	log     *zap.Logger
	reports chan Fingerprint

	mu sync.Mutex
	// suspicions are the lost connections whose servers may have crashed, the oldest first.
	suspicions   []suspicion
	knownReports map[string]Fingerprint
	crashes      map[Fingerprint]int
}

// New returns a tracker without crash reports.
func New(store kv.Store, log *zap.Logger) *Tracker {
	return &Tracker{store: store, log: log, reports: make(chan Fingerprint, queueSize), knownReports: map[string]Fingerprint{}, crashes: map[Fingerprint]int{}}
}

// Blocked reports whether a request has crashed too many servers.
func (t *Tracker) Blocked(f Fingerprint) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.crashes[f] >= crashesToBlock
}

// suspicion is a connection that was lost while a server ran a request.
type suspicion struct {
	fingerprint Fingerprint
	server      string
	born        int64
	at          time.Time
}

// Suspect records that the connection to one start of a server was lost during a request, when
// the path to the server may be at fault as well. The crash is reported once ServerCrashed is
// called for it.
func (t *Tracker) Suspect(f Fingerprint, server string, born int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	for len(t.suspicions) > 0 && (len(t.suspicions) >= maxSuspicions || now.Sub(t.suspicions[0].at) > suspicionTime) {
		t.suspicions = t.suspicions[1:]
	}
	t.suspicions = append(t.suspicions, suspicion{f, server, born, now})
}

// ServerCrashed reports a crash for each request during which the connection to a start of a
// server was lost. Several such losses are one crash.
func (t *Tracker) ServerCrashed(server string, born int64) {
	t.mu.Lock()
	var confirmed []Fingerprint
	now := time.Now()
	t.suspicions = slices.DeleteFunc(t.suspicions, func(s suspicion) bool {
		if s.server != server || s.born != born {
			return false
		}
		if now.Sub(s.at) <= suspicionTime && !slices.Contains(confirmed, s.fingerprint) {
			confirmed = append(confirmed, s.fingerprint)
		}
		return true
	})
	t.mu.Unlock()
	for _, f := range confirmed {
		t.ReportCrash(f)
	}
}

// ReportCrash queues a crash report for a request during which the connection to a
// backend server was lost.
func (t *Tracker) ReportCrash(f Fingerprint) {
	select {
	case t.reports <- f:
	default:
		t.log.Warn("poison: crash report dropped because the queue is full")
	}
}

// Run writes crash reports to the store until the context ends.
func (t *Tracker) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case f := <-t.reports:
			if err := t.writeReport(ctx, f); err != nil {
				t.log.Warn("poison: writing a crash report failed", zap.String("reason", err.Error()))
			}
		}
	}
}

// writeReport writes a crash report under a lease, so that it expires after
// reportTTL. It counts at this instance even if the write fails.
func (t *Tracker) writeReport(ctx context.Context, f Fingerprint) error {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	key := fmt.Sprintf("%s%016x/%016x", Prefix, uint64(f), rand.Uint64())
	t.addReport(key)
	lease, err := t.store.Grant(ctx, reportTTL)
	if err != nil {
		return err
	}
	_, err = t.store.Commit(ctx, kv.Txn{Puts: []kv.Put{{Key: key, Value: []byte("broken"), Lease: lease}}})
	return err
}

// addReport counts the crash report with a store key, once.
func (t *Tracker) addReport(key string) {
	var f Fingerprint
	hex, _, _ := strings.Cut(strings.TrimPrefix(key, Prefix), "/")
	if _, err := fmt.Sscanf(hex, "%016x", (*uint64)(&f)); err != nil {
		t.log.Warn("poison: invalid key ignored", zap.String("key", key))
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, known := t.knownReports[key]; known {
		return
	}
	t.knownReports[key] = f
	t.crashes[f]++
}

// removeReport removes the crash report with a store key.
func (t *Tracker) removeReport(key string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f, known := t.knownReports[key]
	if !known {
		return
	}
	delete(t.knownReports, key)
	if t.crashes[f]--; t.crashes[f] <= 0 {
		delete(t.crashes, f)
	}
}

// Reset applies a complete list of crash reports. Reports that are missing from
// it are kept, since this instance may not have written them yet.
func (t *Tracker) Reset(items []kv.Item) { t.Apply(items) }

// Apply applies added and expired crash reports.
func (t *Tracker) Apply(events []kv.Item) {
	for _, e := range events {
		if e.Deleted {
			t.removeReport(e.Key)
		} else {
			t.addReport(e.Key)
		}
	}
}

// Reachable does nothing; it implements kv.View.
func (t *Tracker) Reachable(bool) {}
