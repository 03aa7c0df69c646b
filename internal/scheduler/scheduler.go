// Package scheduler runs the items of batch jobs on model engines, updates the
// engines to the weight versions that trainers request, and orders backend
// servers. One node at a time does this: the holder of the scheduler duty, an
// elected role with terms and a fencing token.
package scheduler

import (
	"context"
	"time"

	"cactusspoke/internal/batch"
	"cactusspoke/internal/http1"
	"cactusspoke/internal/kv"
	"cactusspoke/internal/load"
	"cactusspoke/internal/memory"
	"cactusspoke/internal/pool"
	"cactusspoke/internal/prefill"
	"cactusspoke/internal/protocol"
	"cactusspoke/internal/results"
	"cactusspoke/internal/routetable"
	"cactusspoke/internal/telemetry"
	"cactusspoke/internal/walltime"

	"go.uber.org/zap"
)

const (
	// loopInterval is the longest time between two passes of the loop.
	loopInterval = 50 * time.Millisecond
	// minPassInterval is the minimum time between two passes. Each pass visits all
	// items, and the end of an item takes longer than this interval anyway.
	minPassInterval = 8 * time.Millisecond
	// storeRetryDelay is the delay before a failed read or write of the store is
	// retried.
	storeRetryDelay = 100 * time.Millisecond
	// mailboxSize bounds the closures queued for the loop.
	mailboxSize = 1024
	// refusedBackoff is how long an engine that refused an item gets no others.
	refusedBackoff = 120 * time.Millisecond
	// interruptedBackoff is how long an engine whose stream broke off gets no
	// others.
	interruptedBackoff = 700 * time.Millisecond
	// latencySampleInterval is the time between two samples of a run's latency.
	latencySampleInterval = 200 * time.Millisecond
	// latencySmoothing is the weight of a new sample in moving averages of latency.
	latencySmoothing = 0.3
	// outputRetention is how long the output of an ended job is kept for a later
	// job with the same items.
	outputRetention = 20 * time.Second
	// sweepInterval is the time between checks for expired jobs.
	sweepInterval = 5 * time.Second
	// clockSkewMargin is added to the time for which results are readable, since
	// clocks differ between instances.
	clockSkewMargin = 10 * time.Second
	// openJobFactor is how many times longer a job is kept that was never ended.
	openJobFactor = 10
	// defaultDue is the due time after submission for routes that configure none.
	defaultDue = 10 * time.Second
	// defaultEnginePriority is the engine priority of a job with priority 0.
	// Engines give 5 to a request without one. Items of carried-over groups get a
	// priority one higher, which is one less in number.
	defaultEnginePriority = 4
	// lowestEnginePriority is the lowest priority that engines accept.
	lowestEnginePriority = 9
)

// Config holds the dependencies and settings of a scheduler.
type Config struct {
	Headers  protocol.Headers
	View     *routetable.View
	Pool     *pool.Pool
	Backends *http1.Client
	// DecodeLoad decodes the load header of servers; if it is nil, the header is ignored.
	DecodeLoad load.DecodeFunc
	Jobs       *batch.JobStore
	// Results holds the committed results, from which entry instances are answered. It is
	// optional.
	Results *results.Cache
	// Fence returns the condition that lets writes fail after another node has taken
	// over the duty.
	Fence func() kv.Condition
	// IsHolder reports whether this node still holds the duty.
	IsHolder      func() bool
	Metrics       *telemetry.Registry
	Log           *zap.Logger
	FailureDomain string
	// Regions is the region of each failure domain.
	Regions map[string]string
	Clock   *walltime.Clock
	// MaxItems limits the items of unfinished jobs in memory; the other jobs wait. 0 means no
	// limit.
	MaxItems int
	// MaxOutputBytes limits the outputs in memory that are not committed yet. 0 means no limit.
	MaxOutputBytes int64
	// JobRetention is how long after submission results are readable. Items are
	// tried for the same time unless their route sets another.
	JobRetention time.Duration
}

type taskState int

const (
	taskQueued taskState = iota
	taskRunning
	taskScoring
	taskDone
)

// task is the progress of one item.
type task struct {
	job            *job
	item           *batch.Item
	prompt         prefill.Prompt
	state          taskState
	output         *output
	expectedTokens int
	failures       int
	// timeouts counts the runs that were cut after some events since the next one took
	// too long.
	timeouts int
	// carried means that an earlier job produced output of the item.
	carried  bool
	complete bool
	// queuedAt is when the item last began to wait for an engine.
	queuedAt time.Time
	// postponedAt is when the item was first postponed because of prefill; zero if never.
	postponedAt time.Time
	// completedAt is when this scheduler had the complete output.
	completedAt time.Time
	// migratingTo is the faster engine on which a canceled run is to be resumed.
	migratingTo      string
	latencySampledAt time.Time
	// checkpointedEvents is the number of events in the last checkpoint.
	checkpointedEvents int
	cancel             context.CancelFunc
	run                *run
	// urgency and groupWork are those of the item's group in the last selection.
	urgency   urgency
	groupWork time.Duration
	// regions are those that the item may reach under the last configuration.
	regions routetable.RegionSet
	// preempted means that the run was canceled to free its slot.
	preempted bool
	// preemptions counts the runs that were preempted.
	preemptions int
}

// job is a batch job in progress.
type job struct {
	spec *batch.Job
	// path is that of the first item; the job has its route.
	path        string
	submittedAt time.Time
	// routeKnown means that the current configuration has the route. The fields up to priority
	// follow it; a job whose route is gone keeps them.
	routeKnown bool
	due        time.Time
	// dueConfigured means that the due time is the route's, not the default.
	dueConfigured bool
	// deadline is until when items are tried; engines get it with each request.
	deadline time.Time
	tasks    []*task
	// remaining counts the items without a committed result.
	remaining     int
	singleVersion bool
	// maxAttempts is how many failures of an item end its attempts; 0 while it is unknown.
	maxAttempts int
	// objective is the route's for the time to the first event; 0 if there is none.
	objective time.Duration
	// priority is the route's or the customer's; 0 is the highest.
	priority int

	groups *groupTracker
	// commitUrgency is the highest of the uncommitted results.
	commitUrgency commitUrgency
	// committed is the number of committed results, which is the position of the
	// next one.
	committed     int
	finished      []batch.Result
	finishedBytes int
	// committingBytes are those of the results that are being committed.
	committingBytes int
	// commitDelayFrom is when the wait for the next commit began.
	commitDelayFrom time.Time
	committing      bool
	ended           bool
}

// retainedOutput is the output of an item of an ended job.
type retainedOutput struct {
	output    *output
	path      string
	complete  bool
	expiresAt time.Time
}

// Scheduler holds the state of one term of the duty. All of it belongs to the
// goroutine of Run; other goroutines post closures to it.
type Scheduler struct {
	Config
	mailbox chan func()
	ctx     context.Context
	jobs    map[string]*job
	// loading holds the jobs that are being loaded or deleted.
	loading map[string]bool
	ended   map[string]bool
	records map[string]batch.Record
	backlog *backlog
	// unconfigured are the loaded jobs that wait for their configuration.
	unconfigured []loadedJob
	// appliedTable is the configuration that the jobs in progress follow.
	appliedTable *routetable.Table
	// outputs limits the outputs that are not committed yet; see outputmemory.go.
	outputs          *memory.Budget
	outputsCountedAt time.Time
	// maxOutput is the maximum length of an output in bytes; 0 means no limit.
	maxOutput      int
	latencies      *latencyTracker
	prefills       *prefill.Tracker
	retained       map[string]retainedOutput
	checkpointing  bool
	checkpointedAt time.Time
	// servicePeaks holds the items by service, modelPeaks the milliseconds of work by model.
	servicePeaks *peakTracker
	modelPeaks   *peakTracker
	sweptAt      time.Time
	lengths      lengthModel
	// onTimeShare is the recent share of groups that were complete in time, by model.
	onTimeShare map[string]float64
	selectedAt  time.Time
	reports     loadReports
}

// New returns the scheduler for one term, which ends with the context.
func New(ctx context.Context, config Config) *Scheduler {
	if config.Results == nil {
		config.Results = results.NewCache(0)
	}
	maxOutput := 0
	if config.Jobs != nil {
		maxOutput = config.Jobs.MaxResultBytes()
	}
	return &Scheduler{
		Config: config, maxOutput: maxOutput, ctx: ctx, mailbox: make(chan func(), mailboxSize), jobs: map[string]*job{}, loading: map[string]bool{},
		ended: map[string]bool{}, records: map[string]batch.Record{}, backlog: newBacklog(config.MaxItems), outputs: memory.NewBudget(config.MaxOutputBytes), latencies: newLatencyTracker(), prefills: prefill.NewTracker(), retained: map[string]retainedOutput{}, onTimeShare: map[string]float64{},
		servicePeaks: &peakTracker{peaks: map[string]peak{}}, modelPeaks: &peakTracker{peaks: map[string]peak{}},
	}
}

// post queues a closure for the loop.
func (s *Scheduler) post(f func()) {
	select {
	case s.mailbox <- f:
	case <-s.ctx.Done():
	}
}

// Run schedules until the context ends. Events in quick succession, as at the
// start of a large step, are handled in one pass.
func (s *Scheduler) Run(ctx context.Context) error {
	ticker := time.NewTicker(loopInterval)
	defer ticker.Stop()
	passTimer := time.NewTimer(minPassInterval)
	defer passTimer.Stop()
	var lastPass time.Time
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
		case <-passTimer.C:
		}
		now := time.Now()
		if rest := minPassInterval - now.Sub(lastPass); rest > 0 {
			passTimer.Reset(rest)
			continue
		}
		lastPass = now
		s.countOutputs(now)
		s.applyConfiguration()
		s.schedule(now)
		s.commitFinished(now)
		s.checkpoint(now)
		s.removeExpiredJobs(now)
	}
}

// Avoid withholds items of a model from an engine until the given time.
func (s *Scheduler) Avoid(server, model string, until time.Time) {
	s.post(func() { s.latencies.get(server).loadingUntil[model] = until })
}

// stats holds the engine latencies and the demand for each model.
type stats struct {
	latencies map[string]float64
	demand    map[string]modelDemand
}

// msPerEvent returns the expected latency per event of an engine in
// milliseconds.
func (s stats) msPerEvent(engine string) float64 {
	if msPerEvent, ok := s.latencies[engine]; ok {
		return msPerEvent
	}
	return defaultMsPerEvent
}

// Stats returns the current statistics, or false if the context ended first.
func (s *Scheduler) Stats(ctx context.Context) (stats, bool) {
	out := make(chan stats, 1)
	s.post(func() { out <- s.collectStats(time.Now()) })
	select {
	case collected := <-out:
		return collected, true
	case <-ctx.Done():
		return stats{}, false
	}
}

// collectStats computes the statistics; it must run in the loop.
func (s *Scheduler) collectStats(now time.Time) stats {
	collected := stats{latencies: map[string]float64{}, demand: map[string]modelDemand{}}
	for id := range s.latencies.engines {
		collected.latencies[id] = s.latencies.expectedDuringRun(id, now)
	}
	work := map[string]time.Duration{}
	for _, j := range s.jobs {
		d := collected.demand[j.spec.Model]
		for _, t := range j.tasks {
			if t.state != taskQueued && t.state != taskRunning {
				continue
			}
			remaining := s.remainingTime(t)
			work[j.spec.Model] += remaining
			if t.state == taskRunning {
				continue
			}
			d.requiredVersion = max(d.requiredVersion, j.spec.MinVersion)
			if !d.hasQueued {
				d.hasQueued, d.slack = true, maxLoadSlack
			}
			if t.urgency == urgencyNeeded {
				d.slack = min(d.slack, j.due.Add(-remaining).Sub(now))
			}
		}
		collected.demand[j.spec.Model] = d
	}
	for model, w := range work {
		s.modelPeaks.record(model, int(w.Milliseconds()), now)
	}
	for model, ms := range s.modelPeaks.all() {
		d := collected.demand[model]
		d.peakWork = time.Duration(ms) * time.Millisecond
		collected.demand[model] = d
	}
	return collected
}

// Wake triggers a pass of the loop.
func (s *Scheduler) Wake() {
	select {
	case s.mailbox <- func() {}:
	default:
	}
}

// sleep waits for a duration or the end of the context.
func sleep(ctx context.Context, d time.Duration) { kv.Sleep(ctx, d) }
