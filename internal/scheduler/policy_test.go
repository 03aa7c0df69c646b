package scheduler

import (
	"testing"
	"time"

	"cactusspoke/internal/routetable"

	"github.com/stretchr/testify/require"
)

var start = time.Unix(1000, 0)

// TestRank asserts whose text gets a place first. The load is a step that
// begins while another is under way and there are fewer places than texts.
func TestRank(t *testing.T) {
	text := func(index, priority, due int, carried bool, left int) queuedItem {
		return queuedItem{index: index, priority: priority, due: start.Add(time.Duration(due) * time.Second), carried: carried, expectedTokens: left}
	}
	tests := []struct {
		name  string
		texts []queuedItem
		want  []int
	}{
		{"the longest of a step first", []queuedItem{text(0, 0, 5, false, 10), text(1, 0, 5, false, 90), text(2, 0, 5, false, 40)}, []int{1, 2, 0}},
		{"the step that is due first", []queuedItem{text(0, 0, 9, false, 99), text(1, 0, 5, false, 1)}, []int{1, 0}},
		{"carried-over groups of a step first", []queuedItem{text(0, 0, 5, false, 99), text(1, 0, 5, true, 1)}, []int{1, 0}},
		{"a higher priority before an earlier step", []queuedItem{text(0, 1, 5, true, 99), text(1, 0, 9, false, 1)}, []int{1, 0}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			sortQueue(tt.texts)
			var got []int
			for _, w := range tt.texts {
				got = append(got, w.index)
			}
			require.Equal(t, tt.want, got)
		})
	}
}

// TestAssign asserts where texts go.
func TestAssign(t *testing.T) {
	tests := []struct {
		name   string
		texts  []queuedItem
		places []target
		want   []assignment
	}{
		{
			"the first text gets the fastest engine",
			[]queuedItem{{index: 0}, {index: 1}},
			[]target{{id: "slow", freeSlots: 1, msPerEvent: 50}, {id: "fast", freeSlots: 1, msPerEvent: 36}},
			[]assignment{{0, "fast"}, {1, "slow"}},
		},
		{
			"equal engines share the load",
			[]queuedItem{{index: 0}, {index: 1}, {index: 2}, {index: 3}},
			[]target{{id: "a", freeSlots: 4, msPerEvent: 36}, {id: "b", freeSlots: 4, msPerEvent: 36}},
			[]assignment{{0, "a"}, {1, "b"}, {2, "a"}, {3, "b"}},
		},
		{
			"weights that are too old get nothing",
			[]queuedItem{{index: 0, minVersion: 3}},
			[]target{{id: "old", freeSlots: 8, msPerEvent: 36, version: 2}},
			nil,
		},
		{
			"new weights before allowed older ones of the same speed",
			[]queuedItem{{index: 0, minVersion: 2}},
			[]target{{id: "old", freeSlots: 8, msPerEvent: 36, version: 2}, {id: "new", freeSlots: 8, msPerEvent: 36, version: 3}},
			[]assignment{{0, "new"}},
		},
		{"no room, no place", []queuedItem{{index: 0}}, []target{{id: "a", freeSlots: 0, msPerEvent: 36}}, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			require.Equal(t, tt.want, assign(tt.texts, tt.places))
		})
	}
}

// TestBetter asserts which running texts move. The load is an engine that
// turns slow under the long texts that a step waits for.
func TestBetter(t *testing.T) {
	fast := target{id: "fast", freeSlots: 1, msPerEvent: 36, version: 3}
	tests := []struct {
		name   string
		speed  float64
		events int
		at     string
		min    int64
		place  target
		moves  bool
	}{
		{"a long text leaves a slow engine", 48, longOutputEvents, "slow", 3, fast, true},
		{"a short one stays", 48, longOutputEvents - 1, "slow", 3, fast, false},
		{"a short one leaves a very slow engine", 150, 5, "slow", 3, fast, true},
		{"nothing moves for little", 40, 100, "slow", 3, fast, false},
		{"nothing moves to older weights than allowed", 150, 100, "slow", 4, fast, false},
		{"nothing moves to where it is", 150, 100, "fast", 3, fast, false},
		{"nothing moves to a full engine", 150, 100, "slow", 3, target{id: "fast", msPerEvent: 36, version: 3}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, moves := fasterTarget(tt.speed, tt.events, tt.at, tt.min, []target{tt.place})
			require.Equal(t, tt.moves, moves)
		})
	}
}

// TestLag asserts when measurements are not held against the engines. The load
// is the start of a large step, which keeps the scheduler itself busy.
func TestLag(t *testing.T) {
	tests := []struct {
		name   string
		slower []float64
		want   float64
	}{
		{"too few texts", []float64{2, 2, 2, 2}, 1},
		{"engines at their best", []float64{1, 1.02, 0.98, 1, 1.05}, 1},
		{"a third of the engines is slow", []float64{1, 3, 1, 3, 1, 1.02}, 1},
		{"all seem slow at once", []float64{1.3, 1.2, 1.4, 1.25, 1.3, 1}, 1.3},
		{"most engines are slow", []float64{1, 3, 3, 3, 3, 1}, maxBias},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) { require.InDelta(t, tt.want, measurementBias(tt.slower), 0.001) })
	}
}

// TestEngineMemory asserts that an engine that was slow for a while gets work
// again, and that one that is slow for good is known to be.
func TestEngineMemory(t *testing.T) {
	s := newLatencyTracker()
	require.InDelta(t, defaultMsPerEvent, s.expected("a", start), 0.01)
	at := func(i int) time.Time { return start.Add(time.Duration(i) * latencySampleInterval) }
	for i := range 20 {
		s.record("fast", at(i), 40)
		s.record("slow for good", at(i), 52)
		s.record("slow now", at(i), 40)
	}
	for i := 20; i < 40; i++ {
		s.record("slow now", at(i), 150)
	}
	later := at(40).Add(5 * latencyDecay)
	require.Greater(t, s.expected("slow now", at(40)), 100.0)
	require.InDelta(t, 40, s.expected("slow now", later), 2)
	require.InDelta(t, 52, s.expected("slow for good", later), 1)
	require.InDelta(t, 44, s.expected("unknown", later), 1, "an engine without measurements is an average one")
	for i := range 20 {
		s.record("slow from the start", at(i), 150)
	}
	require.Less(t, s.expected("slow from the start", later), maxBaseRatio*40*1.1)
}

// TestSpread asserts how many engines each failure domain is to have.
func TestSpread(t *testing.T) {
	scaling := &routetable.Scaling{Min: 1, Max: 4, Prices: map[string]float64{"a": 1.2, "b": 0.8, "c": 1.0}}
	domains := []string{"a", "b", "c"}
	tests := []struct {
		name  string
		total int
		have  map[string]int
		want  map[string]int
	}{
		{"nothing to add", 6, map[string]int{"a": 2, "b": 2, "c": 2}, map[string]int{"a": 2, "b": 2, "c": 2}},
		{"the cheapest first, evenly", 8, map[string]int{"a": 2, "b": 2, "c": 2}, map[string]int{"a": 2, "b": 3, "c": 3}},
		{"a domain that lost its engines gets them back", 6, map[string]int{"a": 0, "b": 2, "c": 2}, map[string]int{"a": 2, "b": 2, "c": 2}},
		{"never over the most", 30, map[string]int{"a": 2, "b": 2, "c": 2}, map[string]int{"a": 4, "b": 4, "c": 4}},
		{"no domain loses engines", 1, map[string]int{"a": 3, "b": 1, "c": 1}, map[string]int{"a": 3, "b": 1, "c": 1}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			require.Equal(t, tt.want, distribute(tt.total, tt.have, domains, scaling))
		})
	}
}
