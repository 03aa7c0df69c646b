// Package weights brings new versions of a model's weights to its engines:
// staged on all of them first, then switched on all of them at once.
package weights

import (
	"context"
	"sync"
	"time"

	"cactusspoke/internal/backendserver"
	"cactusspoke/internal/duty"
	"cactusspoke/internal/fleet"
	"cactusspoke/internal/invariant"
	"cactusspoke/internal/logs"

	"github.com/zeebo/errs"
	"go.uber.org/zap"
)

// Class prefixes the errors of this package.
var Class = errs.Class("weights")

// Limits of a change of weights.
const (
	maxStaging   = 8
	stageTimeout = 60 * time.Second
)

// Source tells the newest version of a service's weights.
type Source interface {
	Weights(ctx context.Context, address, service string) (int64, error)
}

// Engines carries orders about weights.
type Engines interface {
	Weights(ctx context.Context, server fleet.Server, action backendserver.WeightsAction, version int64, epoch uint64) error
}

// Desk orders changes of weights while the lease is held.
type Desk struct {
	address  string
	source   Source
	engines  Engines
	services func() []string
	servers  func(service string) []fleet.Server
	log      *zap.Logger

	mu     sync.Mutex
	staged map[stagedKey]int64
	active map[stagedKey]int64
}

// stagedKey is one run of one server.
type stagedKey struct {
	server      string
	incarnation uint32
}

// NewDesk returns a desk that follows the weight store at an address.
func NewDesk(address string, source Source, engines Engines, services func() []string,
	servers func(service string) []fleet.Server, log *zap.Logger,
) *Desk {
	return &Desk{address: address, source: source, engines: engines, services: services, servers: servers, log: log, staged: map[stagedKey]int64{}, active: map[stagedKey]int64{}}
}

// Act is one round of the duty.
func (d *Desk) Act(ctx context.Context, term *duty.Term) {
	for _, service := range d.services() {
		version, err := d.source.Weights(ctx, d.address, service)
		if err != nil || version == 0 {
			continue
		}
		d.change(ctx, term, service, version)
	}
}

func (d *Desk) change(ctx context.Context, term *duty.Term, service string, version int64) {
	var behind []fleet.Server
	for _, s := range d.servers(service) {
		if s.WeightVersion() < version && !d.holds(d.active, s, version) {
			behind = append(behind, s)
		}
	}
	if len(behind) == 0 {
		return
	}
	ready := d.stageAll(ctx, term, behind, version)
	startedAt := time.Now()
	done := d.each(ready, len(ready), func(s fleet.Server) error {
		d.set(d.staged, s, 0)
		if err := d.order(ctx, term, s, backendserver.ActivateWeights, version); err != nil {
			return err
		}
		d.set(d.active, s, version)
		return nil
	})
	d.log.Info("weights: version active", zap.String("service", service), zap.Int64("version", version),
		zap.Int("servers", len(done)), zap.Int("behind", len(behind)-len(done)), zap.Duration("switch", time.Since(startedAt)))
}

// stageAll loads a version on all servers, a few at a time, and returns those
// that have it. A server that fails is left out; it stays off the sample path
// through its old version.
func (d *Desk) stageAll(ctx context.Context, term *duty.Term, servers []fleet.Server, version int64) []fleet.Server {
	ctx, cancel := context.WithTimeout(ctx, stageTimeout)
	defer cancel()
	return d.each(servers, maxStaging, func(s fleet.Server) error {
		if d.holds(d.staged, s, version) {
			return nil
		}
		if err := d.order(ctx, term, s, backendserver.StageWeights, version); err != nil {
			return err
		}
		d.set(d.staged, s, version)
		return nil
	})
}

func (d *Desk) set(versions map[stagedKey]int64, s fleet.Server, version int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	versions[stagedKey{s.ID(), s.Incarnation()}] = version
}

// holds tells whether a run of a server has a version by our own orders; its
// load report may still show the version before.
func (d *Desk) holds(versions map[stagedKey]int64, s fleet.Server, version int64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return versions[stagedKey{s.ID(), s.Incarnation()}] == version
}

func (d *Desk) order(ctx context.Context, term *duty.Term, s fleet.Server, action backendserver.WeightsAction, version int64) error {
	if !term.Valid() {
		return Class.New("the lease ended")
	}
	ctx, cancel := context.WithTimeout(ctx, stageTimeout)
	defer cancel()
	invariant.Check(invariant.SingleOrders, term.Valid(), "%s of version %d without the lease", action, version)
	return d.engines.Weights(ctx, s, action, version, term.Epoch())
}

// each calls fn for all servers, limit at a time, and returns those that
// succeeded.
func (d *Desk) each(servers []fleet.Server, limit int, fn func(fleet.Server) error) []fleet.Server {
	var mu sync.Mutex
	var done []fleet.Server
	var group sync.WaitGroup
	places := make(chan struct{}, max(1, limit))
	for _, s := range servers {
		places <- struct{}{}
		group.Go(func() {
			defer func() { <-places }()
			if err := fn(s); err != nil {
				d.log.Warn("weights: server left behind", zap.String("server", s.ID()), logs.Err(err))
				return
			}
			mu.Lock()
			defer mu.Unlock()
			done = append(done, s)
		})
	}
	group.Wait()
	return done
}
