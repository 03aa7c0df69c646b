package evacuation

import (
	"context"
	"errors"
	"slices"
	"time"

	"cactusspoke/internal/kv"
	"cactusspoke/internal/telemetry"

	"go.uber.org/zap"
)

// retryDelay is the delay before a failed read or write of the published set is retried.
const retryDelay = 200 * time.Millisecond

// step is what a publisher does next.
type step int

const (
	// stepWait waits for a change of the set.
	stepWait step = iota
	// stepRead reads the published set.
	stepRead
	// stepWrite publishes the set.
	stepWrite
)

// publication is a publisher's view of the published set.
type publication struct {
	// known means that the fields below it were read or written without a failure since.
	known    bool
	domains  []string
	revision kv.Revision
	// invalid means that the value cannot be read.
	invalid bool
	// uncertain means that the outcome of a write is not known. It may still be carried
	// out, so the key must get another revision even if it has the right value.
	uncertain bool
}

// next returns what to do to publish a set. Fault that it handles: writes whose response is
// lost, and which the store may carry out later.
func (p publication) next(domains []string) step {
	switch {
	case !p.known:
		return stepRead
	case p.uncertain || p.invalid || !slices.Equal(p.domains, domains):
		return stepWrite
	default:
		return stepWait
	}
}

// read returns the state after a read of the key.
func (p publication) read(item kv.Item, err error) publication {
	switch {
	case errors.Is(err, kv.ErrNotFound):
		return publication{known: true, uncertain: p.uncertain}
	case err != nil:
		return publication{uncertain: p.uncertain}
	}
	domains, err := decode(item.Value)
	return publication{known: true, domains: domains, revision: item.Revision, invalid: err != nil, uncertain: p.uncertain}
}

// written returns the state after a write of a set.
func (p publication) written(domains []string, revision kv.Revision, err error) publication {
	if err == nil {
		return publication{known: true, domains: domains, revision: revision}
	}
	return publication{uncertain: p.uncertain || errors.Is(err, kv.ErrOutcomeUnknown)}
}

// Publisher publishes the set of a view for one holder of the scheduler duty.
type Publisher struct {
	store   kv.Store
	fence   kv.Condition
	view    *View
	metrics *telemetry.Registry
	log     *zap.Logger
}

// NewPublisher returns a publisher whose writes fail once the fence does not hold.
func NewPublisher(store kv.Store, fence kv.Condition, view *View, metrics *telemetry.Registry, log *zap.Logger) *Publisher {
	return &Publisher{store: store, fence: fence, view: view, metrics: metrics, log: log}
}

// Run publishes the set and its changes until the context ends. The first publication is
// compared with what an earlier holder published.
func (p *Publisher) Run(ctx context.Context) error {
	var state publication
	for ctx.Err() == nil {
		domains, changed := p.view.current()
		var err error
		switch state.next(domains) {
		case stepWait:
			select {
			case <-ctx.Done():
			case <-changed:
			}
		case stepRead:
			var item kv.Item
			item, _, err = p.store.Get(ctx, Key)
			state = state.read(item, err)
			if state.known {
				err = nil
			}
		case stepWrite:
			var revision kv.Revision
			revision, err = p.write(ctx, domains, state.revision)
			state = state.written(domains, revision, err)
		}
		if err != nil && ctx.Err() == nil {
			p.log.Warn("evacuation: publishing the set failed, will retry", zap.Strings("evacuated", domains), zap.String("reason", err.Error()))
			kv.Sleep(ctx, retryDelay)
		}
	}
	return ctx.Err()
}

// write publishes a set on condition that the key still has a revision.
func (p *Publisher) write(ctx context.Context, domains []string, last kv.Revision) (kv.Revision, error) {
	data, err := encode(domains)
	if err != nil {
		return 0, Class.Wrap(err)
	}
	revision, err := p.store.Commit(ctx, kv.Txn{Conditions: []kv.Condition{p.fence, {Key: Key, Revision: last}}, Puts: []kv.Put{{Key: Key, Value: data}}})
	if err != nil {
		return 0, err
	}
	p.metrics.Inc("evacuations_published_total")
	p.log.Info("evacuation: set published", zap.Strings("evacuated", domains), zap.Int64("revision", int64(revision)))
	return revision, nil
}
