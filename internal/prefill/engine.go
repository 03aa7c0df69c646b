package prefill

import "time"

const (
	// defaultSpeed is the tokens that an engine prefills in a millisecond until any was measured;
	// minSpeed and maxSpeed bound what is learned.
	defaultSpeed = 100
	minSpeed     = 2
	maxSpeed     = 5000
	// risingSmoothing and fallingSmoothing are the weights of a higher and a lower measurement of
	// the speed. Prompts of other processes make an engine look slower than it is, never faster.
	risingSmoothing  = 0.5
	fallingSmoothing = 0.15
	// minMeasuredTokens is the least prefill work of a request whose time to the first event
	// says something about the speed; below maxBaseTokens it says how long everything else
	// takes, the network and the first event.
	minMeasuredTokens = 2048
	maxBaseTokens     = 512
	// defaultBase is the time to the first event without prefill until it was measured.
	defaultBase = 10 * time.Millisecond
	// baseSmoothing is the weight of a new measurement of it.
	baseSmoothing = 0.1
	// overrunShare is the share of the work in progress that is assumed to remain when it takes
	// longer than expected.
	overrunShare = 0.25
	// cacheTokens is how many tokens of prompt parts are assumed to remain cached at an engine.
	// Running requests use the same memory, so it is far below what engines have in all.
	cacheTokens = 1 << 15
)

// partKey is a part of a prompt at one state of the weights.
type partKey struct {
	id      uint64
	weights int64
}

// engine is what is known of the prefill at one engine.
type engine struct {
	// speed is in tokens a millisecond, base the time to the first event without prefill.
	// Until measured, the speed is that of other engines.
	speed    float64
	measured bool
	base     time.Duration
	// busyUntil is when the work in progress is expected to be prefilled, and pending its
	// tokens by request.
	busyUntil time.Time
	pending   map[*Running]int
	tokens    int
	usedAt    time.Time
	// cached holds the parts assumed to be cached, the oldest first in order.
	cached       map[partKey]int
	order        []partKey
	cachedTokens int
}

func newEngine(speed float64) *engine {
	return &engine{speed: speed, base: defaultBase, pending: map[*Running]int{}, cached: map[partKey]int{}}
}

// assume sets the speed of an engine that was not measured.
func (e *engine) assume(speed float64) {
	if !e.measured {
		e.speed = speed
	}
}

// duration returns how long the engine takes to prefill tokens.
func (e *engine) duration(tokens int) time.Duration {
	return time.Duration(float64(tokens) / e.speed * float64(time.Millisecond))
}

// wait returns how long the work in progress is expected to take from now on.
func (e *engine) wait(now time.Time) time.Duration {
	if e.tokens == 0 {
		return 0
	}
	return max(e.busyUntil.Sub(now), time.Duration(overrunShare*float64(e.duration(e.tokens))))
}

// work returns the tokens of a prompt that are not expected to be cached. A part counts as
// cached only if all parts before it are.
func (e *engine) work(p Prompt, weights int64) int {
	tokens := p.Tokens
	for _, part := range p.Parts {
		if _, ok := e.cached[partKey{part.ID, weights}]; !ok {
			break
		}
		tokens -= part.Tokens
	}
	return max(0, tokens)
}

// remember records that the parts of a prompt are cached from now on, and forgets the oldest.
func (e *engine) remember(p Prompt, weights int64) {
	for _, part := range p.Parts {
		key := partKey{part.ID, weights}
		if _, ok := e.cached[key]; ok {
			continue
		}
		e.cached[key] = part.Tokens
		e.order = append(e.order, key)
		e.cachedTokens += part.Tokens + 1
	}
	for e.cachedTokens > cacheTokens && len(e.order) > 0 {
		e.cachedTokens -= e.cached[e.order[0]] + 1
		delete(e.cached, e.order[0])
		e.order = e.order[1:]
	}
}

// begin adds a request's work to that in progress.
func (e *engine) begin(r *Running, tokens int, now time.Time) {
	if e.tokens == 0 || e.busyUntil.Before(now) {
		e.busyUntil = now
	}
	e.pending[r] = tokens
	e.tokens += tokens
	e.busyUntil = e.busyUntil.Add(e.duration(tokens))
	e.usedAt = now
}

// end removes a request's work.
func (e *engine) end(r *Running, now time.Time) {
	tokens, ok := e.pending[r]
	if !ok {
		return
	}
	delete(e.pending, r)
	e.tokens -= tokens
	// What is left cannot take longer than all of it would.
	if latest := now.Add(e.duration(e.tokens)); latest.Before(e.busyUntil) {
		e.busyUntil = latest
	}
}

// learn updates the speed and the base from the time to the first event of a request that
// found no prompt of this process in progress. It reports whether the speed was measured.
func (e *engine) learn(tokens int, took time.Duration) bool {
	if tokens < maxBaseTokens {
		took = max(0, took-e.duration(tokens))
		e.base += time.Duration(baseSmoothing * float64(took-e.base))
		return false
	}
	if tokens < minMeasuredTokens {
		return false
	}
	ms := float64(max(took-e.base, took/4)) / float64(time.Millisecond)
	measured := min(maxSpeed, max(minSpeed, float64(tokens)/max(ms, 0.001)))
	switch {
	case !e.measured:
		e.speed, e.measured = measured, true
	case measured > e.speed:
		e.speed += risingSmoothing * (measured - e.speed)
	default:
		e.speed += fallingSmoothing * (measured - e.speed)
	}
	return true
}
