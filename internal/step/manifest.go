// Package step stores manifests, which list the samples of a training step. A
// manifest is written only if the step has none, so it never changes even when
// several instances seal the same step.
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

// Class is the error class of this package.
var Class = errs.Class("step")

// KeyPrefix is the key prefix of all steps in the store.
const KeyPrefix = "steps/"

// ID identifies a training step by its customer and number.
type ID struct {
	customer string
	number   uint64
}

func NewID(customer string, number uint64) ID { return ID{customer, number} }

// String returns the form of the id used in store keys.
func (id ID) String() string { return fmt.Sprintf("%s/%012d", id.customer, id.number) }

func (id ID) Number() uint64 { return id.number }

func (id ID) manifestKey() string { return KeyPrefix + id.String() + "/manifest" }
func (id ID) ackKey() string      { return KeyPrefix + id.String() + "/ack" }

// Entry is a sample listed in a manifest.
type Entry struct {
	id            string
	digest        string
	oldestVersion int64
}

// NewEntry returns an entry. digest is the digest of the sample's encoded body,
// oldest the oldest weight version that generated any of its tokens.
func NewEntry(id, digest string, oldest int64) Entry { return Entry{id, digest, oldest} }

func (e Entry) ID() string { return e.id }

// Digest returns the digest of the sample's encoded body.
func (e Entry) Digest() string { return e.digest }

// OldestVersion returns the oldest weight version that generated any of the sample's
// tokens.
func (e Entry) OldestVersion() int64 { return e.oldestVersion }

// Manifest is the immutable list of the samples of a sealed step.
type Manifest struct {
	id             ID
	trainerVersion int64
	stalenessBound int64
	entries        []Entry
	replicas       []string
	droppedCount   int
}

// NewManifest returns a manifest. version and bound are the trainer's weight
// version and the staleness bound at sealing, replicas the instances that store
// the sample bodies, and dropped the number of discarded samples.
func NewManifest(id ID, version, bound int64, entries []Entry, replicas []string, dropped int) *Manifest {
	return &Manifest{id, version, bound, entries, replicas, dropped}
}

func (m *Manifest) ID() ID { return m.id }

// StalenessBound returns the staleness bound, in weight versions, at sealing.
func (m *Manifest) StalenessBound() int64 { return m.stalenessBound }

func (m *Manifest) Entries() []Entry { return m.entries }

// Replicas returns the names of the instances that store the sample bodies.
func (m *Manifest) Replicas() []string { return m.replicas }

// DroppedCount returns the number of generated samples that were discarded.
func (m *Manifest) DroppedCount() int { return m.droppedCount }

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
	wire := manifestWire{Version: m.trainerVersion, Bound: m.stalenessBound, Keepers: m.replicas, Dropped: m.droppedCount}
	for _, e := range m.entries {
		wire.Entries = append(wire.Entries, entryWire{e.id, e.digest, e.oldestVersion})
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
	m := &Manifest{
		id: id, trainerVersion: wire.Version, stalenessBound: wire.Bound,
		replicas: wire.Keepers, droppedCount: wire.Dropped,
	}
	for _, w := range wire.Entries {
		m.entries = append(m.entries, Entry{w.ID, w.Digest, w.Oldest})
	}
	return m, nil
}

// Registry reads and writes manifests in the store.
type Registry struct {
	client store.Client
}

func NewRegistry(client store.Client) *Registry { return &Registry{client: client} }

// Seal stores the manifest of a step unless the step already has one. It returns
// the stored manifest: m, or the one that another instance stored first.
func (r *Registry) Seal(ctx context.Context, m *Manifest) (*Manifest, error) {
	checkInvariants(m)
	_, err := r.client.Put(store.WithPriority(ctx, store.PrioritySeal), m.id.manifestKey(), encode(m), 0)
	if err == nil {
		return m, nil
	}
	if !errors.Is(err, store.ErrConflict) {
		return nil, Class.Wrap(err)
	}
	existing, err := r.Manifest(ctx, m.id)
	if err != nil {
		return nil, err
	}
	if existing == nil {
		return nil, Class.New("write conflict on the manifest of step %s, but no manifest is stored", m.id)
	}
	return existing, nil
}

// checkInvariants fails an invariant if a sample is listed twice or exceeds the
// staleness bound.
func checkInvariants(m *Manifest) {
	seen := map[string]bool{}
	for _, e := range m.entries {
		invariant.Check(invariant.SampleOnce, !seen[e.id], "sample %s is listed twice in step %s", e.id, m.id)
		seen[e.id] = true
		invariant.Check(invariant.SampleStaleness, e.oldestVersion >= m.trainerVersion-m.stalenessBound,
			"sample %s with oldest version %d is too stale at trainer version %d", e.id, e.oldestVersion, m.trainerVersion)
	}
}

// Manifest returns the manifest of a step, or nil if the step is not sealed.
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

// Acknowledge records that the trainer has received the step. It is idempotent.
func (r *Registry) Acknowledge(ctx context.Context, id ID) error {
	_, err := r.client.Put(store.WithPriority(ctx, store.PrioritySeal), id.ackKey(), []byte("acknowledged"), 0)
	if errors.Is(err, store.ErrConflict) {
		return nil
	}
	return Class.Wrap(err)
}

// Acknowledged reports whether the trainer has received the step.
func (r *Registry) Acknowledged(ctx context.Context, id ID) (bool, error) {
	record, err := r.client.Get(store.WithPriority(ctx, store.PrioritySeal), id.ackKey())
	if err != nil {
		return false, Class.Wrap(err)
	}
	return record.Revision() != 0, nil
}
