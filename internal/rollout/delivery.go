package rollout

import (
	"context"
	"time"

	"cactusspoke/internal/failure"
	"cactusspoke/internal/invariant"
	"cactusspoke/internal/logs"
	"cactusspoke/internal/sample"
	"cactusspoke/internal/step"

	"go.uber.org/zap"
)

// Delivery holds the samples of a sealed step that are returned to the trainer.
type Delivery struct {
	manifest   *step.Manifest
	bodies     [][]byte
	staleCount int
}

// EncodedSamples returns the encoded samples in manifest order.
func (d *Delivery) EncodedSamples() [][]byte { return d.bodies }

// StaleCount returns the number of sealed samples left out because they exceed the
// staleness bound at the trainer's current weight version.
func (d *Delivery) StaleCount() int { return d.staleCount }

// DroppedCount returns the number of samples discarded before the step was sealed.
func (d *Delivery) DroppedCount() int { return d.manifest.DroppedCount() }

// Deliver returns the samples of a sealed step. version is the trainer's
// current weight version; samples too stale for it are left out and counted.
func (d *Driver) Deliver(ctx context.Context, id step.ID, version int64) (*Delivery, error) {
	acknowledged, err := d.registry.Acknowledged(ctx, id)
	if err != nil {
		return nil, failure.New(failure.StoreUnavailable, "%w", err)
	}
	if acknowledged {
		return nil, failure.New(failure.StepAcknowledged, "step %s was acknowledged", id)
	}
	manifest, err := d.registry.Manifest(ctx, id)
	if err != nil {
		return nil, failure.New(failure.StoreUnavailable, "%w", err)
	}
	if manifest == nil {
		return nil, d.unsealedError(id)
	}
	bodies, err := d.fetchBodies(ctx, manifest)
	if err != nil {
		return nil, err
	}
	return newDelivery(manifest, bodies, version)
}

// unsealedError returns StepPending for a step that is still running here and
// StepUnknown otherwise.
func (d *Driver) unsealedError(id step.ID) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, ok := d.steps[id]; ok {
		return failure.New(failure.StepPending, "step %s is running", id)
	}
	return failure.New(failure.StepUnknown, "step %s is not open here; open it again", id)
}

// newDelivery collects the sample bodies in manifest order, skips stale samples
// and fails when a body is missing.
func newDelivery(m *step.Manifest, bodies map[string][]byte, version int64) (*Delivery, error) {
	delivery := &Delivery{manifest: m}
	for _, e := range m.Entries() {
		if e.OldestVersion() < version-m.StalenessBound() {
			delivery.staleCount++
			continue
		}
		body, ok := bodies[e.Digest()]
		if !ok {
			return nil, failure.New(failure.KeepersUnavailable, "sample %s cannot be read at present", e.ID())
		}
		invariant.Check(invariant.SampleStaleness, e.OldestVersion() >= version-m.StalenessBound(), "sample %s exceeds the staleness bound", e.ID())
		delivery.bodies = append(delivery.bodies, body)
	}
	return delivery, nil
}

// fetchBodies reads the sample bodies from the manifest's replicas in turn,
// asking each one only for the bodies that are still missing. Bodies that don't
// match their digest are discarded.
func (d *Driver) fetchBodies(ctx context.Context, m *step.Manifest) (map[string][]byte, error) {
	bodies := map[string][]byte{}
	for _, name := range m.Replicas() {
		var missing []string
		for _, e := range m.Entries() {
			if _, ok := bodies[e.Digest()]; !ok {
				missing = append(missing, e.Digest())
			}
		}
		if len(missing) == 0 {
			return bodies, nil
		}
		address, ok := d.peerAddress(name)
		if !ok {
			continue
		}
		received, err := d.clients.GetSamples(ctx, address, m.ID().String(), missing)
		if err != nil {
			d.log.Info("rollout: cannot read samples from replica", zap.String("keeper", name), logs.Err(err))
			continue
		}
		for digest, body := range received {
			if sample.Digest(body) == digest {
				bodies[digest] = body
			}
		}
	}
	return bodies, nil
}

// peerAddress returns the peer address of a live instance, including this one.
func (d *Driver) peerAddress(name string) (string, bool) {
	self := d.members.Self()
	if name == self.Name() {
		return self.PeersAddress(), true
	}
	for _, m := range d.members.Others(time.Now()) {
		if m.Name() == name {
			return m.PeersAddress(), true
		}
	}
	return "", false
}

// Acknowledge records that the trainer has received a step, and removes the
// step from this instance.
func (d *Driver) Acknowledge(ctx context.Context, id step.ID) error {
	manifest, err := d.registry.Manifest(ctx, id)
	if err != nil {
		return failure.New(failure.StoreUnavailable, "%w", err)
	}
	if manifest == nil {
		return failure.New(failure.StepUnknown, "step %s is not sealed", id)
	}
	if err := d.registry.Acknowledge(ctx, id); err != nil {
		return failure.New(failure.StoreUnavailable, "%w", err)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.steps, id)
	return nil
}
