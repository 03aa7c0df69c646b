// Package step fixes which samples belong to a trainer's step. A manifest is
// put if absent, so that a step has one for ever, whoever sealed it.
package step

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"cactusspoke/internal/invariant"
	"cactusspoke/internal/store"

	"github.com/zeebo/errs"
)

// Class prefixes the errors of this package.
var Class = errs.Class("step")

// Prefix is the prefix of all steps in the store.
const Prefix = "steps/"

// ID names a step of one customer's trainer.
type ID struct {
	customer string
	number   uint64
}

// NewID returns the id of a customer's step.
func NewID(customer string, number uint64) ID { return ID{customer, number} }

// String returns the id as it stands in keys.
func (id ID) String() string { return fmt.Sprintf("%s/%012d", id.customer, id.number) }

// Number returns the step's number.
func (id ID) Number() uint64 { return id.number }

func (id ID) manifestKey() string { return Prefix + id.String() + "/manifest" }
func (id ID) ackKey() string      { return Prefix + id.String() + "/ack" }

// Entry is one sample of a manifest.
type Entry struct {
	id     string
	digest string
	oldest int64
}

// NewEntry returns an entry with the digest of the sample's body and its
// oldest weight version.
func NewEntry(id, digest string, oldest int64) Entry { return Entry{id, digest, oldest} }

// ID returns the sample's id.
func (e Entry) ID() string { return e.id }

// Digest returns the digest of the sample's body.
func (e Entry) Digest() string { return e.digest }

// Oldest returns the oldest weight version of the sample.
func (e Entry) Oldest() int64 { return e.oldest }

// Manifest is the fixed content of a step.
type Manifest struct {
	id      ID
	version int64
	bound   int64
	entries []Entry
	keepers []string
	dropped int
}

// NewManifest returns the content of a step: the trainer's weight version and
// staleness bound at sealing, the samples, the instances that keep their
// bodies, and how many samples were dropped.
func NewManifest(id ID, version, bound int64, entries []Entry, keepers []string, dropped int) *Manifest {
	return &Manifest{id, version, bound, entries, keepers, dropped}
}

// ID returns the step.
func (m *Manifest) ID() ID { return m.id }

// Bound returns the staleness bound in force when the step was sealed.
func (m *Manifest) Bound() int64 { return m.bound }

// Entries returns the samples.
func (m *Manifest) Entries() []Entry { return m.entries }

// Keepers returns the instances that keep the bodies.
func (m *Manifest) Keepers() []string { return m.keepers }

// Dropped returns how many finished samples were left out.
func (m *Manifest) Dropped() int { return m.dropped }

type entryWire struct {
	ID     string `json:"id"`
	Digest string `json:"digest"`
	Oldest int64  `json:"oldest-version"`
}

type manifestWire struct {
	Version int64       `json:"weight-version"`
	Bound   int64       `json:"staleness-bound"`
	Entries []entryWire `json:"samples"`
	Keepers []string    `json:"keepers"`
	Dropped int         `json:"dropped"`
}

func encode(m *Manifest) []byte {
	wire := manifestWire{Version: m.version, Bound: m.bound, Keepers: m.keepers, Dropped: m.dropped}
	for _, e := range m.entries {
		wire.Entries = append(wire.Entries, entryWire{e.id, e.digest, e.oldest})
	}
	data, err := json.Marshal(wire)
	if err != nil {
		panic(err)
	}
	return data
}

func decode(id ID, data []byte) (*Manifest, error) {
	var wire manifestWire
	if err := json.Unmarshal(data, &wire); err != nil {
		return nil, Class.Wrap(err)
	}
	m := &Manifest{id: id, version: wire.Version, bound: wire.Bound, keepers: wire.Keepers, dropped: wire.Dropped}
	for _, w := range wire.Entries {
		m.entries = append(m.entries, Entry{w.ID, w.Digest, w.Oldest})
	}
	return m, nil
}

// Registry reads and writes manifests in the store.
type Registry struct {
	client store.Client
}

// NewRegistry returns a registry.
func NewRegistry(client store.Client) *Registry { return &Registry{client: client} }

// Seal fixes a step's content, and returns the manifest that stands: this one
// or the one that was first.
func (r *Registry) Seal(ctx context.Context, m *Manifest) (*Manifest, error) {
	check(m)
	_, err := r.client.Put(store.WithPriority(ctx, store.PrioritySeal), m.id.manifestKey(), encode(m), 0)
	if err == nil {
		return m, nil
	}
	if !errors.Is(err, store.ErrConflict) {
		return nil, Class.Wrap(err)
	}
	standing, err := r.Manifest(ctx, m.id)
	if err != nil {
		return nil, err
	}
	if standing == nil {
		return nil, Class.New("step %s is neither sealed nor free", m.id)
	}
	return standing, nil
}

func check(m *Manifest) {
	seen := map[string]bool{}
	for _, e := range m.entries {
		invariant.Check(invariant.SampleOnce, !seen[e.id], "sample %s stands twice in step %s", e.id, m.id)
		seen[e.id] = true
		invariant.Check(invariant.SampleStaleness, e.oldest >= m.version-m.bound,
			"sample %s of version %d is sealed at version %d", e.id, e.oldest, m.version)
	}
}

// Manifest returns a step's manifest; nil means that it is not sealed.
func (r *Registry) Manifest(ctx context.Context, id ID) (*Manifest, error) {
	record, err := r.client.Get(store.WithPriority(ctx, store.PrioritySeal), id.manifestKey())
	if err != nil {
		return nil, Class.Wrap(err)
	}
	if record.Revision() == 0 {
		return nil, nil
	}
	return decode(id, record.Value())
}

// Acknowledge notes that the trainer has the step. Doing so again is harmless.
func (r *Registry) Acknowledge(ctx context.Context, id ID) error {
	_, err := r.client.Put(store.WithPriority(ctx, store.PrioritySeal), id.ackKey(), []byte("acknowledged"), 0)
	if errors.Is(err, store.ErrConflict) {
		return nil
	}
	return Class.Wrap(err)
}

// Acknowledged tells whether the trainer has the step.
func (r *Registry) Acknowledged(ctx context.Context, id ID) (bool, error) {
	record, err := r.client.Get(store.WithPriority(ctx, store.PrioritySeal), id.ackKey())
	if err != nil {
		return false, Class.Wrap(err)
	}
	return record.Revision() != 0, nil
}
