package rollout

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"cactusspoke/internal/lab"
	"cactusspoke/internal/sample"
	"cactusspoke/internal/step"

	"github.com/stretchr/testify/require"
)

// made returns a sample of one token of a version.
func made(t *testing.T, at place, version int64) *sample.Sample {
	t.Helper()
	b := sample.NewBuilder(fmt.Sprintf("%s-%d", at.group, at.index), at.group)
	b.Add(fmt.Appendf(nil, `{"system_fingerprint":"e:%d","usage":{"completion_tokens":1}}`, version))
	s, err := b.Finish()
	require.NoError(t, err)
	return s
}

// TestSoakRun finishes samples of all ages in any order while the trainer's
// version rises. What is sealed is whole groups, each place once, none stale.
func TestSoakRun(t *testing.T) {
	steps, seed := lab.SoakParameters(20_000, 17)
	random := rand.New(rand.NewPCG(seed, 6))
	for done := 0; done < steps; {
		r, groups := randomRun(random)
		var open []place
		for _, g := range groups {
			for index := range g.samples {
				open = append(open, place{g.id, index})
			}
		}
		for {
			done++
			if samples, ok := r.ready(); ok {
				checkSealed(t, r, samples)
				break
			}
			if random.IntN(10) == 0 {
				open = append(open, r.advance(r.version+random.Int64N(3))...)
			}
			require.NotEmpty(t, open, "seed %d: nothing runs and nothing is ready", seed)
			i := random.IntN(len(open))
			at := open[i]
			open = append(open[:i], open[i+1:]...)
			if !r.finish(at, made(t, at, r.version-random.Int64N(r.bound+2))) {
				open = append(open, at)
			}
		}
	}
}

func randomRun(random *rand.Rand) (*run, []Group) {
	var groups []Group
	for g := range 1 + random.IntN(6) {
		groups = append(groups, NewGroup(fmt.Sprintf("g%d", g), nil, 1+random.IntN(4)))
	}
	share := 0.3 + 0.7*random.Float64()
	return newRun(step.NewID("t", 1), share, random.Int64N(3), 10, groups), groups
}

func checkSealed(t *testing.T, r *run, samples []*sample.Sample) {
	t.Helper()
	seen := map[string]bool{}
	perGroup := map[string]int{}
	for _, s := range samples {
		require.False(t, seen[s.ID()], "a place twice")
		seen[s.ID()] = true
		perGroup[s.Group()]++
		require.GreaterOrEqual(t, s.OldestVersion(), r.version-r.bound)
	}
	for id, n := range perGroup {
		require.Equal(t, r.groups[id].samples, n, "only whole groups")
	}
	require.GreaterOrEqual(t, len(perGroup), r.needed())
}
