package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// loadTime is how long a load takes that no other one slows down.
const loadTime = 900 * time.Millisecond

// TestHomes asserts which model each engine is kept up to date for.
func TestHomes(t *testing.T) {
	engines := func(versions ...map[string]int64) (out []engineState) {
		for i, v := range versions {
			out = append(out, engineState{id: fmt.Sprint(i), versions: v})
		}
		return out
	}
	fresh := map[string]int64{"a": 5, "b": 5}
	behindInA, behindInB := map[string]int64{"a": 3, "b": 5}, map[string]int64{"a": 5, "b": 3}
	even := map[string]modelDemand{"a": {newestVersion: 5, peakItems: 50}, "b": {newestVersion: 5, peakItems: 50}}
	tests := []struct {
		name    string
		engines []engineState
		needs   map[string]modelDemand
		before  map[string]string
		want    map[string]string
	}{
		{"nothing is known of the texts", engines(fresh, fresh), map[string]modelDemand{"a": {newestVersion: 5}, "b": {newestVersion: 5}}, nil, map[string]string{}},
		{"fewer engines than models", engines(fresh), even, nil, map[string]string{}},
		{"the model in which it lags less", engines(behindInA, behindInB), even, nil, map[string]string{"0": "b", "1": "a"}},
		{"an engine stays", engines(behindInA, behindInB), even, map[string]string{"0": "a", "1": "b"}, map[string]string{"0": "a", "1": "b"}},
		{
			"shares follow the texts", engines(fresh, fresh, fresh, fresh),
			map[string]modelDemand{"a": {newestVersion: 5, peakItems: 75}, "b": {newestVersion: 5, peakItems: 25}},
			nil,
			map[string]string{"0": "a", "1": "a", "2": "a", "3": "b"},
		},
		{
			"a model with few texts has an engine", engines(fresh, fresh, fresh),
			map[string]modelDemand{"a": {newestVersion: 5, peakItems: 500}, "b": {newestVersion: 5, peakItems: 1}},
			nil,
			map[string]string{"0": "a", "1": "a", "2": "b"},
		},
		{
			"an engine that left is made up for", engines(fresh, fresh), even,
			map[string]string{"0": "a", "1": "a", "2": "b"},
			map[string]string{"0": "a", "1": "b"},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			require.Equal(t, tt.want, assignModels(tt.engines, tt.needs, tt.before))
		})
	}
}

// TestPlanLoads asserts which engines load first. The load is the start of a
// step, whose texts some engines cannot serve any more.
func TestPlanLoads(t *testing.T) {
	at := func(id string, version int64, speed float64) engineState {
		return engineState{id: id, msPerEvent: speed, versions: map[string]int64{"m": version}}
	}
	busy := at("busy", 3, 36)
	busy.busy = true
	running := at("running", 4, 36)
	running.running = 3
	calm := map[string]modelDemand{"m": {newestVersion: 5}}
	starved := map[string]modelDemand{"m": {newestVersion: 5, hasQueued: true, requiredVersion: 4}}
	tests := []struct {
		name    string
		engines []engineState
		needs   map[string]modelDemand
		home    map[string]string
		room    int
		want    []string
	}{
		{"nobody is behind", []engineState{at("a", 5, 36)}, calm, nil, 2, nil},
		{"the furthest behind first", []engineState{at("a", 4, 36), at("b", 2, 36)}, calm, nil, 1, []string{"b"}},
		{"the faster of two", []engineState{at("a", 4, 48), at("b", 4, 36)}, calm, nil, 1, []string{"b"}},
		{"the idler of two", []engineState{running, at("x", 4, 36)}, calm, nil, 1, []string{"x"}},
		{"one that loads is not asked again", []engineState{busy, at("x", 4, 36)}, calm, nil, 2, []string{"x"}},
		{"no more than there is room", []engineState{at("a", 4, 36), at("b", 4, 36), at("c", 4, 36)}, calm, nil, 2, []string{"a", "b"}},
		{"no room", []engineState{at("a", 4, 36)}, calm, nil, -1, nil},
		{"engines that waiting texts can use serve them", []engineState{at("a", 4, 36), at("b", 3, 48)}, starved, nil, 2, []string{"b"}},
		{
			"a model without texts last, at all engines",
			[]engineState{at("a", 3, 36), at("b", 4, 36)},
			map[string]modelDemand{"m": {newestVersion: 5}, "other": {newestVersion: 5, peakItems: 9}},
			map[string]string{"a": "other", "b": "m"},
			2,
			[]string{"b", "a"},
		},
		{"only models that are at home", []engineState{at("a", 3, 36), at("b", 3, 36)}, map[string]modelDemand{"m": {newestVersion: 5, peakItems: 9}}, map[string]string{"a": "other", "b": "m"}, 2, []string{"b"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var got []string
			for _, l := range planLoads(tt.engines, tt.needs, tt.home, tt.room) {
				require.Equal(t, "m", l.model)
				got = append(got, l.engine)
			}
			require.Equal(t, tt.want, got)
		})
	}
}

// TestLoadRate asserts that the number of loads at once follows what the
// weight store bears.
func TestLoadRate(t *testing.T) {
	for _, bears := range []int{2, 5, 9} {
		t.Run(fmt.Sprint(bears), func(t *testing.T) {
			rate := newLoadLimiter()
			now := start
			load := func(slow time.Duration) {
				atOnce := int(rate.limit)
				took := slow + time.Duration(float64(loadTime)*max(1, float64(atOnce)/float64(bears)))
				for range atOnce {
					rate.recordLoad(now, now.Add(took), atOnce)
				}
				now = now.Add(took)
			}
			for range 12 {
				load(0)
				require.LessOrEqual(t, rate.limit, 2.0*float64(bears))
			}
			require.InDelta(t, bears, int(rate.limit), 1)
			load(3 * time.Second)
			for range 4 {
				load(0)
			}
			require.InDelta(t, bears, int(rate.limit), 1, "one slow engine tells little of the others")
		})
	}
}

// TestLoadsOfManyModels replays four trainers that each name a version every
// four seconds, on engines of which eight may load at once: about one load for
// each engine and version, not one for each engine, version and model. When a
// step begins, most of its model's share of the engines must have weights that
// it allows.
func TestLoadsOfManyModels(t *testing.T) {
	const (
		engineCount = 36
		bears       = 8
		every       = 4 * time.Second
		versions    = 12
	)
	models := []string{"a", "b", "c", "d"}
	usable := func() float64 {
		engines := make([]engineState, engineCount)
		for i := range engines {
			engines[i] = engineState{id: fmt.Sprintf("%02d", i), versions: map[string]int64{}}
			for _, m := range models {
				engines[i].versions[m] = 1
			}
		}
		needs := map[string]modelDemand{}
		for _, m := range models {
			needs[m] = modelDemand{newestVersion: 1, peakItems: 100}
		}
		type going struct {
			weightLoad
			ends time.Duration
		}
		var loads []going
		var home map[string]string
		sum, steps := 0.0, 0
		for now := time.Duration(0); now < versions*every; now += updateInterval {
			for i, m := range models {
				if (now+time.Duration(i)*every/4)%every == 0 && now > 0 {
					n := needs[m]
					n.newestVersion++
					needs[m] = n
					for _, e := range engines {
						if e.versions[m] >= n.newestVersion-1 {
							sum++
						}
					}
					steps++
				}
			}
			var left []going
			for _, g := range loads {
				if g.ends > now {
					left = append(left, g)
					continue
				}
				for i := range engines {
					if engines[i].id == g.engine {
						engines[i].versions[g.model] = needs[g.model].newestVersion
						engines[i].busy = false
					}
				}
			}
			loads = left
			home = assignModels(engines, needs, home)
			for _, l := range planLoads(engines, needs, home, bears-len(loads)) {
				loads = append(loads, going{l, now + loadTime})
				for i := range engines {
					if engines[i].id == l.engine {
						engines[i].busy = true
					}
				}
			}
		}
		return sum / float64(steps) / (engineCount / float64(len(models)))
	}
	require.GreaterOrEqual(t, usable(), 0.8)
}
