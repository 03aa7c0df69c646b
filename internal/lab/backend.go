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

// callerKeyPrefix is the prefix of all caller API keys, which must never reach a
// backend server.
const callerKeyPrefix = "ck-"

// crashTrigger is the text in a request that crashes the backend server.
const crashTrigger = "poison-the-engine"

// backend is the part that simulated engines and plain services share.
type backend struct {
	*server
	incarnation string
	slots       int
	sequence    atomic.Uint64
	running     atomic.Int64
	queued      atomic.Int64
	keysSeen    atomic.Uint64
	version     atomic.Int64

	mu          sync.Mutex
	loadHistory []timedLoad
	runs        map[string]int
	lastBody    []byte
}

type timedLoad struct {
	at   time.Time
	wire backendserver.WireLoad
}

func newBackend(address string, slots int) *backend {
	b := &backend{
		server: newServer(address), incarnation: uuid.NewString()[:8], slots: slots,
		runs: map[string]int{},
	}
	b.http.Handle("GET", backendserver.PathLoad, b.handleLoad)
	b.http.Handle("GET", PathSeen, b.seen)
	return b
}

// echoRequestID copies the request id to the response, by which the caller matches
// the response to its request.
func echoRequestID(c *app.RequestContext) {
	c.Response.Header.Set(backendserver.HeaderRequestID, c.Request.Header.Get(backendserver.HeaderRequestID))
}

// recordRequest counts requests that contain a caller's key anywhere, keeps the
// body and echoes the request id. It exits the process if the request contains
// the crash trigger.
func (b *backend) recordRequest(c *app.RequestContext) {
	received := append([]byte(nil), c.Request.Header.Header()...)
	received = append(received, c.Request.URI().RequestURI()...)
	received = append(received, c.Request.Body()...)
	if bytes.Contains(received, []byte(callerKeyPrefix)) {
		b.keysSeen.Add(1)
	}
	if bytes.Contains(received, []byte(crashTrigger)) {
		os.Exit(crashExitCode)
	}
	b.mu.Lock()
	b.lastBody = append([]byte(nil), c.Request.Body()...)
	b.mu.Unlock()
	echoRequestID(c)
	if b.faults.consume(func(w *faultsWire) *int { return &w.WrongEcho }) {
		c.Response.Header.Set(backendserver.HeaderRequestID, "crossed")
	}
}

func (b *backend) handleLoad(_ context.Context, c *app.RequestContext) {
	if !b.faults.beforeRequest(c) {
		return
	}
	now := time.Now()
	faults := b.faults.current()
	wire := backendserver.WireLoad{
		Incarnation: b.incarnation, Sequence: b.sequence.Add(1), Running: int(b.running.Load()), Queued: int(b.queued.Load()),
		Slots: b.slots, WeightVersion: b.version.Load(), Leaving: faults.Leaving,
	}
	replyJSON(c, 200, b.delayedLoad(now, wire, time.Duration(faults.LoadLagMS)*time.Millisecond))
}

// delayedLoad returns the newest load report that is at least lag old, or else the
// oldest, with the current weight version and Leaving flag.
func (b *backend) delayedLoad(now time.Time, wire backendserver.WireLoad, lag time.Duration) backendserver.WireLoad {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.loadHistory = append(b.loadHistory, timedLoad{now, wire})
	for len(b.loadHistory) > 1 && now.Sub(b.loadHistory[1].at) >= lag {
		b.loadHistory = b.loadHistory[1:]
	}
	old := b.loadHistory[0]
	out := old.wire
	out.AgeMS = now.Sub(old.at).Milliseconds()
	out.WeightVersion = wire.WeightVersion
	out.Leaving = wire.Leaving
	return out
}

func (b *backend) countRun(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.runs[id]++
}

// SetFaults changes the faults named in a JSON object.
func (b *backend) SetFaults(wire string) error { return b.faults.Set([]byte(wire)) }

// RunCounts returns the number of executions by request id or booking.
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
	replyJSON(c, 200, backendSeen{b.keysSeen.Load(), b.version.Load(), b.runs, string(b.lastBody), os.Getpid()})
}

// PlainService simulates a plain service, whose calls must not be executed twice.
type PlainService struct {
	*backend
	callDuration time.Duration
}

// NewPlainService returns a service whose calls take callDuration.
func NewPlainService(address string, slots int, callDuration time.Duration) *PlainService {
	p := &PlainService{backend: newBackend(address, slots), callDuration: callDuration}
	for _, method := range []string{"GET", "POST", "PUT", "DELETE"} {
		p.handleWithFaults(method, "/*path", p.serve)
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

func (p *PlainService) serve(_ context.Context, c *app.RequestContext) {
	p.running.Add(1)
	defer p.running.Add(-1)
	p.recordRequest(c)
	var wire bookingWire
	_ = json.Unmarshal(c.Request.Body(), &wire)
	if wire.Booking == "" {
		wire.Booking = strings.TrimPrefix(string(c.Path()), "/")
	}
	p.countRun(wire.Booking)
	time.Sleep(p.callDuration)
	p.mu.Lock()
	runs := p.runs[wire.Booking]
	p.mu.Unlock()
	replyJSON(c, 200, bookedWire{wire.Booking, "confirmed", runs})
}
