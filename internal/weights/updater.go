// Package weights updates engines to new versions of a model's weights. It stages a
// version on all engines of a service, and then activates it on all of them at the
// same time.
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

const (
	maxConcurrentStaging = 8 // servers
	// stageTimeout limits the staging on all servers of a service, and each action on
	// one server.
	stageTimeout = 60 * time.Second
)

// VersionSource returns the newest version of a service's weights, or 0 if there is none.
type VersionSource interface {
	Weights(ctx context.Context, address, service string) (int64, error)
}

// EngineClient sends actions on weights to engines.
type EngineClient interface {
	Weights(ctx context.Context, server fleet.Server, action backendserver.WeightsAction, version int64, epoch uint64) error
}

// Updater updates the weights of all services while its instance holds the duty.
type Updater struct {
	address  string
	source   VersionSource
	engines  EngineClient
	services func() []string
	servers  func(service string) []fleet.Server
	log      *zap.Logger

	mu     sync.Mutex
	staged map[serverRun]int64
	active map[serverRun]int64
}

// serverRun is one run of a server. The incarnation changes when the server restarts.
type serverRun struct {
	server      string
	incarnation uint32
}

// NewUpdater returns an updater that gets the versions from the weight store at
// address.
func NewUpdater(address string, source VersionSource, engines EngineClient, services func() []string,
	servers func(service string) []fleet.Server, log *zap.Logger,
) *Updater {
	return &Updater{address: address, source: source, engines: engines, services: services, servers: servers, log: log, staged: map[serverRun]int64{}, active: map[serverRun]int64{}}
}

// Update updates the servers that do not have the newest version of their service.
func (u *Updater) Update(ctx context.Context, term *duty.Term) {
	for _, service := range u.services() {
		version, err := u.source.Weights(ctx, u.address, service)
		if err != nil || version == 0 {
			continue
		}
		u.updateService(ctx, term, service, version)
	}
}

// updateService stages a version on the servers of a service that have an older one,
// and activates it on those where staging succeeded. The next call tries the others
// again, and stages again the servers whose activation failed.
func (u *Updater) updateService(ctx context.Context, term *duty.Term, service string, version int64) {
	var outdated []fleet.Server
	for _, s := range u.servers(service) {
		if s.WeightVersion() < version && !u.isAt(u.active, s, version) {
			outdated = append(outdated, s)
		}
	}
	if len(outdated) == 0 {
		return
	}
	staged := u.stageAll(ctx, term, outdated, version)
	switchStart := time.Now()
	succeeded := u.forEach(staged, len(staged), func(s fleet.Server) error {
		u.setVersion(u.staged, s, 0)
		if err := u.sendAction(ctx, term, s, backendserver.ActivateWeights, version); err != nil {
			return err
		}
		u.setVersion(u.active, s, version)
		return nil
	})
	u.log.Info("weights: version active", zap.String("service", service), zap.Int64("version", version),
		zap.Int("servers", len(succeeded)), zap.Int("behind", len(outdated)-len(succeeded)), zap.Duration("switch", time.Since(switchStart)))
}

// stageAll stages a version on all servers, at most maxConcurrentStaging at a time,
// and returns those that have it. A server that fails is left out. It gets no sample
// requests, because it keeps its old version.
func (u *Updater) stageAll(ctx context.Context, term *duty.Term, servers []fleet.Server, version int64) []fleet.Server {
	ctx, cancel := context.WithTimeout(ctx, stageTimeout)
	defer cancel()
	return u.forEach(servers, maxConcurrentStaging, func(s fleet.Server) error {
		if u.isAt(u.staged, s, version) {
			return nil
		}
		if err := u.sendAction(ctx, term, s, backendserver.StageWeights, version); err != nil {
			return err
		}
		u.setVersion(u.staged, s, version)
		return nil
	})
}

// setVersion sets the version of the current run of a server.
func (u *Updater) setVersion(versions map[serverRun]int64, s fleet.Server, version int64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	versions[serverRun{s.ID(), s.Incarnation()}] = version
}

// isAt reports whether this instance has set the version for the current run of a
// server. The server's last load report may still show the version before.
func (u *Updater) isAt(versions map[serverRun]int64, s fleet.Server, version int64) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return versions[serverRun{s.ID(), s.Incarnation()}] == version
}

// sendAction sends an action to a server if the lease is still held.
func (u *Updater) sendAction(ctx context.Context, term *duty.Term, s fleet.Server, action backendserver.WeightsAction, version int64) error {
	if !term.Valid() {
		return Class.New("the lease ended before the action was sent")
	}
	ctx, cancel := context.WithTimeout(ctx, stageTimeout)
	defer cancel()
	invariant.Check(invariant.SingleOrders, term.Valid(), "%s of version %d sent without the lease", action, version)
	return u.engines.Weights(ctx, s, action, version, term.Epoch())
}

// forEach calls fn for all servers, at most limit at a time, and returns the servers
// for which it succeeded.
func (u *Updater) forEach(servers []fleet.Server, limit int, fn func(fleet.Server) error) []fleet.Server {
	var mu sync.Mutex
	var succeeded []fleet.Server
	var group sync.WaitGroup
	slots := make(chan struct{}, max(1, limit))
	for _, s := range servers {
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
			if err := fn(s); err != nil {
				u.log.Warn("weights: cannot update server, will retry", zap.String("server", s.ID()), logs.Err(err))
				return
			}
			mu.Lock()
			defer mu.Unlock()
			succeeded = append(succeeded, s)
		})
	}
	group.Wait()
	return succeeded
}
