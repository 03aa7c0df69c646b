// Package supervisor builds the tree that keeps the program's parts running.
package supervisor

import (
	"context"
	"errors"
	"time"

	"github.com/thejerf/suture/v4"
	"go.uber.org/zap"
)

// Tree is one node of the supervisor tree.
type Tree struct {
	inner *suture.Supervisor
}

// shutdownTimeout bounds how long a part may take to return once stopped.
const shutdownTimeout = 5 * time.Second

// New returns a tree that logs restarts of its parts.
func New(name string, log *zap.Logger) *Tree {
	spec := suture.Spec{
		Timeout: shutdownTimeout,
		EventHook: func(e suture.Event) {
			log.Warn("supervisor: "+e.String(), zap.String("tree", name))
		},
	}
	return &Tree{inner: suture.New(name, spec)}
}

type part struct {
	name string
	run  func(ctx context.Context) error
}

func (p part) String() string { return p.name }

func (p part) Serve(ctx context.Context) error {
	err := p.run(ctx)
	if ctx.Err() != nil {
		return ctx.Err()
	}
	if errors.Is(err, context.Canceled) {
		return suture.ErrDoNotRestart
	}
	return err
}

// Go adds a part, which is restarted when it returns an error or panics.
func (t *Tree) Go(name string, run func(ctx context.Context) error) {
	t.inner.Add(part{name: name, run: run})
}

// Add hangs another tree below this one.
func (t *Tree) Add(child *Tree) { t.inner.Add(child.inner) }

// Serve runs the tree until the context ends.
func (t *Tree) Serve(ctx context.Context) error { return t.inner.Serve(ctx) }
