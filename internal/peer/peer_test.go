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

func TestAssessView(t *testing.T) {
	now := time.Unix(100, 0)
	self := Member{name: "a", failureDomain: "one"}
	heard := func(name, domain string) Member { return Member{name: name, failureDomain: domain, heardAt: now} }
	unheard := func(name, domain string) Member { return Member{name: name, failureDomain: domain, listed: true} }
	tests := []struct {
		name   string
		age    time.Duration
		others []Member
		want   ViewStatus
	}{
		{"a recently confirmed view", time.Second, nil, ViewCurrent},
		{"an old view, alone in the deployment", time.Minute, nil, StoreDown},
		{"an old view, a member of another domain is heard", time.Minute, []Member{heard("b", "two")}, StoreDown},
		{"an old view, no member is heard", time.Minute, []Member{unheard("b", "two"), unheard("c", "one")}, Isolated},
		{"an old view, only members of the own domain are heard", time.Minute, []Member{unheard("b", "two"), heard("c", "one")}, Isolated},
		{"an old view, a member of the only domain is heard", time.Minute, []Member{heard("c", "one")}, StoreDown},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			require.Equal(t, test.want, AssessView(test.age, self, test.others, now))
		})
	}
}

func newTestGossip(name string, servers int) *Gossip {
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
	return NewGossip(members, configuration.NewView(nil), f, quarantine.New(), NewClients(&trace.Tracer{}), timer.New(),
		metrics.NewRegistry(), zap.NewNop(), func() float64 { return 0.5 })
}

// TestConfirmationAgeIsNotUnderstated checks that the age of a confirmation from a
// peer is counted from when the request was sent, so that the time in transit does
// not make the view look newer than it is.
func TestConfirmationAgeIsNotUnderstated(t *testing.T) {
	a, b := newTestGossip("a", 0), newTestGossip("b", 0)
	confirmed := time.Now().Add(-time.Minute)
	b.view.Confirm(confirmed)
	sentAt := time.Now()
	reply := b.HandleExchange(&peerpb.ExchangeRequest{Digest: a.digest(sentAt, 0, false)})
	a.applyDigest(reply.GetDigest(), sentAt, true)
	age, seen := a.view.Age(time.Now())
	require.True(t, seen)
	require.GreaterOrEqual(t, age, time.Since(confirmed)-10*time.Millisecond)
	_, seenByB := b.view.Age(time.Now())
	require.True(t, seenByB)
}

// TestOlderPeerDoesNotConfirmView checks that a confirmation from a peer with an
// older configuration does not make the view look current.
func TestOlderPeerDoesNotConfirmView(t *testing.T) {
	a, b := newTestGossip("a", 0), newTestGossip("b", 0)
	a.view.Apply([]store.Record{store.NewRecord("config/other", nil, 7)}, 0, 7)
	b.view.Confirm(time.Now())
	sentAt := time.Now()
	older := b.digest(sentAt, 7, false)
	a.applyDigest(older, sentAt, true)
	_, seen := a.view.Age(time.Now())
	require.False(t, seen)
}

func BenchmarkDigest(b *testing.B) {
	for _, servers := range []int{14, 88, 700} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			from, to := newTestGossip("a", servers), newTestGossip("b", servers)
			var size int
			for b.Loop() {
				data, err := proto.Marshal(from.digest(time.Now(), 0, false))
				require.NoError(b, err)
				size = len(data)
				var d peerpb.Digest
				require.NoError(b, proto.Unmarshal(data, &d))
				to.applyDigest(&d, time.Now(), true)
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
				before := heapAlloc()
				m := newTestGossip("a", servers)
				b.ReportMetric(float64(heapAlloc()-before)/float64(servers), "heap-B/server")
				runtime.KeepAlive(m)
			}
		})
	}
}

func heapAlloc() uint64 {
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return s.HeapAlloc
}

// TestLargeClusterAgrees simulates the exchanges of a cluster of 49 members. It
// checks that the members agree on which of them are alive and which watch the
// configuration, and that they detect a dead member.
func TestLargeClusterAgrees(t *testing.T) {
	const size, rounds = 49, 60
	random := rand.New(rand.NewPCG(9, 9))
	now := time.Unix(1000, 0)
	tables := make([]*Members, size)
	selves := make([]Member, size)
	var listed []platform.Instance
	for i := range tables {
		selves[i] = NewMember(fmt.Sprintf("entry-%d", i), "1", "a", "127.0.0.1:1", "127.0.0.1:2", false)
		tables[i] = NewMembers(selves[i])
		listed = append(listed, platform.NewInstance(platform.WireInstance{
			Name: selves[i].name, Role: "entry", PeersAddress: "127.0.0.1:1", FailureDomain: "a", State: "live",
		}))
	}
	for _, table := range tables {
		table.UpdateListed(listed)
	}
	runRounds := func(alive int) {
		for range rounds {
			now = now.Add(exchangePeriod)
			for i := range alive {
				for exchange := range exchangeFanOut {
					exchangeHeard(tables, selves, i, random.IntN(alive), now, exchange > 0)
				}
			}
		}
	}
	runRounds(size)
	for i := range tables {
		require.Len(t, tables[i].Alive(now), size)
	}
	runRounds(size - 1)
	watchers := 0
	for i := range size - 1 {
		require.Len(t, tables[i].Alive(now), size-1)
		if tables[i].IsAmongFirst(now, "configuration", 2) {
			watchers++
		}
	}
	require.Equal(t, 2, watchers)
}

// exchangeHeard exchanges heartbeats and heartbeat times between members a and b.
func exchangeHeard(tables []*Members, selves []Member, a, b int, now time.Time, brief bool) {
	if a == b {
		return
	}
	for _, pair := range [][2]int{{a, b}, {b, a}} {
		from, to := pair[0], pair[1]
		heard := tables[from].Heard()
		if brief {
			heard = heard[:min(maxBriefHeard, len(heard))]
		}
		tables[to].RecordHeartbeat(now, selves[from])
		for _, h := range encodeHeard(now, heard) {
			tables[to].RecordIndirectHeartbeat(now, h.GetMember(), time.Duration(h.GetAgeMs())*time.Millisecond)
		}
	}
}

// TestIncarnationCandidates checks that the member with a stored response is found
// right after the start, before it has reported its incarnation.
func TestIncarnationCandidates(t *testing.T) {
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
	require.Equal(t, []string{"b", "c"}, names(members.IncarnationCandidates(now, "b-1")))
	members.RecordHeartbeat(now, NewMember("c", "c-1", "one", "127.0.0.1:4", "127.0.0.1:5", false))
	require.Equal(t, []string{"b"}, names(members.IncarnationCandidates(now, "b-1")))
	members.RecordHeartbeat(now, NewMember("b", "b-1", "one", "127.0.0.1:3", "127.0.0.1:6", false))
	require.Equal(t, []string{"b"}, names(members.IncarnationCandidates(now, "b-1")))
	require.Empty(t, members.IncarnationCandidates(now, "b-0"))
}
