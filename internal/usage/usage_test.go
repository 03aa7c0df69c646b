package usage_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"cactusspoke/internal/duty"
	"cactusspoke/internal/lab"
	"cactusspoke/internal/peer"
	"cactusspoke/internal/store"
	"cactusspoke/internal/timer"
	"cactusspoke/internal/usage"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
)

const length = 2 * time.Second

// reports records what reaches the platform, and loses some answers.
type reports struct {
	t       *testing.T
	mu      sync.Mutex
	random  *rand.Rand
	windows map[uint64]string
	newest  uint64
	epochs  map[uint64]string
}

func (r *reports) ReportUsage(_ context.Context, _ string, window, epoch uint64, holder string, sealed []byte) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if before, ok := r.windows[window]; ok {
		require.Equal(r.t, before, string(sealed), "window %d with other figures", window)
	}
	if before, ok := r.epochs[epoch]; ok {
		require.Equal(r.t, before, holder, "two holders of epoch %d", epoch)
	}
	require.GreaterOrEqual(r.t, epoch, r.newest, "an old holder reports after a new one")
	r.newest = epoch
	r.epochs[epoch] = holder
	r.windows[window] = string(sealed)
	if r.random.IntN(5) == 0 {
		return errors.New("the answer was lost")
	}
	return nil
}

// TestSoakWindows lets three instances compete for the reporting of windows
// over an unreliable store. Each collects other figures, as it does when some
// instance is silent, yet every window goes out with one set for ever.
func TestSoakWindows(t *testing.T) {
	steps, seed := lab.Soak(100, 6)
	synctest.Test(t, func(t *testing.T) {
		memory := store.NewMemory()
		chances := lab.Chances{Refused: 0.05, LostBefore: 0.1, LostAfter: 0.15, Late: 0.05, Pause: 60 * time.Millisecond}
		got := &reports{t: t, random: rand.New(rand.NewPCG(seed, 1)), windows: map[uint64]string{}, epochs: map[uint64]string{}}
		ctx, cancel := context.WithTimeout(t.Context(), time.Duration(steps)*length)
		defer cancel()
		var group sync.WaitGroup
		for i := range 3 {
			me := fmt.Sprintf("entry-%d", i)
			client := store.NewResolvingClient(lab.NewUnreliable(memory, chances, seed*10+uint64(i)))
			random := rand.New(rand.NewPCG(seed, uint64(i)))
			collect := func(_ context.Context, window uint64) []usage.Collected {
				return []usage.Collected{usage.NewCollected(me, []peer.UsageCounter{peer.NewUsageCounter("c", "s", usage.Requests, window+uint64(i))}, random.IntN(3) == 0)}
			}
			desk := usage.NewDesk(me, "", usage.NewLedger(length), client, got, collect, zap.NewNop())
			eligible := func(time.Time) bool { return random.IntN(10) != 0 }
			runner := duty.NewRunner("usage", me, 3*time.Second, 600*time.Millisecond, time.Second, client, eligible, 300*time.Millisecond, desk.Act, timer.New(), zap.NewNop())
			group.Go(func() { _ = runner.RunKeep(ctx) })
			group.Go(func() { _ = runner.RunAct(ctx) })
		}
		group.Wait()
		require.Greater(t, len(got.windows), steps/2, "seed %d: reports went out", seed)
	})
}

func TestLedgerNeverReopensAWindow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := usage.NewLedger(length)
		first := l.Window(time.Now())
		e := l.Open("c", "s")
		time.Sleep(length)
		e.Deliver(3, 4)
		e.Refuse("late")
		require.Empty(t, l.Counters(first), "it counts where it ends")
		counters := l.Counters(first + 1)
		require.Len(t, counters, 3, "and once")
	})
}

func TestEncodeSaysWhatIsMissing(t *testing.T) {
	counter := []peer.UsageCounter{peer.NewUsageCounter("c", "s", usage.Requests, 2)}
	data := usage.Encode(7, []usage.Collected{
		usage.NewCollected("b", nil, true), usage.NewCollected("a", counter, false), usage.NewCollected("z", counter, false),
	})
	require.JSONEq(t, `{"window":7,"figures":[{"customer":"c","service":"s","kind":"requests","value":4}],"uncounted-instances":["b"]}`, string(data))
}
