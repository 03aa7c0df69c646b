package store_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"cactusspoke/internal/lab"
	"cactusspoke/internal/store"

	"github.com/stretchr/testify/require"
)

func ExampleGuard() {
	client := store.NewGuard(store.NewMemory())
	revision, err := client.Put(context.Background(), "config/profile/a", []byte("one"), 0)
	fmt.Println(revision, err)
	_, err = client.Put(context.Background(), "config/profile/a", []byte("two"), 0)
	fmt.Println(errors.Is(err, store.ErrConflict))
	// Output:
	// 1 <nil>
	// true
}

// TestSoakGuard writes through a guard over an unreliable store. What it
// reports as applied is there, and what it reports as not applied never
// appears, not even late.
func TestSoakGuard(t *testing.T) {
	steps, seed := lab.SoakParameters(3000, 3)
	synctest.Test(t, func(t *testing.T) {
		memory := store.NewMemory()
		chances := lab.FaultProbabilities{Refused: 0.1, LostBefore: 0.1, LostAfter: 0.15, Late: 0.1, Pause: 20 * time.Millisecond}
		client := store.NewGuard(lab.NewUnreliableStore(memory, chances, seed))
		plain := store.NewGuard(memory)
		random := rand.New(rand.NewPCG(seed, 9))
		forbidden := map[string]bool{}
		known := map[string]store.Revision{}
		for step := range steps {
			key := fmt.Sprintf("k%d", random.IntN(5))
			value := fmt.Sprintf("v%d", step)
			ctx, cancel := context.WithTimeout(t.Context(), time.Duration(1+random.IntN(2000))*time.Millisecond)
			revision, err := client.Put(ctx, key, []byte(value), known[key])
			cancel()
			now, getErr := plain.Get(t.Context(), key)
			require.NoError(t, getErr)
			require.False(t, forbidden[string(now.Value())], "seed %d step %d: %s was reported as not applied", seed, step, now.Value())
			switch {
			case err == nil:
				require.Equal(t, value, string(now.Value()), "seed %d step %d", seed, step)
				require.Equal(t, revision, now.Revision())
			case !errors.Is(err, store.ErrUnknown):
				forbidden[value] = true
			}
			known[key] = now.Revision()
		}
		require.NotEmpty(t, forbidden)
	})
}

func TestBudget(t *testing.T) {
	tests := []struct {
		name     string
		priority store.Priority
		within   int
	}{
		{"routine calls get half", store.Routine, 10},
		{"seals get three quarters", store.Seal, 15},
		{"urgent calls get all", store.Urgent, 20},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := store.NewBudget(store.NewMemory(), 20)
				ctx, cancel := context.WithTimeout(store.WithPriority(t.Context(), test.priority), 10*time.Second)
				defer cancel()
				calls := 0
				for {
					if _, err := b.Get(ctx, "k"); err != nil {
						require.ErrorIs(t, err, store.ErrBudget)
						break
					}
					calls++
				}
				require.InDelta(t, 11*test.within, calls, float64(2*test.within), "ten seconds and a burst")
			})
		})
	}
}

// counting counts the calls that reach it and fails them all.
type counting struct {
	store.Client
	calls int
}

func (c *counting) Get(context.Context, string) (store.Record, error) {
	c.calls++
	return store.Record{}, store.ErrNotApplied
}

// TestOutageIsATrickle asserts that an hour without the store costs no more
// than a call every second or so.
func TestOutageIsATrickle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		down := &counting{}
		b := store.NewBudget(down, 100)
		for end := time.Now().Add(time.Hour); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
			_, err := b.Get(t.Context(), "k")
			require.ErrorIs(t, err, store.ErrNotApplied)
		}
		require.Less(t, down.calls, 3600)
		require.Greater(t, down.calls, 600, "it still finds out when the store is back")
	})
}
