package lab

import (
	"bytes"
	"context"
	"encoding/json"
	"maps"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"cactusspoke/internal/backendserver"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/google/uuid"
)

// keyMark begins every caller's key; no backend server may ever see it.
const keyMark = "ck-"

// poison is the text that crashes a backend server which runs it.
const poison = "poison-the-engine"

// backend is what engines and plain services have in common.
type backend struct {
	*server
	incarnation string
	slots       int
	sequence    atomic.Uint64
	running     atomic.Int64
	queued      atomic.Int64
	keysSeen    atomic.Uint64
	version     atomic.Int64

	mu      sync.Mutex
	history []loadAt
	runs    map[string]int
	last    []byte
}

type loadAt struct {
	at   time.Time
	wire backendserver.WireLoad
}

func newBackend(address string, slots int) *backend {
	b := &backend{
		server: newServer(address), incarnation: uuid.NewString()[:8], slots: slots,
		runs: map[string]int{},
	}
	b.http.Handle("GET", backendserver.PathLoad, b.load)
	b.http.Handle("GET", PathSeen, b.seen)
	return b
}

// echo repeats the request's id, by which the product knows the answer.
func echo(c *app.RequestContext) {
	c.Response.Header.Set(backendserver.HeaderRequestID, c.Request.Header.Get(backendserver.HeaderRequestID))
}

// inspect looks for callers' keys in everything that arrived, and crashes on
// a poisoned request.
func (b *backend) inspect(c *app.RequestContext) {
	received := append([]byte(nil), c.Request.Header.Header()...)
	received = append(received, c.Request.URI().RequestURI()...)
	received = append(received, c.Request.Body()...)
	if bytes.Contains(received, []byte(keyMark)) {
		b.keysSeen.Add(1)
	}
	if bytes.Contains(received, []byte(poison)) {
		os.Exit(crashCode)
	}
	b.mu.Lock()
	b.last = append([]byte(nil), c.Request.Body()...)
	b.mu.Unlock()
	echo(c)
	if b.faults.take(func(w *faultsWire) *int { return &w.WrongEcho }) {
		c.Response.Header.Set(backendserver.HeaderRequestID, "crossed")
	}
}

func (b *backend) load(ctx context.Context, c *app.RequestContext) {
	if !b.faults.before(ctx, c) {
		return
	}
	now := time.Now()
	faults := b.faults.now()
	wire := backendserver.WireLoad{
		Incarnation: b.incarnation, Sequence: b.sequence.Add(1), Running: int(b.running.Load()), Queued: int(b.queued.Load()),
		Slots: b.slots, WeightVersion: b.version.Load(), Leaving: faults.Leaving,
	}
	reply(c, 200, b.lagging(now, wire, time.Duration(faults.LoadLagMS)*time.Millisecond))
}

// lagging returns the newest report that is at least lag old.
func (b *backend) lagging(now time.Time, wire backendserver.WireLoad, lag time.Duration) backendserver.WireLoad {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.history = append(b.history, loadAt{now, wire})
	for len(b.history) > 1 && now.Sub(b.history[1].at) >= lag {
		b.history = b.history[1:]
	}
	old := b.history[0]
	out := old.wire
	out.AgeMS = now.Sub(old.at).Milliseconds()
	out.WeightVersion = wire.WeightVersion
	out.Leaving = wire.Leaving
	return out
}

func (b *backend) countRun(what string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.runs[what]++
}

// SetFaults changes the faults that a JSON text names.
func (b *backend) SetFaults(wire string) error { return b.faults.Set([]byte(wire)) }

// RunCounts returns how often each piece of work ran.
func (b *backend) RunCounts() map[string]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return maps.Clone(b.runs)
}

type backendSeen struct {
	KeysSeen uint64         `json:"keys-seen"`
	Version  int64          `json:"weight-version"`
	Runs     map[string]int `json:"runs"`
	LastBody string         `json:"last-body"`
	PID      int            `json:"pid"`
}

func (b *backend) seen(_ context.Context, c *app.RequestContext) {
	b.mu.Lock()
	defer b.mu.Unlock()
	reply(c, 200, backendSeen{b.keysSeen.Load(), b.version.Load(), b.runs, string(b.last), os.Getpid()})
}

// Plain stands in for a plain service, whose calls may not be repeated.
type Plain struct {
	*backend
	work time.Duration
}

// NewPlain returns a service whose calls take work.
func NewPlain(address string, slots int, work time.Duration) *Plain {
	p := &Plain{backend: newBackend(address, slots), work: work}
	for _, method := range []string{"GET", "POST", "PUT", "DELETE"} {
		p.handle(method, "/*path", p.serve)
	}
	return p
}

type bookingWire struct {
	Booking string `json:"booking"`
}

type bookedWire struct {
	Booking string `json:"booking"`
	State   string `json:"state"`
	Runs    int    `json:"runs"`
}

func (p *Plain) serve(_ context.Context, c *app.RequestContext) {
	p.running.Add(1)
	defer p.running.Add(-1)
	p.inspect(c)
	var wire bookingWire
	_ = json.Unmarshal(c.Request.Body(), &wire)
	if wire.Booking == "" {
		wire.Booking = strings.TrimPrefix(string(c.Path()), "/")
	}
	p.countRun(wire.Booking)
	time.Sleep(p.work)
	p.mu.Lock()
	runs := p.runs[wire.Booking]
	p.mu.Unlock()
	reply(c, 200, bookedWire{wire.Booking, "confirmed", runs})
}
