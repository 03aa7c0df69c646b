// Package scheduler runs the items of batch jobs at model engines, moves the
// engines to the versions of the weights that trainers name, and orders
// backend servers. One node at a time does this, as a duty.
package scheduler

import (
	"context"
	"time"

	"cactusspoke/internal/batch"
	"cactusspoke/internal/http1"
	"cactusspoke/internal/kv"
	"cactusspoke/internal/pool"
	"cactusspoke/internal/protocol"
	"cactusspoke/internal/routetable"
	"cactusspoke/internal/telemetry"

	"go.uber.org/zap"
)

const (
	// tick is how often the scheduler looks again without an event.
	tick = 50 * time.Millisecond
	// lookPause is the least time between two looks: each goes through all
	// items, and the end of an item takes longer than that anyway.
	lookPause = 8 * time.Millisecond
	// commitPause is the pause before a failed write is tried again.
	commitPause = 100 * time.Millisecond
	// mailboxSize bounds the events that wait for the loop.
	mailboxSize = 1024
	// refusedPause keeps an engine that refused an item from getting others.
	refusedPause = 120 * time.Millisecond
	// brokenPause keeps an engine that broke off from getting others.
	brokenPause = 700 * time.Millisecond
	// observeEvery is how often a run's speed is taken in.
	observeEvery = 200 * time.Millisecond
	// speedShare is the weight of a new measurement of an engine's speed.
	speedShare = 0.3
	// stashFor is how long the text of an ended job is kept for a later job
	// that asks for the same items.
	stashFor = 20 * time.Second
	// sweepEvery is how often it is looked at which jobs may be forgotten.
	sweepEvery = 5 * time.Second
	// sweepMargin is added to the time for which results can be read, since
	// clocks differ between instances.
	sweepMargin = 10 * time.Second
	// openFactor is how many times longer a job is kept that nobody ended.
	openFactor = 10
	// defaultDue orders jobs of routes that name no due time.
	defaultDue = 10 * time.Second
	// enginePriority is the priority at the engines of a job with priority 0;
	// 5 is what a request without one has. Carried-over groups get one better.
	enginePriority = 4
	// engineLowest is the lowest priority at the engines.
	engineLowest = 9
)

// Parts is what a scheduler works with.
type Parts struct {
	Headers       protocol.Headers
	View          *routetable.View
	Pool          *pool.Pool
	Backends      *http1.Client
	Ledger        *batch.JobStore
	Fence         func() kv.Condition
	Valid         func() bool
	Figures       *telemetry.Registry
	Log           *zap.Logger
	FailureDomain string
	JobStatus     time.Duration
}

type taskState int

const (
	taskWaiting taskState = iota
	taskRunning
	taskScoring
	taskDone
)

// task is an item that is to be done.
type task struct {
	job      *job
	item     *batch.Item
	state    taskState
	text     *text
	hint     int
	failures int
	carried  bool
	whole    bool
	// wholeAt is when the text became complete here.
	wholeAt time.Time
	// movingTo is the faster engine at which a stopped run is to go on.
	movingTo   string
	observedAt time.Time
	// saved is how many events of the text were kept in the store.
	saved  int
	cancel context.CancelFunc
	run    *run
}

// job is a batch job in progress.
type job struct {
	spec   *batch.Job
	due    time.Time
	until  time.Time
	tasks  []*task
	left   int
	single bool
	tries  int
	// priority is the route's or the customer's; 0 is the highest.
	priority int

	groups *groups
	// decisive says that a finished item lets the trainer go on.
	decisive bool
	// committed is the position of the next result.
	committed     int
	finished      []batch.Result
	finishedBytes int
	firstAt       time.Time
	committing    bool
	ended         bool
}

type stashed struct {
	text  *text
	path  string
	whole bool
	until time.Time
}

// Scheduler is the state of one term as the holder of the duty. All of it
// belongs to the goroutine of Run; other goroutines send it closures.
type Scheduler struct {
	Parts
	mailbox chan func()
	ctx     context.Context
	jobs    map[string]*job
	loading map[string]bool
	ended   map[string]bool
	records map[string]batch.Record
	speeds  *speeds
	stash   map[string]stashed
	saving  bool
	savedAt time.Time
	demand  *demand
	models  *demand
	sweptAt time.Time
}

// New returns the scheduler of a term, which ends with the context.
func New(ctx context.Context, parts Parts) *Scheduler {
	return &Scheduler{
		Parts: parts, ctx: ctx, mailbox: make(chan func(), mailboxSize), jobs: map[string]*job{}, loading: map[string]bool{},
		ended: map[string]bool{}, records: map[string]batch.Record{}, speeds: newSpeeds(), stash: map[string]stashed{},
		demand: &demand{peaks: map[string]peak{}}, models: &demand{peaks: map[string]peak{}},
	}
}

// post hands a closure to the loop.
func (s *Scheduler) post(f func()) {
	select {
	case s.mailbox <- f:
	case <-s.ctx.Done():
	}
}

// Run works until the context ends. What happens in quick succession, as when
// a large step begins, is looked at together.
func (s *Scheduler) Run(ctx context.Context) error {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	soon := time.NewTimer(lookPause)
	defer soon.Stop()
	var lookedAt time.Time
	for {
		select {
		case <-ctx.Done():
			s.handOver()
			return ctx.Err()
		case f := <-s.mailbox:
			f()
			for len(s.mailbox) > 0 {
				(<-s.mailbox)()
			}
		case <-ticker.C:
		case <-soon.C:
		}
		now := time.Now()
		if rest := lookPause - now.Sub(lookedAt); rest > 0 {
			soon.Reset(rest)
			continue
		}
		lookedAt = now
		s.schedule(now)
		s.commit(now)
		s.save(now)
		s.sweep(now)
	}
}

// Avoid keeps an engine from getting texts of a model until a time.
func (s *Scheduler) Avoid(server, model string, until time.Time) {
	s.post(func() { s.speeds.of(server).loads[model] = until })
}

// survey is what the texts show of engines and models.
type survey struct {
	speeds map[string]float64
	needs  map[string]need
}

// speed returns an engine's milliseconds an event.
func (s survey) speed(engine string) float64 {
	if speed, ok := s.speeds[engine]; ok {
		return speed
	}
	return firstSpeed
}

// Survey returns what the loop knows now; false if the context ended before.
func (s *Scheduler) Survey(ctx context.Context) (survey, bool) {
	out := make(chan survey, 1)
	s.post(func() { out <- s.lookAround(time.Now()) })
	select {
	case seen := <-out:
		return seen, true
	case <-ctx.Done():
		return survey{}, false
	}
}

func (s *Scheduler) lookAround(now time.Time) survey {
	seen := survey{speeds: map[string]float64{}, needs: map[string]need{}}
	for id := range s.speeds.engines {
		seen.speeds[id] = s.speeds.expected(id, now)
	}
	texts := map[string]int{}
	for _, j := range s.jobs {
		n := seen.needs[j.spec.Model]
		for _, t := range j.tasks {
			switch t.state {
			case taskWaiting:
				n.oldest = max(n.oldest, j.spec.MinVersion)
				n.starved = true
				texts[j.spec.Model]++
			case taskRunning:
				texts[j.spec.Model]++
			case taskScoring, taskDone:
			}
		}
		seen.needs[j.spec.Model] = n
	}
	for model, n := range texts {
		s.models.note(model, n, now)
	}
	for model, n := range s.models.all() {
		need := seen.needs[model]
		need.texts = n
		seen.needs[model] = need
	}
	return seen
}

// Kick makes the loop look again.
func (s *Scheduler) Kick() {
	select {
	case s.mailbox <- func() {}:
	default:
	}
}

func sleep(ctx context.Context, d time.Duration) { kv.Sleep(ctx, d) }
