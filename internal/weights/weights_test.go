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

// fakeEngines counts the actions on each server and checks that none is activated
// before two are staged. All actions on one server may fail.
type fakeEngines struct {
	mu                sync.Mutex
	actions           map[string]int
	staged            int
	activatedTooEarly bool
	failing           string
}

func (e *fakeEngines) Weights(_ context.Context, s fleet.Server, action backendserver.WeightsAction, _ int64, _ uint64) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.actions[string(action)+" "+s.ID()]++
	if s.ID() == e.failing {
		return errors.New("action failed")
	}
	if action == backendserver.StageWeights {
		e.staged++
	}
	if action == backendserver.ActivateWeights && e.staged < 2 {
		e.activatedTooEarly = true
	}
	return nil
}

type fakeSource struct{}

func (fakeSource) Weights(context.Context, string, string) (int64, error) { return 5, nil }

// TestStageThenActivate updates three servers whose load reports keep showing the old
// version. Each action must be sent once per server, no server may be activated before
// all but the failing one are staged, and the failing one must be tried again without
// delaying the others.
func TestStageThenActivate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engines := &fakeEngines{actions: map[string]int{}, failing: "c"}
		f := fleet.New(nil)
		var instances []platform.Instance
		for _, id := range []string{"a", "b", "c"} {
			instances = append(instances, platform.NewInstance(platform.WireInstance{Name: id, Role: "backend", Service: "s", Address: "127.0.0.1:1", State: "live"}))
		}
		f.UpdateInstances(time.Now(), instances)
		servers := func(string) []fleet.Server { return f.Servers(time.Now(), "s", 1) }
		updater := weights.NewUpdater("", fakeSource{}, engines, func() []string { return []string{"s"} }, servers, zap.NewNop())
		runner := duty.NewRunner("weights", "me", 3*time.Second, 600*time.Millisecond, time.Second, store.NewResolvingClient(store.NewMemory()),
			func(time.Time) bool { return true }, 500*time.Millisecond, updater.Update, timer.New(), zap.NewNop())
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		var group sync.WaitGroup
		group.Go(func() { _ = runner.RunLease(ctx) })
		_ = runner.RunWork(ctx)
		group.Wait()
		for _, action := range []string{"stage a", "activate a", "stage b", "activate b"} {
			require.Equal(t, 1, engines.actions[action], action)
		}
		require.Greater(t, engines.actions["stage c"], 1)
		require.Zero(t, engines.actions["activate c"])
		require.False(t, engines.activatedTooEarly)
	})
}
