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

// crashCode is the exit code of a stand-in that was told to crash.
const crashCode = 3

// Faults are what goes wrong at a stand-in. They are switched over HTTP while
// it runs.
type Faults struct {
	mu   sync.Mutex
	wire faultsWire
}

// faultsWire is the JSON form: fields that are absent stay as they are.
type faultsWire struct {
	// Frozen leaves every request without an answer.
	Frozen bool `json:"frozen"`
	// SlowMS delays every request.
	SlowMS int `json:"slow-ms"`
	// LoseAnswers carries out this many requests and loses their answers.
	LoseAnswers int `json:"lose-answers"`
	// Refuse answers 503 without doing anything.
	Refuse bool `json:"refuse"`
	// RefuseNotRun answers 503 and says that nothing ran.
	RefuseNotRun bool `json:"refuse-not-run"`
	// CutStreams breaks this many streams off in the middle.
	CutStreams int `json:"cut-streams"`
	// WrongEcho answers this many requests in the name of another.
	WrongEcho int `json:"wrong-echo"`
	// FailStage refuses to stage or activate weights.
	FailStage bool `json:"fail-stage"`
	// Leaving reports that the instance is about to go.
	Leaving bool `json:"leaving"`
	// IgnoreEpochs accepts orders with an old epoch.
	IgnoreEpochs bool `json:"ignore-epochs"`
	// LoadLagMS is how old load reports are.
	LoadLagMS int `json:"load-lag-ms"`
	// Crash ends the process at once.
	Crash bool `json:"crash"`
}

// NewFaults returns a set in which nothing goes wrong.
func NewFaults() *Faults { return &Faults{} }

// Set changes the faults that the JSON names.
func (f *Faults) Set(data []byte) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := json.Unmarshal(data, &f.wire); err != nil {
		return err
	}
	if f.wire.Crash {
		os.Exit(crashCode)
	}
	return nil
}

// now returns a copy of the faults.
func (f *Faults) now() faultsWire {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.wire
}

// take uses up one of a counted fault.
func (f *Faults) take(counter func(*faultsWire) *int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := counter(&f.wire)
	if *n == 0 {
		return false
	}
	*n--
	return true
}

// frozenPoll is how often a frozen request looks whether it may go on.
const frozenPoll = 20 * time.Millisecond

// before tells whether a request may be carried out.
func (f *Faults) before(ctx context.Context, c *app.RequestContext) bool {
	for f.now().Frozen {
		if ctx.Err() != nil {
			return false
		}
		time.Sleep(frozenPoll)
	}
	now := f.now()
	if now.SlowMS > 0 {
		time.Sleep(time.Duration(now.SlowMS) * time.Millisecond)
	}
	if now.Refuse || now.RefuseNotRun {
		echo(c)
		if now.RefuseNotRun {
			c.Response.Header.Set(backendserver.HeaderNotRun, "true")
		}
		c.SetStatusCode(503)
		return false
	}
	return true
}

// after loses the answer of a request that was carried out.
func (f *Faults) after(_ context.Context, c *app.RequestContext) {
	if f.take(func(w *faultsWire) *int { return &w.LoseAnswers }) {
		web.AbortResponse(c)
	}
}
