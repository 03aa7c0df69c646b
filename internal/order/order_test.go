package order_test

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
	"cactusspoke/internal/order"
	"cactusspoke/internal/platform"
	"cactusspoke/internal/store"
	"cactusspoke/internal/timer"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
)

func ExamplePlanner() {
	p := order.NewPlanner(4, 2)
	current := map[string]int{"a": 1, "b": 1}
	for _, busy := range []float64{30, 0, 0} {
		for _, want := range p.Plan(order.NewDemand("s", busy, 10, current)) {
			fmt.Print(want.FailureDomain(), want.Count(), " ")
		}
		current = map[string]int{"a": 3, "b": 2}
	}
	// Output: a3 b2 a3 b2 a1 b1
}

// interfaceOfOrders records what the platform gets; it ignores epochs and
// loses some answers. An order on its way arrives even if its sender dies.
type interfaceOfOrders struct {
	t      *testing.T
	mu     sync.Mutex
	random *rand.Rand
	newest uint64
	holder map[uint64]string
	byID   map[string]int
}

func (i *interfaceOfOrders) SendOrder(ctx context.Context, _ string, o platform.Order) error {
	i.mu.Lock()
	delay := time.Duration(i.random.IntN(400)) * time.Millisecond
	lost := i.random.IntN(4) == 0
	i.mu.Unlock()
	time.Sleep(delay)
	if deadline, ok := ctx.Deadline(); ok && time.Now().After(deadline) {
		return context.DeadlineExceeded
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	require.GreaterOrEqual(i.t, o.Epoch(), i.newest, "an old holder's order came after a new one's")
	i.newest = o.Epoch()
	if before, ok := i.holder[o.Epoch()]; ok {
		require.Equal(i.t, before, o.Holder(), "two holders of one epoch")
	}
	i.holder[o.Epoch()] = o.Holder()
	if before, ok := i.byID[o.ID()]; ok {
		require.Equal(i.t, before, o.Count(), "order %s was contradicted", o.ID())
	}
	i.byID[o.ID()] = o.Count()
	if lost {
		return errors.New("the answer was lost")
	}
	return nil
}

// TestSoakOrders lets three instances, which die and start anew, compete for the
// duty over an unreliable store, with demand that changes all the time: orders come from one holder at
// a time, and an order that is repeated says the same.
func TestSoakOrders(t *testing.T) {
	steps, seed := lab.Soak(300, 31)
	synctest.Test(t, func(t *testing.T) {
		memory := store.NewMemory()
		chances := lab.Chances{Refused: 0.05, LostBefore: 0.1, LostAfter: 0.15, Late: 0.05, Pause: 80 * time.Millisecond}
		peer := &interfaceOfOrders{t: t, random: rand.New(rand.NewPCG(seed, 1)), holder: map[uint64]string{}, byID: map[string]int{}}
		ctx, cancel := context.WithTimeout(t.Context(), time.Duration(steps)*time.Second)
		defer cancel()
		var group sync.WaitGroup
		for i := range 3 {
			me := fmt.Sprintf("entry-%d", i)
			client := store.NewResolvingClient(lab.NewUnreliable(memory, chances, seed*10+uint64(i)))
			random := rand.New(rand.NewPCG(seed, uint64(i)))
			demand := func(time.Time) []order.Demand {
				return []order.Demand{order.NewDemand("s", random.Float64()*60, 10, map[string]int{"a": 1, "b": 1})}
			}
			group.Go(func() {
				for life := 0; ctx.Err() == nil; life++ {
					name := fmt.Sprintf("%s-%d", me, life)
					desk := order.NewDesk(name, "", client, peer, order.NewPlanner(8, 1), demand, zap.NewNop())
					always := func(time.Time) bool { return true }
					runner := duty.NewRunner("orders", name, 3*time.Second, 600*time.Millisecond, time.Second, client, always,
						time.Second, desk.Act, timer.New(), zap.NewNop())
					lived, die := context.WithTimeout(ctx, time.Duration(4000+random.IntN(20_000))*time.Millisecond)
					group.Go(func() { _ = runner.RunKeep(lived) })
					_ = runner.RunAct(lived)
					die()
				}
			})
		}
		group.Wait()
		require.Greater(t, len(peer.byID), steps/10, "seed %d", seed)
		require.Greater(t, len(peer.holder), 2, "seed %d: the holder must change", seed)
	})
}
