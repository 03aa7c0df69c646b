package peer

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"cactusspoke/internal/configuration"
	"cactusspoke/internal/fleet"
	"cactusspoke/internal/peer/peerpb"
	"cactusspoke/internal/platform"
	"cactusspoke/internal/quarantine"
	"cactusspoke/internal/store"
	"cactusspoke/internal/timer"
	"cactusspoke/internal/trace"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"
)

func TestStand(t *testing.T) {
	now := time.Unix(100, 0)
	self := Member{name: "a", failureDomain: "one"}
	heard := func(name, domain string) Member { return Member{name: name, failureDomain: domain, heardAt: now} }
	silent := func(name, domain string) Member { return Member{name: name, failureDomain: domain, listed: true} }
	tests := []struct {
		name   string
		age    time.Duration
		others []Member
		want   Standing
	}{
		{"a fresh view", time.Second, nil, InTouch},
		{"an old view, alone in the deployment", time.Minute, nil, StoreDown},
		{"an old view, another domain is heard", time.Minute, []Member{heard("b", "two")}, StoreDown},
		{"an old view, nobody is heard", time.Minute, []Member{silent("b", "two"), silent("c", "one")}, CutOff},
		{"an old view, only the own domain is heard", time.Minute, []Member{silent("b", "two"), heard("c", "one")}, CutOff},
		{"an old view, there is only one domain and it is heard", time.Minute, []Member{heard("c", "one")}, StoreDown},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			require.Equal(t, test.want, Stand(test.age, self, test.others, now))
		})
	}
}

func newTestMesh(name string, servers int) *Mesh {
	members := NewMembers(NewMember(name, name+"-1", "a", "127.0.0.1:1", "127.0.0.1:2", false))
	f := fleet.New(nil)
	now := time.Now()
	var list []platform.Instance
	for i := range servers {
		list = append(list, platform.NewInstance(platform.WireInstance{
			Name: fmt.Sprintf("route-llm-%d", i), Role: "backend", Service: "route-llm", Address: "127.0.0.1:9000", State: "live",
		}))
	}
	f.UpdateInstances(now, list)
	for i := range servers {
		f.UpdateLoad(now, fleet.NewLoad(fmt.Sprintf("route-llm-%d", i), 0x0a1b2c3d, 12345, 12, 3, 16, 42, false, now))
	}
	return NewMesh(members, configuration.NewView(nil), f, quarantine.New(), NewClients(&trace.Tracer{}), timer.New(),
		metrics.NewRegistry(), zap.NewNop(), func() float64 { return 0.5 })
}

// TestConfirmationNeverRunsAhead asserts that an age that a peer tells is
// taken as at least as old as it was when the question left.
func TestConfirmationNeverRunsAhead(t *testing.T) {
	a, b := newTestMesh("a", 0), newTestMesh("b", 0)
	confirmed := time.Now().Add(-time.Minute)
	b.view.Confirm(confirmed)
	sentAt := time.Now()
	reply := b.Answer(&peerpb.ExchangeRequest{Digest: a.digest(sentAt, 0, false)})
	a.take(reply.GetDigest(), sentAt, true)
	age, seen := a.view.Age(time.Now())
	require.True(t, seen)
	require.GreaterOrEqual(t, age, time.Since(confirmed)-10*time.Millisecond)
	_, seenByB := b.view.Age(time.Now())
	require.True(t, seenByB)
}

// TestOldPeerConfirmsNothing asserts that a peer behind us cannot make our
// view look fresh.
func TestOldPeerConfirmsNothing(t *testing.T) {
	a, b := newTestMesh("a", 0), newTestMesh("b", 0)
	a.view.Apply([]store.Record{store.NewRecord("config/other", nil, 7)}, 0, 7)
	b.view.Confirm(time.Now())
	sentAt := time.Now()
	behind := b.digest(sentAt, 7, false)
	a.take(behind, sentAt, true)
	_, seen := a.view.Age(time.Now())
	require.False(t, seen)
}

func BenchmarkDigest(b *testing.B) {
	for _, servers := range []int{14, 88, 700} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			from, to := newTestMesh("a", servers), newTestMesh("b", servers)
			var size int
			for b.Loop() {
				data, err := proto.Marshal(from.digest(time.Now(), 0, false))
				require.NoError(b, err)
				size = len(data)
				var d peerpb.Digest
				require.NoError(b, proto.Unmarshal(data, &d))
				to.take(&d, time.Now(), true)
			}
			b.ReportMetric(float64(size), "B/digest")
			b.ReportMetric(float64(size)/float64(servers), "B/server")
		})
	}
}

func BenchmarkHeapPerServer(b *testing.B) {
	for _, servers := range []int{88, 700, 2800} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			for b.Loop() {
				before := heap()
				m := newTestMesh("a", servers)
				b.ReportMetric(float64(heap()-before)/float64(servers), "heap-B/server")
				runtime.KeepAlive(m)
			}
		})
	}
}

func heap() uint64 {
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return s.HeapAlloc
}

// TestLargeCellAgrees runs the exchanges of a cell of 49 without a network and
// asserts that its members agree on who is alive and who watches, and that a
// dead member is noticed.
func TestLargeCellAgrees(t *testing.T) {
	const size, rounds = 49, 60
	random := rand.New(rand.NewPCG(9, 9))
	now := time.Unix(1000, 0)
	tables := make([]*Members, size)
	lines := make([]Member, size)
	var listed []platform.Instance
	for i := range tables {
		lines[i] = NewMember(fmt.Sprintf("entry-%d", i), "1", "a", "127.0.0.1:1", "127.0.0.1:2", false)
		tables[i] = NewMembers(lines[i])
		listed = append(listed, platform.NewInstance(platform.WireInstance{
			Name: lines[i].name, Role: "entry", PeersAddress: "127.0.0.1:1", FailureDomain: "a", State: "live",
		}))
	}
	for _, table := range tables {
		table.List(listed)
	}
	spread := func(alive int) {
		for range rounds {
			now = now.Add(exchangePeriod)
			for i := range alive {
				for exchange := range exchangeFanOut {
					meet(tables, lines, i, random.IntN(alive), now, exchange > 0)
				}
			}
		}
	}
	spread(size)
	for i := range tables {
		require.Len(t, tables[i].Alive(now), size)
	}
	spread(size - 1)
	watchers := 0
	for i := range size - 1 {
		require.Len(t, tables[i].Alive(now), size-1)
		if tables[i].InFirst(now, "configuration", 2) {
			watchers++
		}
	}
	require.Equal(t, 2, watchers)
}

// meet lets two members tell each other whom they heard and when.
func meet(tables []*Members, lines []Member, a, b int, now time.Time, brief bool) {
	if a == b {
		return
	}
	for _, pair := range [][2]int{{a, b}, {b, a}} {
		from, to := pair[0], pair[1]
		heard := tables[from].Heard()
		if brief {
			heard = heard[:min(briefHeard, len(heard))]
		}
		tables[to].Hear(now, lines[from])
		for _, h := range encodeHeard(now, heard) {
			tables[to].HearOf(now, h.GetMember(), time.Duration(h.GetAgeMs())*time.Millisecond)
		}
	}
}

// TestMayBe asserts that the holder of a stored answer is found right after
// the start, before it has said which incarnation it is.
func TestMayBe(t *testing.T) {
	now := time.Unix(100, 0)
	names := func(members []Member) (out []string) {
		for _, m := range members {
			out = append(out, m.name)
		}
		return out
	}
	members := NewMembers(NewMember("a", "a-1", "one", "127.0.0.1:1", "127.0.0.1:2", false))
	members.table["b"] = &Member{name: "b", peersAddress: "127.0.0.1:3", listed: true}
	members.table["c"] = &Member{name: "c", peersAddress: "127.0.0.1:4", listed: true}
	require.Equal(t, []string{"b", "c"}, names(members.MayBe(now, "b-1")))
	members.Hear(now, NewMember("c", "c-1", "one", "127.0.0.1:4", "127.0.0.1:5", false))
	require.Equal(t, []string{"b"}, names(members.MayBe(now, "b-1")))
	members.Hear(now, NewMember("b", "b-1", "one", "127.0.0.1:3", "127.0.0.1:6", false))
	require.Equal(t, []string{"b"}, names(members.MayBe(now, "b-1")))
	require.Empty(t, members.MayBe(now, "b-0"))
}
