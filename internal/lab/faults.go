package lab

import (
	"context"
	"encoding/json"
	"os"
	"sync"
	"time"

	"cactusspoke/internal/backendserver"
	"cactusspoke/internal/web"

	"github.com/cloudwego/hertz/pkg/app"
)

// crashExitCode is the exit code of a simulator that crashes on request.
const crashExitCode = 3

// Faults holds the faults that a simulator injects. They can be changed over HTTP
// while it runs.
type Faults struct {
	mu      sync.Mutex
	wire    faultsWire
	stopped bool
}

// faultsWire is the JSON form of the faults. Decoding leaves a fault that the JSON
// does not name unchanged.
type faultsWire struct {
	// Frozen holds all requests without answering until it is cleared. Like a frozen process, a
	// frozen plain service does not notice that a caller leaves: it runs the request later.
	Frozen bool `json:"frozen"`
	// SlowMS delays every request by this many milliseconds.
	SlowMS int `json:"slow-ms"`
	// LoseAnswers is the number of requests that are executed but whose connection
	// is closed without the response.
	LoseAnswers int `json:"lose-answers"`
	// Refuse answers 503 without executing the request.
	Refuse bool `json:"refuse"`
	// RefuseNotRun answers 503 with a header that says the request was not executed.
	RefuseNotRun bool `json:"refuse-not-run"`
	// CutStreams is the number of streams to break off half way through.
	CutStreams int `json:"cut-streams"`
	// WrongEcho is the number of responses that carry the request id of another
	// request.
	WrongEcho int `json:"wrong-echo"`
	// FailStage rejects commands to stage or activate weights.
	FailStage bool `json:"fail-stage"`
	// Leaving reports in the load that the instance is about to shut down.
	Leaving bool `json:"leaving"`
	// IgnoreEpochs accepts requests with an outdated epoch.
	IgnoreEpochs bool `json:"ignore-epochs"`
	// LoadLagMS is the minimum age of load reports in milliseconds, once the simulator
	// has reports that old.
	LoadLagMS int `json:"load-lag-ms"`
	// Crash exits the process immediately.
	Crash bool `json:"crash"`
}

// NewFaults returns a Faults with no fault set.
func NewFaults() *Faults { return &Faults{} }

// Set changes the faults named in the JSON and leaves the others as they are.
func (f *Faults) Set(data []byte) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := json.Unmarshal(data, &f.wire); err != nil {
		return err
	}
	if f.wire.Crash {
		os.Exit(crashExitCode)
	}
	return nil
}

// current returns a copy of the faults.
func (f *Faults) current() faultsWire {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.wire
}

// consume decrements a counted fault and reports whether it applies to the current
// request.
func (f *Faults) consume(counter func(*faultsWire) *int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := counter(&f.wire)
	if *n == 0 {
		return false
	}
	*n--
	return true
}

// frozenPollInterval is how often a frozen request checks whether it may continue.
const frozenPollInterval = 20 * time.Millisecond

// stop drops the requests that a frozen simulator holds, because the simulator is ending.
func (f *Faults) stop() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stopped = true
}

// holding reports whether requests are held; ok is false once the simulator ends.
func (f *Faults) holding() (frozen, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.wire.Frozen, !f.stopped
}

// hold waits while the simulator is frozen, whether or not the caller is still there. It
// returns false if the simulator ends before.
func (f *Faults) hold() bool {
	for {
		frozen, ok := f.holding()
		if !frozen || !ok {
			return ok
		}
		time.Sleep(frozenPollInterval)
	}
}

// beforeRequest applies the faults that delay or refuse a request and reports
// whether to execute it.
func (f *Faults) beforeRequest(c *app.RequestContext) bool {
	if !f.hold() {
		return false
	}
	now := f.current()
	if now.SlowMS > 0 {
		time.Sleep(time.Duration(now.SlowMS) * time.Millisecond)
	}
	if now.Refuse || now.RefuseNotRun {
		echoRequestID(c)
		if now.RefuseNotRun {
			c.Response.Header.Set(backendserver.HeaderNotRun, "true")
		}
		c.SetStatusCode(503)
		return false
	}
	return true
}

// afterRequest drops the response of an executed request if LoseAnswers applies.
func (f *Faults) afterRequest(_ context.Context, c *app.RequestContext) {
	if f.consume(func(w *faultsWire) *int { return &w.LoseAnswers }) {
		web.AbortResponse(c)
	}
}
