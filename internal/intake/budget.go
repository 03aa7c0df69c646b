package intake

import (
	"context"
	"errors"
	"math"
	"sync"
	"time"

	"cactusspoke/internal/telemetry"

	"go.uber.org/zap"
)

// ErrExhausted means that the process holds as much as it may, or that the connection is
// being closed to make room.
var ErrExhausted = errors.New("intake: memory for requests is exhausted")

// ErrTooLarge means that a request takes more than all requests together may.
var ErrTooLarge = errors.New("intake: request takes more memory than the process has for requests")

const (
	// patience is how long a client's request waits for memory before it is refused.
	patience = 500 * time.Millisecond
	// reportInterval is the time between two reports of a budget.
	reportInterval = time.Second
	// connectionShare is the share of the descriptors for clients' connections. The others
	// are for connections to servers.
	connectionShare = 2. / 3
	// reservedDescriptors are for other files.
	reservedDescriptors = 200
	// memoryShare is the share of the machine's memory that clients' connections may take.
	// The rest is for the program, the responses of servers that are read and garbage.
	memoryShare = 0.28
	// workShare is the share of the limit that one request is charged for its handling and
	// what it holds. Two such requests do not run at once.
	workShare = 0.75
	// maxWork is how many times the limit a request may take that runs alone: 70 in 100 of the
	// machine's memory. On a machine of 160 MB a job with a body of 32 MiB needs up to 2.4.
	maxWork = 2.5
)

// LimitsFor returns the limits for a machine. With 0 descriptors the number of connections
// is not limited.
func LimitsFor(memoryBytes int64, descriptors int) Limits {
	limits := Limits{Bytes: int64(memoryShare * float64(memoryBytes)), Connections: math.MaxInt}
	if descriptors > 0 {
		limits.Connections = max(1, int(connectionShare*float64(descriptors-reservedDescriptors)))
	}
	return limits
}

// Budget applies a Ledger to the connections of a process.
type Budget struct {
	mu       sync.Mutex
	ledger   *Ledger
	accounts map[ID]*Account
	// released is closed, and replaced, when memory is released while requests wait.
	released chan struct{}
	waiting  int
	refusals map[string]int64
}

// NewBudget returns a budget without connections.
func NewBudget(limits Limits) *Budget {
	return &Budget{ledger: NewLedger(limits), accounts: map[ID]*Account{}, released: make(chan struct{}), refusals: map[string]int64{}}
}

// Unlimited returns a budget that refuses nothing.
func Unlimited() *Budget {
	return NewBudget(Limits{Bytes: math.MaxInt64 / 4, Connections: math.MaxInt})
}

// Account is a connection that a budget has admitted.
type Account struct {
	budget *Budget
	id     ID
	evict  func()
}

// Open admits a connection, or returns nil. evict is called, once at most, to close the
// connection.
func (b *Budget) Open(evict func()) *Account {
	b.mu.Lock()
	id, closed, ok := b.ledger.Open(time.Now())
	if !ok {
		b.refusals["connections"]++
		b.mu.Unlock()
		return nil
	}
	a := &Account{budget: b, id: id, evict: evict}
	b.accounts[id] = a
	victims := b.victims(closed, "evicted")
	b.mu.Unlock()
	evictAll(victims)
	return a
}

// victims returns the accounts of connections to close and counts them.
func (b *Budget) victims(ids []ID, reason string) []*Account {
	if len(ids) == 0 {
		return nil
	}
	b.refusals[reason] += int64(len(ids))
	out := make([]*Account, 0, len(ids))
	for _, id := range ids {
		out = append(out, b.accounts[id])
	}
	return out
}

func evictAll(victims []*Account) {
	for _, a := range victims {
		a.evict()
	}
}

// release wakes the requests that wait for memory. b.mu is held.
func (b *Budget) release() {
	if b.waiting > 0 {
		close(b.released)
		b.released = make(chan struct{})
	}
}

// Close releases all that a connection holds.
func (a *Account) Close() {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.budget.ledger.Close(a.id)
	delete(a.budget.accounts, a.id)
	a.budget.release()
}

// Enter begins a phase. It returns false if the connection is being closed.
func (a *Account) Enter(phase Phase) bool {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	return a.budget.ledger.Enter(a.id, phase, time.Now())
}

// SetOwner sets the customer for whom the connection holds memory.
func (a *Account) SetOwner(owner string) {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.budget.ledger.SetOwner(a.id, owner)
}

// Progress records that the client sent or received bytes.
func (a *Account) Progress(n int) {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.budget.ledger.Progress(a.id, n, time.Now())
}

// Charge takes n bytes before they are allocated. It waits for memory up to patience.
func (a *Account) Charge(n int64) error {
	b := a.budget
	var expired <-chan time.Time
	for {
		b.mu.Lock()
		verdict, closed := b.ledger.Charge(a.id, n, time.Now())
		if verdict == Granted {
			b.mu.Unlock()
			return nil
		}
		if verdict == Denied || verdict == Oversized {
			b.refusals["memory"]++
			b.mu.Unlock()
			if verdict == Oversized {
				return ErrTooLarge
			}
			return ErrExhausted
		}
		victims := b.victims(closed, "evicted")
		released := b.released
		b.waiting++
		b.mu.Unlock()
		evictAll(victims)
		if expired == nil {
			timer := time.NewTimer(patience)
			defer timer.Stop()
			expired = timer.C
		}
		timedOut := false
		select {
		case <-released:
		case <-expired:
			timedOut = true
		}
		b.mu.Lock()
		b.waiting--
		if timedOut {
			b.refusals["memory"]++
		}
		b.mu.Unlock()
		if timedOut {
			return ErrExhausted
		}
	}
}

// ChargeWork takes the n bytes that handling a request takes besides its body, and returns
// what it took. A request that takes up to maxWork times the limit is served, one at a time: it is
// charged workShare of the limit at most, and the memory that no connection is charged for
// takes the rest.
func (a *Account) ChargeWork(n int64) (int64, error) {
	b := a.budget
	b.mu.Lock()
	held, limit := b.ledger.HeldBy(a.id), b.ledger.limits.Bytes
	tooLarge := float64(held+n) > maxWork*float64(limit)
	if tooLarge {
		b.refusals["memory"]++
	}
	b.mu.Unlock()
	if tooLarge {
		return 0, ErrTooLarge
	}
	n = max(0, min(n, int64(workShare*float64(limit))-held))
	return n, a.Charge(n)
}

// Force takes n bytes that are already allocated.
func (a *Account) Force(n int64) {
	b := a.budget
	b.mu.Lock()
	victims := b.victims(b.ledger.Force(a.id, n, time.Now()), "unread")
	b.mu.Unlock()
	evictAll(victims)
}

// Release returns n bytes.
func (a *Account) Release(n int64) {
	if n == 0 {
		return
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.budget.ledger.Release(a.id, n)
	a.budget.release()
}

// Refused counts a refusal by another limit.
func (a *Account) Refused(reason string) {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.budget.refusals[reason]++
}

// Report updates the metrics and logs refusals, one line a second at most for each reason,
// until the context ends.
func (b *Budget) Report(ctx context.Context, metrics *telemetry.Registry, log *zap.Logger) error {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		b.mu.Lock()
		refusals, held, connections := b.refusals, b.ledger.Held(), b.ledger.Connections()
		b.refusals = map[string]int64{}
		b.mu.Unlock()
		metrics.SetGauge("intake_held_bytes", held)
		metrics.SetGauge("intake_connections", int64(connections))
		for reason, count := range refusals {
			metrics.Add("intake_refusals_total", count, "reason", reason)
			log.Warn("intake: clients refused", zap.String("reason", reason), zap.Int64("count", count),
				zap.Int64("held-bytes", held), zap.Int("connections", connections))
		}
	}
}
