package forward

import (
	"context"
	"errors"

	"cactusspoke/internal/invariant"

	"github.com/qmuntal/stateless"
)

// State is where a request stands.
type State string

// The states of a request. Only in Dispatched and after may it have run.
const (
	Received   State = "received"
	Queued     State = "queued"
	Reserved   State = "reserved"
	Dispatched State = "dispatched"
	Streaming  State = "streaming"
	Delivered  State = "delivered"
	Refused    State = "refused"
	Failed     State = "failed"
)

type trigger string

const (
	enqueue  trigger = "enqueue"
	reserve  trigger = "reserve"
	dispatch trigger = "dispatch"
	proveNot trigger = "prove-not-run"
	retry    trigger = "retry"
	begin    trigger = "begin"
	deliver  trigger = "deliver"
	refuse   trigger = "refuse"
	fail     trigger = "fail"
)

type lifeKey struct{}

// life is the stored state of one request. The machine is shared by all
// requests, since configuring one allocates.
type life struct {
	state State
	// inFlight tells that a try was sent and its end is not known.
	inFlight bool
	// unproved counts earlier tries that may have run.
	unproved int
}

// mayHaveRun tells whether any try may have run.
func (l *life) mayHaveRun() bool { return l.inFlight || l.unproved > 0 }

var machine = newMachine()

func newMachine() *stateless.StateMachine {
	m := stateless.NewStateMachineWithExternalStorage(readState, writeState, stateless.FiringImmediate)
	m.Configure(Received).Permit(enqueue, Queued).Permit(refuse, Refused)
	m.Configure(Queued).Permit(reserve, Reserved).Permit(refuse, Refused).Permit(fail, Failed)
	m.Configure(Reserved).Permit(dispatch, Dispatched).Permit(refuse, Refused).Permit(fail, Failed)
	m.Configure(Dispatched).Permit(proveNot, Queued).Permit(retry, Queued).
		Permit(begin, Streaming).Permit(refuse, Refused).Permit(fail, Failed)
	m.Configure(Streaming).Permit(deliver, Delivered).Permit(fail, Failed)
	return m
}

func readState(ctx context.Context) (stateless.State, error) {
	l, ok := ctx.Value(lifeKey{}).(*life)
	if !ok {
		return nil, errors.New("no request in the context")
	}
	return l.state, nil
}

func writeState(ctx context.Context, s stateless.State) error {
	l, ok := ctx.Value(lifeKey{}).(*life)
	if !ok {
		return errors.New("no request in the context")
	}
	l.state = s.(State)
	return nil
}

// step moves a request on; a step that the lifecycle does not allow is a
// fault of this program.
func (l *life) step(ctx context.Context, t trigger) {
	switch t {
	case dispatch:
		l.inFlight = true
	case proveNot:
		l.inFlight = false
	case retry:
		l.inFlight = false
		l.unproved++
	case refuse:
		invariant.Check(invariant.TrueNotRun, !l.mayHaveRun(),
			"a request that may have run is refused as not run, from %s", l.state)
	}
	if err := machine.FireCtx(context.WithValue(ctx, lifeKey{}, l), t); err != nil {
		invariant.Check(invariant.TrueNotRun, false, "request lifecycle: %v", err)
	}
}
