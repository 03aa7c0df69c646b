package node

import (
	"cactusspoke/internal/evacuation"
	"cactusspoke/internal/kv"
	"cactusspoke/internal/pool"

	"go.uber.org/zap"
)

// followEvacuations keeps the operator's evacuations up to date, if the deployment has them.
// All schedulers do so, so that a new duty holder has them at once.
func (n *Scheduler) followEvacuations(components *componentGroup, store kv.Store) {
	if n.settings.EvacuateWithin == 0 {
		return
	}
	prefix := n.adapter.Decoder.EvacuatePrefix
	n.evacuations = evacuation.NewView(prefix, n.settings.FailureDomains, n.log, n.applyEvacuations)
	n.log.Info("evacuation: enabled", zap.Duration("bound", n.settings.EvacuateWithin))
	components.start("evacuations", kv.NewFollower(store, prefix, 0, n.evacuations, n.log).Run)
}

// knowsEvacuations reports whether the evacuations were read, if the deployment has them.
func (n *Scheduler) knowsEvacuations() bool { return n.evacuations == nil || n.evacuations.Complete() }

// applyEvacuations passes the evacuations to the pool of the current term.
func (n *Scheduler) applyEvacuations() {
	n.evacuating.Lock()
	defer n.evacuating.Unlock()
	current := n.pool.Load()
	if n.evacuations == nil || current == nil {
		return
	}
	domains := n.evacuations.Domains()
	n.metrics.SetGauge("evacuated_domains", int64(len(domains)))
	current.SetEvacuated(domains)
}

// beginEvacuations passes the evacuations to the pool of a new term, and the ends of those that
// ended lately: the pool of the earlier holder was told of them, this one was not.
func (n *Scheduler) beginEvacuations(serverPool *pool.Pool) {
	n.evacuating.Lock()
	defer n.evacuating.Unlock()
	n.pool.Store(serverPool)
	if n.evacuations == nil {
		return
	}
	domains := n.evacuations.Domains()
	if ended := n.evacuations.EndedLately(); len(ended) > 0 {
		serverPool.SetEvacuated(append(ended, domains...))
	}
	serverPool.SetEvacuated(domains)
}

// publishEvacuations publishes the evacuations for the entry instances during a term.
func (n *Scheduler) publishEvacuations(components *componentGroup, store kv.Store, fence kv.Condition) {
	if n.evacuations == nil {
		return
	}
	components.start("evacuations", evacuation.NewPublisher(store, fence, n.evacuations, n.metrics, n.log).Run)
}

// logWarnings logs the invalid optional fields of the settings.
func (s *Settings) logWarnings(log *zap.Logger) {
	for _, warning := range s.Warnings {
		log.Warn("settings: invalid field", zap.String("reason", warning))
	}
}
