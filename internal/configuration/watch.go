package configuration

import (
	"context"
	"time"

	"cactusspoke/internal/logs"
	"cactusspoke/internal/profile"
	"cactusspoke/internal/store"

	"go.uber.org/zap"
)

// Intervals and timeouts of a watcher.
const (
	longPollTimeout = 500 * time.Millisecond
	retryInterval   = 250 * time.Millisecond
	staleThreshold  = 3 * time.Second
	callTimeout     = 2 * time.Second
)

// Watcher reads the configuration from the store. To limit the load on the
// store, only a few designated instances watch it; the others receive changes
// from their peers.
type Watcher struct {
	view         *View
	client       store.Client
	isDesignated func(now time.Time) bool
	log          *zap.Logger
}

// NewWatcher returns a watcher. isDesignated reports whether this instance
// should watch the store; an instance with a stale view does so regardless.
func NewWatcher(view *View, client store.Client, isDesignated func(now time.Time) bool, log *zap.Logger) *Watcher {
	return &Watcher{view: view, client: client, isDesignated: isDesignated, log: log}
}

// Run watches the store until the context ends.
func (w *Watcher) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if !w.shouldPoll(time.Now()) {
			sleepContext(ctx, retryInterval)
			continue
		}
		if err := w.poll(ctx); err != nil {
			w.log.Debug("configuration: cannot read from the store; retrying", logs.Err(err))
			sleepContext(ctx, retryInterval)
		}
	}
	return ctx.Err()
}

func (w *Watcher) shouldPoll(now time.Time) bool {
	age, seen := w.view.Age(now)
	return !seen || age > staleThreshold || w.isDesignated(now)
}

// poll reads one page of changes. It confirms the view as of the time the call
// was sent, because the store may change while the reply is in transit.
func (w *Watcher) poll(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(store.WithPriority(ctx, store.PriorityUrgent), longPollTimeout+callTimeout)
	defer cancel()
	after := w.view.Current().Revision()
	sentAt := time.Now()
	page, err := w.fetch(ctx, after)
	if err != nil {
		return err
	}
	if page.Revision() < after {
		w.log.Error("configuration: the store returned an older revision than the current one; ignoring it",
			zap.Uint64("ours", uint64(after)), zap.Uint64("answered", uint64(page.Revision())))
		sleepContext(ctx, longPollTimeout)
		return nil
	}
	w.view.Apply(page.Records(), after, page.Revision())
	w.view.Confirm(sentAt)
	return nil
}

func (w *Watcher) fetch(ctx context.Context, after store.Revision) (store.Page, error) {
	if after == 0 {
		return w.client.List(ctx, profile.Prefix)
	}
	return w.client.Watch(ctx, profile.Prefix, after, longPollTimeout)
}

func sleepContext(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
