package forward

import (
	"context"
	"errors"

	"cactusspoke/internal/invariant"

	"github.com/qmuntal/stateless"
)

// State is a state in the lifecycle of a request.
type State string

// The states of a request. A request that never reached Dispatched has not run
// on a backend server.
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
	enqueue       trigger = "enqueue"
	reserve       trigger = "reserve"
	dispatch      trigger = "dispatch"
	confirmNotRun trigger = "prove-not-run"
	retry         trigger = "retry"
	begin         trigger = "begin"
	deliver       trigger = "deliver"
	refuse        trigger = "refuse"
	fail          trigger = "fail"
)

type lifecycleKey struct{}

// lifecycle is the state of one request. All requests share one state machine,
// because configuring a machine allocates memory.
type lifecycle struct {
	state State
	// inFlight is set while an attempt was sent and its outcome is unknown.
	inFlight bool
	// unresolved is the number of earlier attempts that may have run.
	unresolved int
}

// mayHaveRun reports whether any attempt may have run.
func (l *lifecycle) mayHaveRun() bool { return l.inFlight || l.unresolved > 0 }

var lifecycleMachine = newLifecycleMachine()

func newLifecycleMachine() *stateless.StateMachine {
	m := stateless.NewStateMachineWithExternalStorage(readState, writeState, stateless.FiringImmediate)
	m.Configure(Received).Permit(enqueue, Queued).Permit(refuse, Refused)
	m.Configure(Queued).Permit(reserve, Reserved).Permit(refuse, Refused).Permit(fail, Failed)
	m.Configure(Reserved).Permit(dispatch, Dispatched).Permit(refuse, Refused).Permit(fail, Failed)
	m.Configure(Dispatched).Permit(confirmNotRun, Queued).Permit(retry, Queued).
		Permit(begin, Streaming).Permit(refuse, Refused).Permit(fail, Failed)
	m.Configure(Streaming).Permit(deliver, Delivered).Permit(fail, Failed)
	return m
}

func readState(ctx context.Context) (stateless.State, error) {
	l, ok := ctx.Value(lifecycleKey{}).(*lifecycle)
	if !ok {
		return nil, errors.New("no request in the context")
	}
	return l.state, nil
}

func writeState(ctx context.Context, s stateless.State) error {
	l, ok := ctx.Value(lifecycleKey{}).(*lifecycle)
	if !ok {
		return errors.New("no request in the context")
	}
	l.state = s.(State)
	return nil
}

// fire applies a transition. A transition that the lifecycle does not allow is
// a bug and violates the invariant TrueNotRun.
func (l *lifecycle) fire(ctx context.Context, t trigger) {
	switch t {
	case dispatch:
		l.inFlight = true
	case confirmNotRun:
		l.inFlight = false
	case retry:
		l.inFlight = false
		l.unresolved++
	case refuse:
		invariant.Check(invariant.TrueNotRun, !l.mayHaveRun(),
			"request that may have run is refused as not run in state %s", l.state)
	}
	if err := lifecycleMachine.FireCtx(context.WithValue(ctx, lifecycleKey{}, l), t); err != nil {
		invariant.Check(invariant.TrueNotRun, false, "invalid transition in the request lifecycle: %v", err)
	}
}
