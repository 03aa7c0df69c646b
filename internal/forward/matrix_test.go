package forward_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"cactusspoke/internal/backendserver"
	"cactusspoke/internal/claim"
	"cactusspoke/internal/configuration"
	"cactusspoke/internal/failure"
	"cactusspoke/internal/fleet"
	"cactusspoke/internal/forward"
	"cactusspoke/internal/lab"
	"cactusspoke/internal/platform"
	"cactusspoke/internal/profile"
	"cactusspoke/internal/quarantine"
	"cactusspoke/internal/store"
	"cactusspoke/internal/trace"
	"cactusspoke/internal/usage"
	"cactusspoke/internal/web"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
)

// bench is a forwarder in this process in front of two stand-ins.
type bench struct {
	t         *testing.T
	store     *switched
	view      *configuration.View
	fleet     *fleet.Fleet
	ledger    *usage.Recorder
	forwarder *forward.Forwarder
	servers   []standIn
	trusted   atomic.Bool
	digest    string
	customer  *profile.Customer
}

// standIn is a stand-in with its faults.
type standIn interface {
	Serve(ctx context.Context) error
	SetFaults(wire string) error
	RunCounts() map[string]int
}

// switched is a store whose calls can be made to fail.
type switched struct {
	store.Client
	mu   sync.Mutex
	puts []error
}

func (s *switched) fail(errs ...error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.puts = errs
}

// Put fails as told: ErrNotApplied before, ErrUnknown after taking effect.
func (s *switched) Put(ctx context.Context, key string, value []byte, expected store.Revision) (store.Revision, error) {
	s.mu.Lock()
	var fail error
	if len(s.puts) > 0 {
		fail = s.puts[0]
		s.puts = s.puts[1:]
	}
	s.mu.Unlock()
	if errors.Is(fail, store.ErrNotApplied) {
		return 0, fail
	}
	revision, err := s.Client.Put(ctx, key, value, expected)
	if fail != nil {
		return 0, fail
	}
	return revision, err
}

type direct struct{ committer *claim.Committer }

func (d direct) Claim(ctx context.Context, c claim.Claim) claim.Result {
	return d.committer.Commit(ctx, c)
}

func (d direct) Release(ctx context.Context, c claim.Claim) { d.committer.Commit(ctx, c.Released()) }

func freeAddress(t testing.TB) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

const digest = "d1"

// newBench starts two stand-ins of a kind and a forwarder before them.
func newBench(t *testing.T, kind profile.Kind) *bench {
	b := &bench{t: t, digest: digest}
	b.trusted.Store(true)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	b.store = &switched{Client: store.NewMemory()}
	b.view = configuration.NewView(nil)
	b.view.Apply([]store.Record{
		store.NewRecord(profile.ProfileKey("p"), []byte(`{"name":"p","deadline":"700ms","queue-wait":"300ms"}`), 1),
		store.NewRecord(profile.ServiceKey("s"), profile.EncodeService(profile.NewService("s", kind, "p", 4)), 2),
		store.NewRecord(profile.CustomerKey("c"), profile.EncodeCustomer(profile.NewCustomer("c", 1, nil).WithKey(profile.NewKey("k", digest))), 3),
	}, 0, 3)
	b.customer, _ = b.view.Current().CustomerNamed("c")
	b.fleet = fleet.New(func() { b.forwarder.Pump() })
	committer := claim.NewCommitter(store.NewGuard(b.store), time.Hour)
	for i := range claim.Ranges {
		go func() { _ = committer.Run(ctx, i) }()
	}
	http, err := web.NewClient(0)
	require.NoError(t, err)
	tracer, err := trace.New("", "")
	require.NoError(t, err)
	b.ledger = usage.NewRecorder(time.Hour)
	b.forwarder = forward.NewForwarder("entry-test", forward.Parts{
		View: b.view, Fleet: b.fleet, Backends: backendserver.New(http), Claimer: direct{committer}, Suspects: quarantine.New(),
		Ledger: b.ledger, Answers: forward.NewAnswers(), Tracer: tracer, Log: zap.NewNop(),
		Trusted: func(time.Time) bool { return b.trusted.Load() },
	})
	b.startServers(ctx, kind)
	return b
}

func (b *bench) startServers(ctx context.Context, kind profile.Kind) {
	var list []platform.Instance
	for i := range 2 {
		address := freeAddress(b.t)
		var s standIn = lab.NewPlainService(address, 4, time.Millisecond)
		if kind == profile.Model {
			engine, err := lab.NewEngine(lab.EngineOptions{Address: address, Model: "s", Slots: 4, DecodeStepTime: time.Millisecond, CacheBlocks: 8})
			require.NoError(b.t, err)
			s = engine
		}
		b.servers = append(b.servers, s)
		go func() { _ = s.Serve(ctx) }()
		list = append(list, platform.NewInstance(platform.WireInstance{
			Name: fmt.Sprintf("server-%d", i), Role: "backend", Service: "s", Address: address, State: "live",
		}))
		require.Eventually(b.t, func() bool {
			c, err := net.Dial("tcp", address)
			if err == nil {
				_ = c.Close()
			}
			return err == nil
		}, 10*time.Second, 5*time.Millisecond)
	}
	b.fleet.List(time.Now(), list)
}

func (b *bench) faults(wire string) {
	for _, s := range b.servers {
		require.NoError(b.t, s.SetFaults(wire))
	}
}

// runs is how often all servers ran anything.
func (b *bench) runs() int {
	n := 0
	for _, s := range b.servers {
		for _, times := range s.RunCounts() {
			n += times
		}
	}
	return n
}

// received is a sink that keeps what it got.
type received struct {
	begun  bool
	events int
	last   string
	body   []byte
	broken bool
}

var errCallerGone = errors.New("the caller left")

func (r *received) Begin(int, string) error {
	r.begun = true
	if r.broken {
		return errCallerGone
	}
	return nil
}

func (r *received) Event(data []byte) error {
	r.events++
	r.last = string(data)
	return nil
}

func (r *received) Body(body []byte) error {
	r.body = body
	return nil
}

// shape is a kind of request; step is a fault at one step of its way.
type shape struct {
	name       string
	kind       profile.Kind
	stream     bool
	idempotent bool
	key        string
}

var shapes = []shape{
	{"whole answer, idempotent", profile.Model, false, true, ""},
	{"stream, idempotent", profile.Model, true, true, ""},
	{"once, with an idempotency key", profile.Plain, false, false, "k1"},
	{"once, without a key", profile.Plain, false, false, ""},
}

type fault struct {
	name string
	// set brings the fault about before the request is sent.
	set func(b *bench)
	// clear ends it, before the request is sent again.
	clear func(b *bench)
	// forbids tells that nothing may run while the fault lasts.
	forbids bool
}

func backendFault(name, wire, end string) fault {
	return fault{name, func(b *bench) { b.faults(wire) }, func(b *bench) { b.faults(end) }, false}
}

func nothing(*bench) {}

var faults = []fault{
	{"none", nothing, nothing, false},
	{"identify: key withdrawn while queued", func(b *bench) { b.view.Suspend([]string{digest}) }, nothing, true},
	{"identify: instance cut off", func(b *bench) { b.trusted.Store(false) }, func(b *bench) { b.trusted.Store(true) }, true},
	{"claim: store refuses", func(b *bench) { b.store.fail(store.ErrNotApplied) }, func(b *bench) { b.store.fail() }, false},
	{"claim: store's answer lost after the write", func(b *bench) { b.store.fail(store.ErrUnknown, store.ErrUnknown) }, func(b *bench) { b.store.fail() }, false},
	{"choose: no server listed", func(b *bench) { b.fleet.List(time.Now(), nil) }, nothing, true},
	{"choose: all servers leaving", leaveAll, nothing, true},
	{"send: servers gone, connection refused", moveAll, nothing, true},
	backendFault("run: servers refuse, saying not run", `{"refuse-not-run":true}`, `{"refuse-not-run":false}`),
	backendFault("run: servers refuse, saying nothing", `{"refuse":true}`, `{"refuse":false}`),
	backendFault("run: servers frozen", `{"frozen":true}`, `{"frozen":false}`),
	backendFault("run: stream cut in the middle", `{"cut-streams":9}`, `{"cut-streams":0}`),
	backendFault("answer: lost after the run", `{"lose-answers":9}`, `{"lose-answers":0}`),
	backendFault("answer: belongs to another request", `{"wrong-echo":9}`, `{"wrong-echo":0}`),
}

func leaveAll(b *bench) {
	b.relist(func(w *platform.WireInstance) { w.State = "leaving" })
}

// moveAll makes every server another one, where nothing listens.
func moveAll(b *bench) {
	b.relist(func(w *platform.WireInstance) { w.Address = freeAddress(b.t) })
}

func (b *bench) relist(change func(*platform.WireInstance)) {
	var list []platform.Instance
	for _, s := range b.fleet.Listed(time.Now()) {
		w := platform.WireInstance{Name: s.ID(), Role: "backend", Service: "s", Address: s.Address(), State: "live"}
		change(&w)
		list = append(list, platform.NewInstance(w))
	}
	b.fleet.List(time.Now(), list)
}

func (b *bench) send(s shape, sink *received) error {
	service, p, ok := b.view.Current().Service("s")
	require.True(b.t, ok)
	body := fmt.Sprintf(`{"model":"s","max_tokens":6,"stream":%t,"messages":[{"role":"user","content":"x"}],"booking":"b"}`, s.stream)
	path := "/v1/chat/completions"
	if s.kind == profile.Plain {
		path = "/bookings"
	}
	r := forward.New(service, p, "POST", path, path).
		WithCustomer(b.customer, b.digest, "ck-secret").
		WithBody("application/json", []byte(body), nil).
		WithIdempotency(s.idempotent, s.key)
	return b.forwarder.Do(context.Background(), r, sink)
}

// check asserts what every answer must fulfil, and returns it as a cell.
func (b *bench) check(s shape, err error, sink *received, before int) string {
	ran := b.runs() - before
	if !s.idempotent {
		require.LessOrEqual(b.t, b.runs(), 1, "a non-idempotent request ran twice")
	}
	if err == nil {
		require.True(b.t, sink.begun)
		if s.stream && sink.events > 0 {
			require.Equal(b.t, backendserver.EndOfStream, sink.last, "a stream without its end is passed off as whole")
		}
		return fmt.Sprintf("answered, ran %d", ran)
	}
	answer := failure.KindOf(err).Answer()
	if answer.Ran() == failure.RanNo {
		require.Zero(b.t, ran, "%s says not run, but it ran", answer.Name())
		require.False(b.t, sink.begun)
	}
	return fmt.Sprintf("%s, ran %d", answer.Name(), ran)
}

// TestFaultMatrix brings about every fault at every step of every kind of
// request, and sends each request again after the fault.
func TestFaultMatrix(t *testing.T) {
	var rows []string
	for _, f := range faults {
		cells := make([]string, len(shapes))
		t.Run(f.name, func(t *testing.T) {
			for i, s := range shapes {
				t.Run(s.name, func(t *testing.T) { cells[i] = cell(t, s, f) })
			}
		})
		rows = append(rows, "| "+f.name+" | "+strings.Join(cells, " | ")+" |")
	}
	writeMatrix(t, rows)
}

// resendable tells whether a caller may send the request again: one that must
// run once and has no key only if it was told that it did not run.
func (s shape) resendable(err error) bool {
	if s.idempotent || s.key != "" {
		return true
	}
	return err != nil && failure.KindOf(err).Answer().Ran() == failure.RanNo
}

func cell(t *testing.T, s shape, f fault) string {
	b := newBench(t, s.kind)
	f.set(b)
	sink := &received{}
	err := b.send(s, sink)
	first := b.check(s, err, sink, 0)
	if f.forbids {
		require.Error(t, err)
		require.Zero(t, b.runs(), "nothing may run")
	}
	f.clear(b)
	if !s.resendable(err) {
		return first
	}
	before := b.runs()
	sink = &received{}
	err = b.send(s, sink)
	again := b.check(s, err, sink, before)
	if s.idempotent && !f.forbids {
		require.NoError(t, err, "an innocent request is answered once the fault is gone")
	}
	return first + "; again: " + again
}

// TestFaultPairs brings about two faults at once, drawn by a fixed seed.
func TestFaultPairs(t *testing.T) {
	pairs, seed := lab.SoakParameters(24, 77)
	for i := range pairs {
		n := int(seed) + i*7919
		one, two, s := faults[n%len(faults)], faults[(n/len(faults))%len(faults)], shapes[n%len(shapes)]
		t.Run(fmt.Sprintf("%s + %s + %s", one.name, two.name, s.name), func(t *testing.T) {
			b := newBench(t, s.kind)
			one.set(b)
			two.set(b)
			sink := &received{}
			err := b.send(s, sink)
			b.check(s, err, sink, 0)
			if one.forbids || two.forbids {
				require.Error(t, err)
				require.Zero(t, b.runs(), "nothing may run")
			}
			one.clear(b)
			two.clear(b)
			if !s.resendable(err) {
				return
			}
			before := b.runs()
			sink = &received{}
			b.check(s, b.send(s, sink), sink, before)
		})
	}
}

// writeMatrix writes the table where `make matrix` asks for it.
func writeMatrix(t *testing.T, rows []string) {
	path := os.Getenv("MATRIX_FILE")
	if path == "" {
		return
	}
	head := "# Fault matrix of a request\n\nWritten by `make matrix`. Rows are faults by the step they hit, columns are kinds of\n" +
		"request. A cell tells how the first sending ended and how often it ran on a backend\nserver, then the same for a second sending after the fault has gone. " +
		"A request that must\nrun once and has no key is sent again only after an answer that says not run.\n\n"
	names := make([]string, len(shapes))
	for i, s := range shapes {
		names[i] = s.name
	}
	table := "| fault | " + strings.Join(names, " | ") + " |\n|" + strings.Repeat("---|", len(shapes)+1) + "\n" + strings.Join(rows, "\n") + "\n"
	require.NoError(t, os.WriteFile(path, []byte(head+table), 0o600))
}
