package forward

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestAnEarlierTry guards against reporting a request as not run when only its
// last attempt is known not to have run and an earlier one has an unknown
// outcome.
func TestAnEarlierTry(t *testing.T) {
	ctx := context.Background()
	l := &lifecycle{state: Received}
	for _, trigger := range []trigger{enqueue, reserve, dispatch, retry, reserve, dispatch, confirmNotRun} {
		l.fire(ctx, trigger)
	}
	require.True(t, l.mayHaveRun())
	require.Panics(t, func() { l.fire(ctx, refuse) })
}

func TestProvenNotRunMayBeRefused(t *testing.T) {
	ctx := context.Background()
	l := &lifecycle{state: Received}
	for _, trigger := range []trigger{enqueue, reserve, dispatch, confirmNotRun, refuse} {
		l.fire(ctx, trigger)
	}
	require.Equal(t, Refused, l.state)
	require.Panics(t, func() { l.fire(ctx, dispatch) }, "a refused request must not be dispatched")
}
