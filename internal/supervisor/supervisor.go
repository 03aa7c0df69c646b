// Package supervisor runs long-lived tasks in a supervisor tree that restarts
// them on failure.
package supervisor

import (
	"context"
	"errors"
	"time"

	"github.com/thejerf/suture/v4"
	"go.uber.org/zap"
)

// Tree is a supervisor of tasks and of subtrees.
type Tree struct {
	supervisor *suture.Supervisor
}

// shutdownTimeout limits how long a task may take to return after its context is
// canceled.
const shutdownTimeout = 5 * time.Second

// New returns a tree that logs supervisor events such as failures and restarts
// of its tasks.
func New(name string, log *zap.Logger) *Tree {
	spec := suture.Spec{
		Timeout: shutdownTimeout,
		EventHook: func(e suture.Event) {
			log.Warn("supervisor: "+e.String(), zap.String("tree", name))
		},
	}
	return &Tree{supervisor: suture.New(name, spec)}
}

type task struct {
	name string
	run  func(ctx context.Context) error
}

func (t task) String() string { return t.name }

func (t task) Serve(ctx context.Context) error {
	err := t.run(ctx)
	if ctx.Err() != nil {
		return ctx.Err()
	}
	if errors.Is(err, context.Canceled) {
		return suture.ErrDoNotRestart
	}
	return err
}

// Go adds a task that is restarted if it returns an error or panics. A task that
// returns context.Canceled is not restarted.
func (t *Tree) Go(name string, run func(ctx context.Context) error) {
	t.supervisor.Add(task{name: name, run: run})
}

// Add attaches child as a subtree.
func (t *Tree) Add(child *Tree) { t.supervisor.Add(child.supervisor) }

// Serve runs the tree until ctx ends.
func (t *Tree) Serve(ctx context.Context) error { return t.supervisor.Serve(ctx) }
