package configuration

import (
	"context"
	"time"

	"cactusspoke/internal/logs"
	"cactusspoke/internal/profile"
	"cactusspoke/internal/store"

	"go.uber.org/zap"
)

// Periods of a watcher.
const (
	watchWait   = 500 * time.Millisecond
	roleCheck   = 250 * time.Millisecond
	staleAfter  = 3 * time.Second
	callTimeout = 2 * time.Second
)

// Watcher reads the configuration from the store. Only a few instances watch
// at a time; the others learn from their peers.
type Watcher struct {
	view   *View
	client store.Client
	chosen func(now time.Time) bool
	log    *zap.Logger
}

// NewWatcher returns a watcher. chosen tells whether this instance should
// watch; one whose view has grown old watches all the same.
func NewWatcher(view *View, client store.Client, chosen func(now time.Time) bool, log *zap.Logger) *Watcher {
	return &Watcher{view: view, client: client, chosen: chosen, log: log}
}

// Run watches until the context ends.
func (w *Watcher) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if !w.due(time.Now()) {
			pause(ctx, roleCheck)
			continue
		}
		if err := w.once(ctx); err != nil {
			w.log.Debug("configuration: store not read", logs.Err(err))
			pause(ctx, roleCheck)
		}
	}
	return ctx.Err()
}

func (w *Watcher) due(now time.Time) bool {
	age, seen := w.view.Age(now)
	return !seen || age > staleAfter || w.chosen(now)
}

// once reads one page. The view is confirmed as of before the call left.
func (w *Watcher) once(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(store.WithPriority(ctx, store.PriorityUrgent), watchWait+callTimeout)
	defer cancel()
	after := w.view.Current().Revision()
	sentAt := time.Now()
	page, err := w.read(ctx, after)
	if err != nil {
		return err
	}
	if page.Revision() < after {
		w.log.Error("configuration: the store answered with an older revision",
			zap.Uint64("ours", uint64(after)), zap.Uint64("answered", uint64(page.Revision())))
		pause(ctx, watchWait)
		return nil
	}
	w.view.Apply(page.Records(), after, page.Revision())
	w.view.Confirm(sentAt)
	return nil
}

func (w *Watcher) read(ctx context.Context, after store.Revision) (store.Page, error) {
	if after == 0 {
		return w.client.List(ctx, profile.Prefix)
	}
	return w.client.Watch(ctx, profile.Prefix, after, watchWait)
}

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
