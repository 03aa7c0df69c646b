package failure_test

import (
	"errors"
	"fmt"
	"testing"

	"cactusspoke/internal/failure"

	"github.com/stretchr/testify/require"
)

func ExampleKindOf() {
	err := fmt.Errorf("while serving: %w", failure.New(failure.Overloaded, "too many"))
	fmt.Println(failure.KindOf(err), failure.KindOf(err).Response().Status(), failure.KindOf(err).Response().Ran())
	// Output: overloaded 429 no
}

// TestTableIsComplete checks that every kind has a row with a unique name, and that
// callers may not retry a request that has run.
func TestTableIsComplete(t *testing.T) {
	names := map[string]bool{}
	for _, k := range failure.Kinds() {
		a := k.Response()
		require.NotEmpty(t, a.Name())
		require.False(t, names[a.Name()], a.Name())
		names[a.Name()] = true
		require.GreaterOrEqual(t, a.Status(), 200)
		if a.MayRetry() {
			require.NotEqual(t, failure.RanYes, a.Ran(), a.Name())
		}
	}
	require.Equal(t, failure.Internal, failure.KindOf(errors.New("any")))
}
