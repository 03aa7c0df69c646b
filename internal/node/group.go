package node

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"
)

// restartDelay is the time before a failed component is started again.
const restartDelay = 200 * time.Millisecond

// componentGroup runs the components of a process, each in its own goroutine,
// and restarts those that fail.
type componentGroup struct {
	ctx context.Context
	log *zap.Logger
}

func newComponentGroup(ctx context.Context, log *zap.Logger) *componentGroup {
	return &componentGroup{ctx, log}
}

// start runs a component until it returns no error or the group's context is done.
func (g *componentGroup) start(name string, run func(context.Context) error) {
	g.startIn(g.ctx, name, run)
}

// startIn runs a component with its own context. The returned channel is closed
// when the component has ended.
func (g *componentGroup) startIn(ctx context.Context, name string, run func(context.Context) error) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			err := run(ctx)
			if ctx.Err() != nil || err == nil || errors.Is(err, context.Canceled) {
				return
			}
			g.log.Error("process: component failed; restarting it", zap.String("part", name), zap.String("reason", err.Error()))
			time.Sleep(restartDelay)
		}
	}()
	return done
}

// incarnation returns a name of the node that is different after each start.
func incarnation(node string) string { return fmt.Sprintf("%s-%08x", node, rand.Uint32()) }
