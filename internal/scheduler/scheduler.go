// Package scheduler runs the items of batch jobs at model engines, moves the
// engines to the versions of the weights that trainers name, and orders
// backend servers. One node at a time does this, as a duty.
package scheduler

import (
	"cmp"
	"context"
	"errors"
	"math"
	"net/http"
	"slices"
	"strconv"
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
	// commitEvery is how long finished items are gathered before they are
	// written: each write is paid for, and trainers read twice a second.
	commitEvery = 150 * time.Millisecond
	// commitPause is the pause before a failed write is tried again.
	commitPause = 100 * time.Millisecond
	// commitBytes bounds one write of results.
	commitBytes = 500 << 10
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
	Ledger        *batch.Ledger
	Store         kv.Store
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
	job      *job
	item     *batch.Item
	state    taskState
	text     *text
	hint     int
	failures int
	carried  bool
	whole    bool
	// moving tasks were stopped to go on at a faster engine.
	moving     bool
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

	// committed is the position of the next result.
	committed  int
	finished   []batch.Result
	firstAt    time.Time
	committing bool
	ended      bool
}

// engine is what runs have shown of a model engine.
type engine struct {
	speed      float64
	measuredAt time.Time
	coldUntil  time.Time
}

// measure notes the milliseconds an event that a run takes.
func (e *engine) measure(now time.Time, speed float64) {
	e.speed = e.expected(now)
	e.speed += speedShare * (speed - e.speed)
	e.measuredAt = now
}

// expected returns the milliseconds an event that a new run will take.
func (e *engine) expected(now time.Time) float64 {
	weight := math.Exp(-float64(now.Sub(e.measuredAt)) / float64(speedMemory))
	return firstSpeed + (e.speed-firstSpeed)*weight
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
	engines map[string]*engine
	stash   map[string]stashed
	saving  bool
	savedAt time.Time
	demand  *demand
}

// New returns the scheduler of a term, which ends with the context.
func New(ctx context.Context, parts Parts) *Scheduler {
	return &Scheduler{
		Parts: parts, ctx: ctx, mailbox: make(chan func(), mailboxSize), jobs: map[string]*job{}, loading: map[string]bool{},
		ended: map[string]bool{}, records: map[string]batch.Record{}, engines: map[string]*engine{}, stash: map[string]stashed{},
		demand: &demand{peaks: map[string]peak{}},
	}
}

// post hands a closure to the loop.
func (s *Scheduler) post(f func()) {
	select {
	case s.mailbox <- f:
	case <-s.ctx.Done():
	}
}

// Run works until the context ends.
func (s *Scheduler) Run(ctx context.Context) error {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
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
		}
		s.schedule(time.Now())
		s.commit(time.Now())
		s.save(time.Now())
	}
}

// Avoid keeps an engine from getting texts until a time.
func (s *Scheduler) Avoid(server string, until time.Time) {
	s.post(func() { s.engine(server).coldUntil = until })
}

// Kick makes the loop look again.
func (s *Scheduler) Kick() {
	select {
	case s.mailbox <- func() {}:
	default:
	}
}

// JobView returns the view that follows accepted and ended jobs.
func (s *Scheduler) JobView() kv.View { return jobView{s} }

type jobView struct{ s *Scheduler }

func (v jobView) Reset(items []kv.Item) { v.Apply(items) }

func (v jobView) Apply(items []kv.Item) {
	for _, item := range items {
		e, err := batch.DecodeEvent(item)
		if err != nil {
			v.s.Log.Error("job: unreadable record ignored", zap.String("key", item.Key), zap.String("reason", err.Error()))
			continue
		}
		v.s.post(func() { v.s.take(e) })
	}
}

func (v jobView) Reachable(bool) {}

// take notes what happened to a job.
func (s *Scheduler) take(e batch.Event) {
	switch {
	case e.Gone:
		delete(s.records, e.ID)
		delete(s.ended, e.ID)
	case e.Ended:
		s.ended[e.ID] = true
		s.end(e.ID)
	case e.Record.ID != "":
		s.records[e.ID] = e.Record
		if !s.loading[e.ID] && s.jobs[e.ID] == nil {
			s.loading[e.ID] = true
			// The mark of an end may follow in the same list of keys.
			go func() { s.post(func() { s.open(e.Record) }) }()
		}
	}
}

func (s *Scheduler) open(r batch.Record) {
	if s.ended[r.ID] {
		delete(s.loading, r.ID)
		return
	}
	go s.load(r)
}

// load reads a job and what was committed of it, until it succeeds.
func (s *Scheduler) load(r batch.Record) {
	for s.ctx.Err() == nil {
		spec, err := s.Ledger.Load(s.ctx, r.ID)
		var results []batch.Result
		if err == nil {
			results, err = s.Ledger.Committed(s.ctx, r.ID, r.Customer)
		}
		var partials map[string]batch.Partial
		if err == nil && len(results) > 0 {
			partials, err = s.Ledger.Partials(s.ctx, r.ID)
		}
		if err == nil {
			s.post(func() { s.start(spec, results, partials) })
			return
		}
		s.Log.Warn("job: not loaded yet", zap.String("id", r.ID), zap.String("reason", err.Error()))
		if errors.Is(err, batch.ErrUnknownJob) {
			return
		}
		sleep(s.ctx, commitPause)
	}
}

// start begins with a job.
func (s *Scheduler) start(spec *batch.Job, results []batch.Result, partials map[string]batch.Partial) {
	delete(s.loading, spec.ID)
	if s.ended[spec.ID] || s.jobs[spec.ID] != nil {
		return
	}
	submitted := time.UnixMilli(spec.SubmittedAt)
	j := &job{spec: spec, due: submitted.Add(defaultDue), until: submitted.Add(s.JobStatus), committed: len(results), tries: 1}
	if route, ok := s.View.Table().Match(spec.Host, spec.Items[0].Path); ok {
		if route.Due > 0 {
			j.due = submitted.Add(route.Due)
		}
		if route.Retain > 0 {
			j.until = submitted.Add(route.Retain)
		}
		j.single = route.SingleVersion
		j.tries = route.MaxAttempts
		j.priority = s.View.Table().Priority(route, spec.Customer)
	}
	done := map[string]bool{}
	for _, r := range results {
		done[r.ID] = true
	}
	for i := range spec.Items {
		if !done[spec.Items[i].ID] {
			j.tasks = append(j.tasks, s.newTask(j, &spec.Items[i]))
		}
	}
	for _, t := range j.tasks {
		if p, ok := partials[t.item.ID]; ok && p.Events > t.text.events {
			t.text = &text{data: p.Text, events: p.Events, versions: p.Versions, version: p.Version}
			t.saved = p.Events
		}
	}
	j.left = len(j.tasks)
	s.jobs[spec.ID] = j
	s.Log.Info("job: begun", zap.String("id", spec.ID), zap.Int("items", len(spec.Items)), zap.Int("left", j.left),
		zap.Duration("age", time.Since(submitted)))
	for _, t := range j.tasks {
		if t.whole {
			s.finishText(t)
		}
	}
}

func (s *Scheduler) newTask(j *job, item *batch.Item) *task {
	t := &task{job: j, item: item, text: &text{}, hint: s.hintOf(item)}
	kept, ok := s.stash[item.ID]
	if !ok || kept.path != item.Path || time.Now().After(kept.until) {
		return t
	}
	t.carried = true
	for _, v := range kept.text.versions {
		if v < j.spec.MinVersion {
			return t
		}
	}
	if j.single && len(kept.text.versions) > 1 {
		return t
	}
	t.text = kept.text.clone()
	t.whole = kept.whole
	return t
}

// hintOf returns the expected number of tokens of an item's text.
func (s *Scheduler) hintOf(item *batch.Item) int {
	for _, h := range item.Headers {
		if http.CanonicalHeaderKey(h.Name) == http.CanonicalHeaderKey(s.Headers.LengthHint) {
			if n, err := strconv.ParseFloat(h.Value, 64); err == nil {
				return int(n)
			}
		}
	}
	return item.Tokens
}

// end stops all work for a job and keeps the texts for a later one.
func (s *Scheduler) end(id string) {
	j := s.jobs[id]
	if j == nil {
		return
	}
	j.ended = true
	delete(s.jobs, id)
	waiting, running := 0, 0
	for _, t := range j.tasks {
		switch t.state {
		case taskWaiting:
			waiting++
		case taskRunning, taskScoring:
			running++
		case taskDone:
			continue
		}
		if t.cancel != nil {
			t.cancel()
		}
		if t.state != taskRunning {
			s.keep(t)
		}
	}
	s.Log.Info("job: ended", zap.String("id", id), zap.Int("committed", j.committed), zap.Int("waiting", waiting), zap.Int("running", running))
}

// keep stashes the text of an item for a later job.
func (s *Scheduler) keep(t *task) {
	now := time.Now()
	for id, kept := range s.stash {
		if now.After(kept.until) {
			delete(s.stash, id)
		}
	}
	s.stash[t.item.ID] = stashed{t.text, t.item.Path, t.whole, now.Add(stashFor)}
}

// schedule puts waiting texts at engines with room.
func (s *Scheduler) schedule(now time.Time) {
	table := s.View.Table()
	if table == nil {
		return
	}
	byService := map[string][]waiting{}
	var tasks []*task
	running := map[string][]*task{}
	for _, j := range s.jobs {
		for _, t := range j.tasks {
			if t.state != taskWaiting && t.state != taskRunning {
				continue
			}
			route, ok := table.Match(j.spec.Host, t.item.Path)
			if !ok {
				continue
			}
			service := route.Pick(0.5)
			if t.state == taskRunning {
				running[service] = append(running[service], t)
				continue
			}
			byService[service] = append(byService[service], waiting{
				index: len(tasks), priority: j.priority, due: j.due, carried: t.carried, left: t.hint, min: j.spec.MinVersion,
			})
			tasks = append(tasks, t)
		}
	}
	for service, list := range running {
		s.demand.note(service, len(list)+len(byService[service]), now)
	}
	for service, texts := range byService {
		if len(running[service]) == 0 {
			s.demand.note(service, len(texts), now)
		}
		rank(texts)
		s.startAll(tasks, texts, service, now)
	}
	for service, list := range running {
		s.observe(list, now)
		if len(byService[service]) == 0 {
			s.move(list, service, now)
		}
	}
}

// observe takes in how fast the running texts are made.
func (s *Scheduler) observe(running []*task, now time.Time) {
	for _, t := range running {
		if speed := t.run.speed(now); speed > 0 && now.Sub(t.observedAt) >= observeEvery {
			t.observedAt = now
			s.engine(t.run.server.ID).measure(now, speed)
		}
	}
}

// move ends runs at slow engines where a faster one has room; their texts go
// on there.
func (s *Scheduler) move(running []*task, service string, now time.Time) {
	servers := s.Pool.Servers(service)
	byModel := map[string][]place{}
	slices.SortStableFunc(running, func(a, b *task) int { return cmp.Compare(a.job.priority, b.job.priority) })
	for _, t := range running {
		speed := t.run.speed(now)
		if speed == 0 || t.moving {
			continue
		}
		model := t.job.spec.Model
		if _, ok := byModel[model]; !ok {
			byModel[model] = s.places(servers, model, now)
		}
		i, ok := better(speed, t.run.before+int(t.run.made.Load()), t.run.server.ID, t.job.spec.MinVersion, byModel[model])
		if !ok {
			continue
		}
		to := byModel[model][i]
		s.Log.Info("item: moved to a faster engine", zap.String("id", t.item.ID), zap.String("job", t.job.spec.ID), zap.String("server", t.run.server.ID),
			zap.Float64("speed", speed), zap.String("to", to.id), zap.Float64("expected", to.speed))
		for _, list := range byModel {
			occupy(list, to.id)
		}
		t.moving = true
		t.cancel()
	}
}

func (s *Scheduler) startAll(tasks []*task, texts []waiting, service string, now time.Time) {
	servers := s.Pool.Servers(service)
	byModel := map[string][]place{}
	for _, text := range texts {
		model := tasks[text.index].job.spec.Model
		if _, ok := byModel[model]; !ok {
			byModel[model] = s.places(servers, model, now)
		}
		for _, a := range assign([]waiting{text}, byModel[model]) {
			s.begin(tasks[a.index], a.server)
			for other, list := range byModel {
				if other != model {
					occupy(list, a.server)
				}
			}
		}
	}
}

func occupy(places []place, server string) {
	for i := range places {
		if places[i].id == server {
			places[i].free--
			places[i].running++
		}
	}
}

// places returns the engines with room for a model's texts.
func (s *Scheduler) places(servers []pool.Snapshot, model string, now time.Time) []place {
	var out []place
	for _, snapshot := range servers {
		e := s.engine(snapshot.Server.ID)
		if snapshot.Server.Draining || snapshot.Ejected || now.Before(e.coldUntil) {
			continue
		}
		out = append(out, place{
			id: snapshot.Server.ID, free: max(1, snapshot.Server.Slots) - snapshot.Running, running: snapshot.Running,
			version: snapshot.Server.Models[model], speed: e.expected(now),
		})
	}
	return out
}

func (s *Scheduler) engine(id string) *engine {
	e, ok := s.engines[id]
	if !ok {
		e = &engine{speed: firstSpeed}
		s.engines[id] = e
	}
	return e
}

// begin runs a task at a server.
func (s *Scheduler) begin(t *task, server string) {
	handle, ok := s.Pool.TakeServer(server)
	if !ok {
		return
	}
	ctx, cancel := context.WithCancel(s.ctx)
	t.state = taskRunning
	t.cancel = cancel
	t.run = &run{
		headers: s.Headers, client: s.Backends, job: t.job.spec, item: t.item, server: handle.Server(),
		until: t.job.until, priority: min(engineLowest, enginePriority+t.job.priority), single: t.job.single, text: t.text, before: t.text.events,
	}
	if t.carried {
		t.run.priority--
	}
	s.Log.Info("item: placed", zap.String("id", t.item.ID), zap.String("job", t.job.spec.ID), zap.String("server", handle.Server().ID),
		zap.Int64("version", handle.Server().Models[t.job.spec.Model]), zap.Int("events", t.text.events), zap.Int("hint", t.hint),
		zap.Bool("carried", t.carried), zap.Duration("until-due", time.Until(t.job.due)))
	r := t.run
	go func() {
		o := r.do(ctx)
		cancel()
		s.post(func() { s.ran(t, r, handle, o) })
	}()
}

// ran takes in the end of a run.
func (s *Scheduler) ran(t *task, r *run, handle *pool.Handle, o outcome) {
	e := s.engine(handle.Server().ID)
	now := time.Now()
	s.Figures.Count("runs_total", "outcome", o.String())
	t.state = taskWaiting
	t.run = nil
	t.moving = false
	if o != outcomeWhole && o != outcomeStopped {
		s.Log.Info("item: run ended", zap.String("id", t.item.ID), zap.String("job", t.job.spec.ID), zap.String("server", handle.Server().ID),
			zap.Stringer("outcome", o), zap.String("reason", r.reason), zap.Int("events", t.text.events))
	}
	switch o {
	case outcomeWhole:
		handle.Done(pool.Served)
		t.whole = true
	case outcomeBroken:
		handle.Done(pool.Failed)
		e.coldUntil = now.Add(brokenPause)
	case outcomeNotRun:
		handle.Done(pool.Abandoned)
		e.coldUntil = now.Add(refusedPause)
	case outcomeStale:
		handle.Done(pool.Abandoned)
		e.coldUntil = now.Add(refusedPause)
	case outcomeMoved:
		handle.Done(pool.Misaddressed)
	case outcomeFailed, outcomeInvalid:
		handle.Done(pool.Abandoned)
		t.failures++
	case outcomeStopped:
		handle.Done(pool.Abandoned)
	}
	if t.job.ended {
		s.keep(t)
		return
	}
	switch {
	case t.whole:
		s.finishText(t)
	case o == outcomeInvalid || t.failures >= t.job.tries:
		s.Log.Info("item: given up", zap.String("id", t.item.ID), zap.String("job", t.job.spec.ID), zap.Stringer("outcome", o), zap.Int("failures", t.failures))
		s.finish(t, batch.Result{ID: t.item.ID})
	}
}

// finishText scores a whole text, or finishes an item without a reward call.
func (s *Scheduler) finishText(t *task) {
	result := batch.Result{ID: t.item.ID, Completed: true, Text: string(t.text.data), Versions: t.text.versions}
	if t.item.Reward == nil {
		s.finish(t, result)
		return
	}
	ctx, cancel := context.WithCancel(s.ctx)
	t.state = taskScoring
	t.cancel = cancel
	go func() {
		seal, ok := s.score(ctx, t.item.Reward)
		ended := ctx.Err() != nil && !ok
		cancel()
		s.post(func() {
			if t.job.ended || ended {
				return
			}
			result.Score = seal
			if !ok {
				s.Log.Info("item: given up, its reward call failed for good", zap.String("id", t.item.ID),
					zap.String("job", t.job.spec.ID), zap.String("reward", t.item.Reward.ID))
				result = batch.Result{ID: t.item.ID}
			}
			s.finish(t, result)
		})
	}()
}

func (s *Scheduler) finish(t *task, r batch.Result) {
	t.state = taskDone
	t.cancel = nil
	if len(t.job.finished) == 0 {
		t.job.firstAt = time.Now()
	}
	t.job.finished = append(t.job.finished, r)
	t.text = nil
}

// commit writes the finished items of each job that is due for it.
func (s *Scheduler) commit(now time.Time) {
	for _, j := range s.jobs {
		if j.committing || len(j.finished) == 0 {
			continue
		}
		if now.Sub(j.firstAt) < commitEvery && len(j.finished) < j.left {
			continue
		}
		size, n := 0, 0
		for n < len(j.finished) && (n == 0 || size < commitBytes) {
			size += len(j.finished[n].Text) + 200
			n++
		}
		batch := j.finished[:n:n]
		j.finished = j.finished[n:]
		j.firstAt = now
		j.committing = true
		go s.write(j, j.committed, batch)
	}
}

// write tries one commit until its outcome is known.
func (s *Scheduler) write(j *job, position int, results []batch.Result) {
	for s.ctx.Err() == nil {
		err := s.Ledger.Append(s.ctx, s.Fence(), j.spec.Record(), position, results)
		if err == nil {
			s.Log.Info("job: results committed", zap.String("id", j.spec.ID), zap.Int("position", position), zap.Int("results", len(results)))
			s.post(func() {
				j.committing = false
				j.committed += len(results)
				j.left -= len(results)
				if j.left == 0 {
					s.Log.Info("job: all results committed", zap.String("id", j.spec.ID),
						zap.Duration("age", time.Since(time.UnixMilli(j.spec.SubmittedAt))))
				}
			})
			return
		}
		s.Log.Warn("job: results not committed yet", zap.String("id", j.spec.ID), zap.Int("position", position),
			zap.String("reason", err.Error()))
		sleep(s.ctx, commitPause)
	}
}

func sleep(ctx context.Context, d time.Duration) { kv.Sleep(ctx, d) }
