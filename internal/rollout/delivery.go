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

// Delivery is a sealed step as a trainer gets it.
type Delivery struct {
	manifest *step.Manifest
	bodies   [][]byte
	stale    int
}

// Bodies returns the encoded samples in the manifest's order.
func (d *Delivery) Bodies() [][]byte { return d.bodies }

// Stale returns how many sealed samples have since become too old.
func (d *Delivery) Stale() int { return d.stale }

// Dropped returns how many samples were left out at sealing.
func (d *Delivery) Dropped() int { return d.manifest.Dropped() }

// Deliver returns a sealed step. version is the trainer's version now; what
// is too old for it is left out and counted.
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
		return nil, d.unsealed(id)
	}
	found, err := d.fetch(ctx, manifest)
	if err != nil {
		return nil, err
	}
	return assemble(manifest, found, version)
}

func (d *Driver) unsealed(id step.ID) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, ok := d.runs[id]; ok {
		return failure.New(failure.StepPending, "step %s is running", id)
	}
	return failure.New(failure.StepUnknown, "step %s is not open here; open it again", id)
}

func assemble(m *step.Manifest, found map[string][]byte, version int64) (*Delivery, error) {
	out := &Delivery{manifest: m}
	for _, e := range m.Entries() {
		if e.Oldest() < version-m.Bound() {
			out.stale++
			continue
		}
		body, ok := found[e.Digest()]
		if !ok {
			return nil, failure.New(failure.KeepersUnavailable, "sample %s cannot be read at present", e.ID())
		}
		invariant.Check(invariant.SampleStaleness, e.Oldest() >= version-m.Bound(), "sample %s is too old", e.ID())
		out.bodies = append(out.bodies, body)
	}
	return out, nil
}

// fetch reads the bodies from the keepers, the next one for what is missing.
func (d *Driver) fetch(ctx context.Context, m *step.Manifest) (map[string][]byte, error) {
	found := map[string][]byte{}
	for _, name := range m.Keepers() {
		var missing []string
		for _, e := range m.Entries() {
			if _, ok := found[e.Digest()]; !ok {
				missing = append(missing, e.Digest())
			}
		}
		if len(missing) == 0 {
			return found, nil
		}
		address, ok := d.addressOf(name)
		if !ok {
			continue
		}
		got, err := d.clients.GetSamples(ctx, address, m.ID().String(), missing)
		if err != nil {
			d.log.Info("rollout: keeper not read", zap.String("keeper", name), logs.Err(err))
			continue
		}
		for digest, body := range got {
			if sample.Digest(body) == digest {
				found[digest] = body
			}
		}
	}
	return found, nil
}

func (d *Driver) addressOf(name string) (string, bool) {
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

// Acknowledge notes that the trainer has a step.
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
	delete(d.runs, id)
	return nil
}
