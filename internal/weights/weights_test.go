package weights_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"cactusspoke/internal/backendserver"
	"cactusspoke/internal/duty"
	"cactusspoke/internal/fleet"
	"cactusspoke/internal/platform"
	"cactusspoke/internal/store"
	"cactusspoke/internal/timer"
	"cactusspoke/internal/weights"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
)

// engines counts orders and remembers their order; one engine may fail.
type engines struct {
	mu      sync.Mutex
	orders  map[string]int
	staged  int
	early   bool
	failing string
}

func (e *engines) Weights(_ context.Context, s fleet.Server, action backendserver.WeightsAction, _ int64, _ uint64) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.orders[string(action)+" "+s.ID()]++
	if s.ID() == e.failing {
		return errors.New("no")
	}
	if action == backendserver.Stage {
		e.staged++
	}
	if action == backendserver.Activate && e.staged < 2 {
		e.early = true
	}
	return nil
}

type source struct{}

func (source) Weights(context.Context, string, string) (int64, error) { return 5, nil }

// TestStageThenActivate follows a version while the servers' reports lag:
// every server is ordered once, none is switched before all are staged, and
// one that fails is tried again without holding up the others.
func TestStageThenActivate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		got := &engines{orders: map[string]int{}, failing: "c"}
		f := fleet.New(nil)
		var list []platform.Instance
		for _, id := range []string{"a", "b", "c"} {
			list = append(list, platform.NewInstance(platform.WireInstance{Name: id, Role: "backend", Service: "s", Address: "127.0.0.1:1", State: "live"}))
		}
		f.UpdateInstances(time.Now(), list)
		servers := func(string) []fleet.Server { return f.Servers(time.Now(), "s", 1) }
		desk := weights.NewDesk("", source{}, got, func() []string { return []string{"s"} }, servers, zap.NewNop())
		runner := duty.NewRunner("weights", "me", 3*time.Second, 600*time.Millisecond, time.Second, store.NewGuard(store.NewMemory()),
			func(time.Time) bool { return true }, 500*time.Millisecond, desk.Act, timer.New(), zap.NewNop())
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		var group sync.WaitGroup
		group.Go(func() { _ = runner.RunKeep(ctx) })
		_ = runner.RunAct(ctx)
		group.Wait()
		for _, order := range []string{"stage a", "activate a", "stage b", "activate b"} {
			require.Equal(t, 1, got.orders[order], order)
		}
		require.Greater(t, got.orders["stage c"], 1)
		require.Zero(t, got.orders["activate c"])
		require.False(t, got.early)
	})
}
