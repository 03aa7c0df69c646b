package memory_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"cactusspoke/internal/memory"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// A response that does not fit ends the largest one.
func ExampleBudget() {
	budget := memory.NewBudget(100)
	var endless *memory.Account
	endless = budget.Open(func() { fmt.Println("ended"); go endless.Close() })
	_ = endless.Resize(context.Background(), 90)
	sound := budget.Open(func() {})
	fmt.Println(sound.Resize(context.Background(), 20), budget.Held())
	// Output:
	// ended
	// <nil> 20
}

// TestEviction covers which account is ended if the budget is exhausted.
func TestEviction(t *testing.T) {
	tests := []struct {
		name    string
		others  []int64
		size    int64
		evicted int // index in others, or -1
		want    error
	}{
		{"fits", []int64{50, 40}, 10, -1, nil},
		{"largest is another", []int64{30, 60}, 20, 1, nil},
		{"largest is itself", []int64{30, 30}, 50, -1, memory.ErrExhausted},
		{"more than the limit", nil, 101, -1, memory.ErrExhausted},
		{"as much as the largest", []int64{60}, 60, -1, memory.ErrExhausted},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			budget := memory.NewBudget(100)
			evicted := -1
			for i, n := range tt.others {
				var a *memory.Account
				a = budget.Open(func() { evicted = i; go a.Close() })
				require.NoError(t, a.Resize(t.Context(), n))
			}
			a := budget.Open(func() { t.Error("the account that grows is evicted") })
			require.ErrorIs(t, a.Resize(t.Context(), tt.size), tt.want)
			require.Equal(t, tt.evicted, evicted)
		})
	}
}

// TestRetainedBytes asserts that bytes without an account count, and that an account waits for
// them.
func TestRetainedBytes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		budget := memory.NewBudget(100)
		first := budget.Open(func() {})
		require.NoError(t, first.Resize(t.Context(), 60))
		first.Retain()
		require.Equal(t, int64(60), budget.Held())
		evicted := budget.Open(func() {})
		require.NoError(t, evicted.Resize(t.Context(), 40))
		waiting := budget.Open(func() {})
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		require.ErrorIs(t, waiting.Resize(ctx, 30), context.DeadlineExceeded, "the evicted account holds its bytes until it is closed")
		require.True(t, evicted.Evicted())
		go func() {
			time.Sleep(time.Second)
			budget.SetRetained(10)
		}()
		require.NoError(t, waiting.Resize(t.Context(), 30))
	})
}

// TestBudgetProperty asserts for random orders of growth, failure, cancellation and end that the
// accounts never hold more than the limit, that none waits for ever, and that nothing remains.
func TestBudgetProperty(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const limit = 1000
		plans := rapid.SliceOfN(rapid.SliceOfN(rapid.Int64Range(0, limit+100), 1, 6), 1, 12).Draw(rt, "sizes")
		cancelAfter := rapid.SliceOfN(rapid.IntRange(1, 40), len(plans), len(plans)).Draw(rt, "cancel-ms")
		synctest.Test(t, func(t *testing.T) {
			budget := memory.NewBudget(limit)
			var held atomic.Int64
			var group sync.WaitGroup
			for i, sizes := range plans {
				group.Go(func() {
					ctx, cancel := context.WithTimeout(t.Context(), time.Duration(cancelAfter[i])*time.Millisecond)
					defer cancel()
					a := budget.Open(cancel)
					own := int64(0)
					for _, n := range sizes {
						if n < own { // released before it is returned
							held.Add(n - own)
							own = n
						}
						if err := a.Resize(ctx, n); err != nil {
							break
						}
						require.LessOrEqual(t, held.Add(n-own), int64(limit))
						own = n
						time.Sleep(time.Millisecond)
					}
					held.Add(-own)
					a.Close()
				})
			}
			group.Wait()
			require.Zero(t, budget.Held())
		})
	})
}
