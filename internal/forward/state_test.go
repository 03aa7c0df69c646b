package forward

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestAnEarlierTry asserts that a try of unknown outcome keeps a later refusal
// from saying "not run".
func TestAnEarlierTry(t *testing.T) {
	ctx := context.Background()
	l := &life{state: Received}
	for _, trigger := range []trigger{enqueue, reserve, dispatch, retry, reserve, dispatch, proveNot} {
		l.step(ctx, trigger)
	}
	require.True(t, l.mayHaveRun())
	require.Panics(t, func() { l.step(ctx, refuse) })
}

func TestProvenNotRunMayBeRefused(t *testing.T) {
	ctx := context.Background()
	l := &life{state: Received}
	for _, trigger := range []trigger{enqueue, reserve, dispatch, proveNot, refuse} {
		l.step(ctx, trigger)
	}
	require.Equal(t, Refused, l.state)
	require.Panics(t, func() { l.step(ctx, dispatch) }, "a refused request cannot be sent")
}
