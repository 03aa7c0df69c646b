// Package poison keeps requests that crash each backend server they run on
// from taking more of them down. Instances share what they saw through the
// store, since such a request comes again at any of them.
package poison

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"cactusspoke/internal/kv"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"
)

const (
	// Prefix is where instances note broken requests, below the watched prefix.
	Prefix = "cluster/entry-poison/"
	// crashesToBlock is how many broken tries keep a request out.
	crashesToBlock = 3
	// lifetime is how long a broken try counts.
	lifetime = 2 * time.Minute
	// noteTimeout bounds the writing of a note.
	noteTimeout = 3 * time.Second
	// pending bounds the notes that wait to be written.
	pending = 64
)

// Fingerprint names the content of a request.
type Fingerprint uint64

// Of returns the fingerprint of a customer's path and body.
func Of(customer, path string, body []byte) Fingerprint {
	d := xxhash.New()
	_, _ = d.WriteString(customer + "\x00" + path + "\x00")
	_, _ = d.Write(body)
	return Fingerprint(d.Sum64())
}

// List counts the broken tries of requests. It is safe for concurrent use.
type List struct {
	store kv.Store
	log   *zap.Logger
	notes chan Fingerprint

	mu    sync.Mutex
	seen  map[string]Fingerprint
	tries map[Fingerprint]int
}

// New returns an empty list.
func New(store kv.Store, log *zap.Logger) *List {
	return &List{store: store, log: log, notes: make(chan Fingerprint, pending), seen: map[string]Fingerprint{}, tries: map[Fingerprint]int{}}
}

// Blocked tells whether a request broke too many servers.
func (l *List) Blocked(f Fingerprint) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.tries[f] >= crashesToBlock
}

// Suspect notes that a server broke off while it ran a request.
func (l *List) Suspect(f Fingerprint) {
	select {
	case l.notes <- f:
	default:
		l.log.Warn("poison: note dropped, too many wait")
	}
}

// Run writes notes until the context ends.
func (l *List) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case f := <-l.notes:
			if err := l.note(ctx, f); err != nil {
				l.log.Warn("poison: note not written", zap.String("reason", err.Error()))
			}
		}
	}
}

func (l *List) note(ctx context.Context, f Fingerprint) error {
	ctx, cancel := context.WithTimeout(ctx, noteTimeout)
	defer cancel()
	key := fmt.Sprintf("%s%016x/%016x", Prefix, uint64(f), rand.Uint64())
	l.add(key)
	lease, err := l.store.Grant(ctx, lifetime)
	if err != nil {
		return err
	}
	_, err = l.store.Commit(ctx, kv.Txn{Puts: []kv.Put{{Key: key, Value: []byte("broken"), Lease: lease}}})
	return err
}

func (l *List) add(key string) {
	var f Fingerprint
	hex, _, _ := strings.Cut(strings.TrimPrefix(key, Prefix), "/")
	if _, err := fmt.Sscanf(hex, "%016x", (*uint64)(&f)); err != nil {
		l.log.Warn("poison: unreadable key ignored", zap.String("key", key))
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, known := l.seen[key]; known {
		return
	}
	l.seen[key] = f
	l.tries[f]++
}

func (l *List) remove(key string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f, known := l.seen[key]
	if !known {
		return
	}
	delete(l.seen, key)
	if l.tries[f]--; l.tries[f] <= 0 {
		delete(l.tries, f)
	}
}

// Reset takes in all notes; own notes that are on their way stay.
func (l *List) Reset(items []kv.Item) { l.Apply(items) }

// Apply takes in changed notes.
func (l *List) Apply(events []kv.Item) {
	for _, e := range events {
		if e.Deleted {
			l.remove(e.Key)
		} else {
			l.add(e.Key)
		}
	}
}

// Reachable is part of kv.View.
func (l *List) Reachable(bool) {}
