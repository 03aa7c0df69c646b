package lease_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"cactusspoke/internal/lab"
	"cactusspoke/internal/lease"
	"cactusspoke/internal/store"

	"github.com/stretchr/testify/require"
)

const (
	ttl    = 3 * time.Second
	margin = 600 * time.Millisecond
	grace  = time.Second
)

func ExampleCandidate() {
	now := time.Unix(0, 0)
	c := lease.New("entry-0", ttl, margin, grace)
	c.Observe(now, lease.Record{}, 0)
	write, _ := c.Next(now)
	c.Written(now, write, 1)
	fmt.Println(c.State(), c.Epoch(), c.Valid(now.Add(2*time.Second)), c.Valid(now.Add(ttl-margin)))
	// Output: holder 1 true false
}

func TestCandidate(t *testing.T) {
	start := time.Unix(100, 0)
	held := func() *lease.Candidate {
		c := lease.New("a", ttl, margin, grace)
		c.Observe(start, lease.Record{}, 0)
		w, due := c.Next(start)
		require.True(t, due)
		c.Written(start, w, 1)
		return c
	}
	other, err := lease.Decode([]byte(`{"holder":"b","epoch":7,"sequence":3}`))
	require.NoError(t, err)

	tests := []struct {
		name string
		run  func(t *testing.T)
	}{
		{"the right ends at the time to live less the margin, from before the send", func(t *testing.T) {
			c := held()
			require.True(t, c.Valid(start.Add(ttl-margin-1)))
			require.False(t, c.Valid(start.Add(ttl-margin)))
		}},
		{"a holder that wakes after its deadline has lost the duty", func(t *testing.T) {
			c := held()
			_, due := c.Next(start.Add(time.Hour))
			require.False(t, due)
			require.Equal(t, lease.Follower, c.State())
		}},
		{"a successor waits the whole time and the grace from when it first saw the record", func(t *testing.T) {
			c := lease.New("a", ttl, margin, grace)
			c.Observe(start, other, 9)
			_, due := c.Next(start.Add(ttl + grace - 1))
			require.False(t, due)
			w, due := c.Next(start.Add(ttl + grace))
			require.True(t, due)
			require.Equal(t, uint64(8), w.Record().Epoch())
			require.Equal(t, store.Revision(9), w.Expected())
		}},
		{"seeing the same record again does not begin the wait anew, a renewal does", func(t *testing.T) {
			c := lease.New("a", ttl, margin, grace)
			c.Observe(start, other, 9)
			c.Observe(start.Add(time.Second), other, 9)
			_, due := c.Next(start.Add(ttl + grace))
			require.True(t, due)
			c.Observe(start.Add(ttl+grace), other, 10)
			_, due = c.Next(start.Add(ttl + grace + 1))
			require.False(t, due)
		}},
		{"a successor with a shorter time to live waits for the holder's", func(t *testing.T) {
			holder := held()
			w, due := holder.Next(start.Add(ttl / 2))
			require.True(t, due)
			record, err := lease.Decode(lease.Encode(w.Record()))
			require.NoError(t, err)
			hasty := lease.New("b", ttl/10, margin/10, 0)
			hasty.Observe(start, record, 5)
			_, due = hasty.Next(start.Add(ttl - 1))
			require.False(t, due)
			_, due = hasty.Next(start.Add(ttl))
			require.True(t, due)
		}},
		{"a holder that sees another's record stops at once", func(t *testing.T) {
			c := held()
			c.Observe(start.Add(time.Millisecond), other, 9)
			require.False(t, c.Valid(start.Add(2*time.Millisecond)))
		}},
		{"an answer about an older write than what was seen grants nothing", func(t *testing.T) {
			c := lease.New("a", ttl, margin, grace)
			c.Observe(start, lease.Record{}, 0)
			w, _ := c.Next(start)
			c.Observe(start, other, 9)
			c.Written(start, w, 3)
			require.False(t, c.Valid(start))
		}},
	}
	for _, test := range tests {
		t.Run(test.name, test.run)
	}
}

// event is something that happens at a time of the simulated world.
type event struct {
	at time.Time
	do func()
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// world runs candidates against one record with random delays, lost answers,
// pauses and crashes.
type world struct {
	t          *testing.T
	random     *rand.Rand
	now        time.Time
	queue      events
	record     lease.Record
	revision   store.Revision
	candidates []*process
	peer       peer
	ignoring   peer
	holders    int
	downUntil  time.Time
}

type process struct {
	world     *world
	name      string
	candidate *lease.Candidate
	// pausedUntil is when a frozen process goes on.
	pausedUntil time.Time
}

// peer takes orders; it is told the epoch of each.
type peer struct {
	newest     uint64
	violations int
}

func (w *world) later(d time.Duration, do func()) {
	heap.Push(&w.queue, event{w.now.Add(d), do})
}

func (w *world) delay(most time.Duration) time.Duration {
	return time.Duration(w.random.Int64N(int64(most)) + 1)
}

// tick is one turn of a process; a frozen one takes its turn when it wakes.
func (p *process) tick() {
	w := p.world
	if w.now.Before(p.pausedUntil) {
		w.later(p.pausedUntil.Sub(w.now), p.tick)
		return
	}
	defer w.later(100*time.Millisecond+w.delay(20*time.Millisecond), p.tick)
	switch roll := w.random.Float64(); {
	case roll < 0.004:
		p.pausedUntil = w.now.Add(w.delay(8 * time.Second))
		return
	case roll < 0.005:
		p.candidate = lease.New(p.name, ttl, margin, grace)
	}
	p.read()
	p.write()
	p.act()
}

func (p *process) read() {
	w := p.world
	if w.now.Before(w.downUntil) || w.random.Float64() < 0.3 {
		return
	}
	w.later(w.delay(50*time.Millisecond), func() {
		record, revision := w.record, w.revision
		w.later(w.delay(50*time.Millisecond), func() { p.awake(func() { p.candidate.Observe(w.now, record, revision) }) })
	})
}

// awake does something as soon as the process is not frozen.
func (p *process) awake(do func()) {
	w := p.world
	if w.now.Before(p.pausedUntil) {
		w.later(p.pausedUntil.Sub(w.now), func() { p.awake(do) })
		return
	}
	do()
}

func (p *process) write() {
	w := p.world
	write, due := p.candidate.Next(w.now)
	if !due || w.now.Before(w.downUntil) {
		return
	}
	sentAt := w.now
	candidate := p.candidate
	w.later(w.delay(400*time.Millisecond), func() {
		if w.revision != write.Expected() {
			return
		}
		w.revision++
		w.record = write.Record()
		revision := w.revision
		if w.random.Float64() < 0.2 {
			return
		}
		w.later(w.delay(400*time.Millisecond), func() {
			p.awake(func() { candidate.Written(sentAt, write, revision) })
		})
	})
}

// act gives an order when the lease is valid. The order dies with the lease
// and is on its way for less than the grace.
func (p *process) act() {
	w := p.world
	if !p.candidate.Valid(w.now) {
		return
	}
	w.holders++
	epoch := p.candidate.Epoch()
	expires := p.candidate.Deadline()
	w.later(w.delay(500*time.Millisecond), func() {
		if w.now.After(expires) {
			return
		}
		w.peer.take(epoch, false)
		w.ignoring.take(epoch, true)
	})
}

func (p *peer) take(epoch uint64, ignores bool) {
	if epoch < p.newest {
		if ignores {
			p.violations++
		}
		return
	}
	p.newest = epoch
}

// TestSoakOneHolder asserts after every event that at most one process may
// act, and that even a peer which ignores epochs sees them only grow.
func TestSoakOneHolder(t *testing.T) {
	steps, seed := lab.Soak(300_000, 11)
	w := &world{t: t, random: rand.New(rand.NewPCG(seed, 2)), now: time.Unix(1000, 0)}
	for i := range 4 {
		p := &process{world: w, name: fmt.Sprintf("p%d", i), candidate: lease.New(fmt.Sprintf("p%d", i), ttl, margin, grace)}
		w.candidates = append(w.candidates, p)
		w.later(w.delay(time.Second), p.tick)
	}
	epochs := uint64(0)
	for step := range steps {
		if w.random.Float64() < 0.0002 {
			w.downUntil = w.now.Add(w.delay(10 * time.Second))
		}
		next := heap.Pop(&w.queue).(event)
		w.now = next.at
		next.do()
		valid := 0
		for _, p := range w.candidates {
			if p.candidate.Valid(w.now) {
				valid++
			}
		}
		require.LessOrEqual(t, valid, 1, "seed %d step %d: two may act", seed, step)
		require.GreaterOrEqual(t, w.record.Epoch(), epochs, "seed %d step %d: the epoch fell", seed, step)
		epochs = w.record.Epoch()
	}
	require.Zero(t, w.ignoring.violations, "seed %d: an order of an old epoch came after a new one", seed)
	require.Positive(t, w.holders)
	require.Greater(t, epochs, uint64(10), "the run must see many changes of holder")
}
