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
	// loopInterval is how often the scheduler looks again without an event.
	loopInterval = 50 * time.Millisecond
	// minPassInterval is the least time between two looks: each goes through all
	// items, and the end of an item takes longer than that anyway.
	minPassInterval = 8 * time.Millisecond
	// storeRetryDelay is the pause before a failed write is tried again.
	storeRetryDelay = 100 * time.Millisecond
	// mailboxSize bounds the events that wait for the loop.
	mailboxSize = 1024
	// refusedBackoff keeps an engine that refused an item from getting others.
	refusedBackoff = 120 * time.Millisecond
	// interruptedBackoff keeps an engine that broke off from getting others.
	interruptedBackoff = 700 * time.Millisecond
	// latencySampleInterval is how often a run's speed is taken in.
	latencySampleInterval = 200 * time.Millisecond
	// latencySmoothing is the weight of a new measurement of an engine's speed.
	latencySmoothing = 0.3
	// outputRetention is how long the text of an ended job is kept for a later job
	// that asks for the same items.
	outputRetention = 20 * time.Second
	// sweepInterval is how often it is looked at which jobs may be forgotten.
	sweepInterval = 5 * time.Second
	// clockSkewMargin is added to the time for which results can be read, since
	// clocks differ between instances.
	clockSkewMargin = 10 * time.Second
	// openJobFactor is how many times longer a job is kept that nobody ended.
	openJobFactor = 10
	// defaultDue orders jobs of routes that name no due time.
	defaultDue = 10 * time.Second
	// defaultEnginePriority is the priority at the engines of a job with priority 0;
	// 5 is what a request without one has. Carried-over groups get one better.
	defaultEnginePriority = 4
	// lowestEnginePriority is the lowest priority at the engines.
	lowestEnginePriority = 9
)

// Parts is what a scheduler works with.
type Parts struct {
	Headers       protocol.Headers
	View          *routetable.View
	Pool          *pool.Pool
	Backends      *http1.Client
	Ledger        *batch.Ledger
	Fence         func() kv.Condition
	Valid         func() bool
	Figures       *telemetry.Set
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
	job            *job
	item           *batch.Item
	state          taskState
	output         *output
	expectedTokens int
	failures       int
	carried        bool
	complete       bool
	// completedAt is when the text became complete here.
	completedAt time.Time
	// migratingTo is the faster engine at which a stopped run is to go on.
	migratingTo      string
	latencySampledAt time.Time
	// checkpointedEvents is how many events of the text were kept in the store.
	checkpointedEvents int
	cancel             context.CancelFunc
	run                *run
}

// job is a batch job in progress.
type job struct {
	spec          *batch.Job
	due           time.Time
	deadline      time.Time
	tasks         []*task
	remaining     int
	singleVersion bool
	maxAttempts   int
	// priority is the route's or the customer's; 0 is the highest.
	priority int

	groups *groupTracker
	// unblocksTrainer says that a finished item lets the trainer go on.
	unblocksTrainer bool
	// committed is the position of the next result.
	committed       int
	finished        []batch.Result
	finishedBytes   int
	commitDelayFrom time.Time
	committing      bool
	ended           bool
}

type retainedOutput struct {
	output    *output
	path      string
	complete  bool
	expiresAt time.Time
}

// Scheduler is the state of one term as the holder of the duty. All of it
// belongs to the goroutine of Run; other goroutines send it closures.
type Scheduler struct {
	Parts
	mailbox        chan func()
	ctx            context.Context
	jobs           map[string]*job
	loading        map[string]bool
	ended          map[string]bool
	records        map[string]batch.Record
	latencies      *latencyTracker
	retained       map[string]retainedOutput
	checkpointing  bool
	checkpointedAt time.Time
	servicePeaks   *peakTracker
	modelPeaks     *peakTracker
	sweptAt        time.Time
}

// New returns the scheduler of a term, which ends with the context.
func New(ctx context.Context, parts Parts) *Scheduler {
	return &Scheduler{
		Parts: parts, ctx: ctx, mailbox: make(chan func(), mailboxSize), jobs: map[string]*job{}, loading: map[string]bool{},
		ended: map[string]bool{}, records: map[string]batch.Record{}, latencies: newLatencyTracker(), retained: map[string]retainedOutput{},
		servicePeaks: &peakTracker{peaks: map[string]peak{}}, modelPeaks: &peakTracker{peaks: map[string]peak{}},
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
	ticker := time.NewTicker(loopInterval)
	defer ticker.Stop()
	soon := time.NewTimer(minPassInterval)
	defer soon.Stop()
	var lookedAt time.Time
	for {
		select {
		case <-ctx.Done():
			s.finalCheckpoint()
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
		if rest := minPassInterval - now.Sub(lookedAt); rest > 0 {
			soon.Reset(rest)
			continue
		}
		lookedAt = now
		s.schedule(now)
		s.commitFinished(now)
		s.checkpoint(now)
		s.removeExpiredJobs(now)
	}
}

// Avoid keeps an engine from getting texts of a model until a time.
func (s *Scheduler) Avoid(server, model string, until time.Time) {
	s.post(func() { s.latencies.get(server).loadingUntil[model] = until })
}

// stats is what the texts show of engines and models.
type stats struct {
	latencies map[string]float64
	demand    map[string]modelDemand
}

// msPerEvent returns an engine's milliseconds an event.
func (s stats) msPerEvent(engine string) float64 {
	if speed, ok := s.latencies[engine]; ok {
		return speed
	}
	return defaultMsPerEvent
}

// Stats returns what the loop knows now; false if the context ended before.
func (s *Scheduler) Stats(ctx context.Context) (stats, bool) {
	out := make(chan stats, 1)
	s.post(func() { out <- s.collectStats(time.Now()) })
	select {
	case seen := <-out:
		return seen, true
	case <-ctx.Done():
		return stats{}, false
	}
}

func (s *Scheduler) collectStats(now time.Time) stats {
	seen := stats{latencies: map[string]float64{}, demand: map[string]modelDemand{}}
	for id := range s.latencies.engines {
		seen.latencies[id] = s.latencies.expected(id, now)
	}
	texts := map[string]int{}
	for _, j := range s.jobs {
		n := seen.demand[j.spec.Model]
		for _, t := range j.tasks {
			switch t.state {
			case taskWaiting:
				n.requiredVersion = max(n.requiredVersion, j.spec.MinVersion)
				n.hasQueued = true
				texts[j.spec.Model]++
			case taskRunning:
				texts[j.spec.Model]++
			case taskScoring, taskDone:
			}
		}
		seen.demand[j.spec.Model] = n
	}
	for model, n := range texts {
		s.modelPeaks.record(model, n, now)
	}
	for model, n := range s.modelPeaks.all() {
		need := seen.demand[model]
		need.peakItems = n
		seen.demand[model] = need
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
