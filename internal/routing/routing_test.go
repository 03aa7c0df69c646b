package routing_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"cactusspoke/internal/routing"

	"github.com/stretchr/testify/require"
)

type server struct {
	id                 string
	estimate, reported float64
}

func (s server) ID() string             { return s.id }
func (s server) EstimatedLoad() float64 { return s.estimate }
func (s server) ReportedLoad() float64  { return s.reported }
func (s server) Slots() int             { return 10 }
func (s server) HasFreeSlot() bool      { return s.estimate < 10 }

func servers(estimates ...float64) []server {
	var out []server
	for i, e := range estimates {
		out = append(out, server{fmt.Sprint(i), e, 0})
	}
	return out
}

func policy(t *testing.T, name string) routing.Policy[server] {
	t.Helper()
	p, ok := routing.NewPolicy[server](name, rand.New(rand.NewPCG(1, 2)))
	require.True(t, ok)
	return p
}

func TestPrefixAffinity(t *testing.T) {
	p := policy(t, "prefix-affinity")
	work := routing.NewAttributes().WithPrefix(42)
	preferred, ok := p.Choose(work, servers(0, 0, 0, 0))
	require.True(t, ok)
	again, _ := p.Choose(work, servers(1, 1, 1, 1))
	require.Equal(t, preferred.ID(), again.ID(), "the same prefix goes to the same server")
	loaded := servers(0, 0, 0, 0)
	for i := range loaded {
		if loaded[i].id == preferred.ID() {
			loaded[i].estimate = 9
		}
	}
	other, _ := p.Choose(work, loaded)
	require.NotEqual(t, preferred.ID(), other.ID(), "a server over the load limit is skipped")
	fewer := servers(0, 0, 0, 0)[:3]
	moved, _ := p.Choose(work, fewer)
	if preferred.ID() != "3" {
		require.Equal(t, preferred.ID(), moved.ID(), "removing another server must not move the prefix")
	}
}

func TestEveryPolicyChoosesAmongTheCandidates(t *testing.T) {
	for _, name := range []string{"prefix-affinity", "round-robin", "least-reported", "two-choices"} {
		t.Run(name, func(t *testing.T) {
			p := policy(t, name)
			_, ok := p.Choose(routing.NewAttributes(), nil)
			require.False(t, ok)
			for range 100 {
				got, ok := p.Choose(routing.NewAttributes(), servers(3, 1, 2))
				require.True(t, ok)
				require.Contains(t, []string{"0", "1", "2"}, got.ID())
			}
		})
	}
	_, ok := routing.NewPolicy[server]("none", nil)
	require.False(t, ok)
}
