package node

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"
)

// restartPause is the pause before a part that failed is started again.
const restartPause = 200 * time.Millisecond

// group runs the parts of a process, each on its own goroutine, and starts
// again what failed.
type group struct {
	ctx context.Context
	log *zap.Logger
}

func newGroup(ctx context.Context, log *zap.Logger) *group { return &group{ctx, log} }

func (g *group) start(name string, run func(context.Context) error) { g.startIn(g.ctx, name, run) }

// startIn runs a part under a context of its own and returns a channel that
// is closed at its end.
func (g *group) startIn(ctx context.Context, name string, run func(context.Context) error) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			err := run(ctx)
			if ctx.Err() != nil || err == nil || errors.Is(err, context.Canceled) {
				return
			}
			g.log.Error("process: part failed", zap.String("part", name), zap.String("reason", err.Error()))
			time.Sleep(restartPause)
		}
	}()
	return done
}

// incarnation returns a name that differs between starts of a node.
func incarnation(node string) string { return fmt.Sprintf("%s-%08x", node, rand.Uint32()) }
