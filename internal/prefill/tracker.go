package prefill

import (
	"sync"
	"time"
)

const (
	// shareSmoothing is the weight of one request in the share of short prompts.
	shareSmoothing = 0.05
	// maxEngines bounds the engines that are remembered, and retention is how long an unused
	// one is kept beyond that.
	maxEngines = 1024
	retention  = time.Minute
)

// Tracker holds the prompts that this process has sent to engines and that have no event yet,
// and how fast engines prefill. It is safe for concurrent use.
type Tracker struct {
	mu      sync.Mutex
	engines map[string]*engine
	// shortShare is the recent share of requests whose prompts endanger no other request.
	shortShare float64
	// shortSeen is the same share, but 0 instead of 1 until requests were seen.
	shortSeen float64
	// speed is the mean speed of the engines that were measured, or the default.
	speed float64
}

// NewTracker returns a tracker of engines that are not known yet.
func NewTracker() *Tracker {
	return &Tracker{engines: map[string]*engine{}, shortShare: 1, speed: defaultSpeed}
}

// Estimate is the expected time to the first event of a request at an engine.
type Estimate struct {
	// Wait is the time for the prompts in progress, Own that for its own prompt.
	Wait, Own time.Duration
}

// total returns the expected time until the request's own prompt is prefilled.
func (e Estimate) total() time.Duration { return e.Wait + e.Own }

// Estimates returns what to expect of each engine for a request, and the recent share of
// short prompts. weights names the state of the weights at each engine.
func (t *Tracker) Estimates(p Prompt, engines []string, weights []int64, now time.Time) (estimates []Estimate, shortShare float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	estimates = make([]Estimate, len(engines))
	for i, id := range engines {
		e, ok := t.engines[id]
		if !ok {
			estimates[i].Own = time.Duration(float64(p.Tokens) / t.speed * float64(time.Millisecond))
			continue
		}
		e.assume(t.speed)
		estimates[i] = Estimate{Wait: e.wait(now), Own: e.duration(e.work(p, weights[i]))}
	}
	return estimates, t.shortShare
}

// ShortSeen returns the recent share of short prompts; it is 0 at first, and as long as all
// prompts are long.
func (t *Tracker) ShortSeen() float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.shortSeen
}

// Outlook summarizes what to expect of all engines, so that most requests need no estimates.
type Outlook struct {
	// wait is the longest wait at any engine, speed the lowest of all.
	wait  time.Duration
	speed float64
}

// Outlook returns the current summary.
func (t *Tracker) Outlook(now time.Time) Outlook {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := Outlook{speed: t.speed}
	for _, e := range t.engines {
		e.assume(t.speed)
		out.speed = min(out.speed, e.speed)
		out.wait = max(out.wait, e.wait(now))
	}
	return out
}

// Relevant reports whether the prefill of a request, or the work in progress at any engine,
// can make a request with an objective miss it. It is false for requests that state nothing.
func (o Outlook) Relevant(p Prompt, objective time.Duration) bool {
	if objective <= 0 || p.Tokens == 0 {
		return false
	}
	own := time.Duration(float64(p.Tokens) / o.speed * float64(time.Millisecond))
	return endangers(o.wait+own, objective)
}

// Running is a request without an event yet.
type Running struct {
	tracker *Tracker
	engine  *engine
	prompt  Prompt
	weights int64
	tokens  int
	begunAt time.Time
	// alone means that no other prompt of this process was in progress when it began.
	alone bool
	done  bool
	// took is the time to the first event; 0 if there was none.
	took time.Duration
	// long means that the prompt endangers the objective of those that follow it.
	long bool
}

// Begin records that a request is sent to an engine. It returns nil for one that states
// nothing; the methods of a nil Running do nothing.
func (t *Tracker) Begin(id string, p Prompt, weights int64, objective time.Duration, now time.Time) *Running {
	if p.Tokens == 0 {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.engines[id]
	if !ok {
		t.removeUnused(now)
		e = newEngine(t.speed)
		t.engines[id] = e
	}
	r := &Running{tracker: t, engine: e, prompt: p, weights: weights, tokens: e.work(p, weights), begunAt: now, alone: e.tokens == 0}
	e.begin(r, r.tokens, now)
	short := 1.0
	if endangers(e.duration(r.tokens), objective) {
		short, r.long = 0, true
	}
	t.shortShare += shareSmoothing * (short - t.shortShare)
	t.shortSeen += shareSmoothing * (short - t.shortSeen)
	return r
}

// removeUnused forgets engines that were not used lately once there are many; the caller
// holds mu.
func (t *Tracker) removeUnused(now time.Time) {
	if len(t.engines) < maxEngines {
		return
	}
	for id, e := range t.engines {
		if len(e.pending) == 0 && now.Sub(e.usedAt) > retention {
			delete(t.engines, id)
		}
	}
}

// FirstEvent records the first event of the request. Later calls do nothing.
func (r *Running) FirstEvent(now time.Time) {
	if r == nil {
		return
	}
	r.tracker.mu.Lock()
	defer r.tracker.mu.Unlock()
	if r.done {
		return
	}
	r.done = true
	r.took = now.Sub(r.begunAt)
	r.engine.end(r, now)
	r.engine.remember(r.prompt, r.weights)
	if r.alone && r.engine.learn(r.tokens, now.Sub(r.begunAt)) {
		r.tracker.averageSpeed()
	}
}

// Result returns the time to the first event and the kind of the prompt: "long" if it endangers
// the objective of requests that follow it, else "short". It is false if there was no event.
func (r *Running) Result() (took time.Duration, kind string, ok bool) {
	if r == nil {
		return 0, "", false
	}
	r.tracker.mu.Lock()
	defer r.tracker.mu.Unlock()
	kind = "short"
	if r.long {
		kind = "long"
	}
	return r.took, kind, r.took > 0
}

// averageSpeed updates the mean speed; the caller holds mu.
func (t *Tracker) averageSpeed() {
	sum, n := 0.0, 0
	for _, e := range t.engines {
		if e.measured {
			sum, n = sum+e.speed, n+1
		}
	}
	t.speed = sum / float64(max(1, n))
}

// End records that the request ended, if it had no event before.
func (r *Running) End(now time.Time) {
	if r == nil {
		return
	}
	r.tracker.mu.Lock()
	defer r.tracker.mu.Unlock()
	r.done = true
	r.engine.end(r, now)
}
