package evacuation

import (
	"encoding/json"
	"slices"

	"cactusspoke/internal/kv"
	"cactusspoke/internal/telemetry"

	"github.com/zeebo/errs"
	"go.uber.org/zap"
)

// Class is the error class of this package.
var Class = errs.Class("evacuation")

const (
	// Key is the store key of the published set. It has no lease, so that the set stays in
	// effect while no node holds the duty.
	Key = "cluster/entry-evacuations"
	// maxPublished bounds the domains of a published set that is believed.
	maxPublished = 4096
)

// wireSet is the published set.
type wireSet struct {
	Domains []string `json:"evacuated-domains"`
}

func encode(domains []string) ([]byte, error) { return json.Marshal(wireSet{domains}) }

// decode returns the domains of a published set, sorted.
func decode(data []byte) ([]string, error) {
	var wire wireSet
	if err := json.Unmarshal(data, &wire); err != nil {
		return nil, Class.Wrap(err)
	}
	if wire.Domains == nil {
		return nil, Class.New("the set of domains is missing")
	}
	if len(wire.Domains) > maxPublished {
		return nil, Class.New("%d domains", len(wire.Domains))
	}
	domains := slices.Clone(wire.Domains)
	slices.Sort(domains)
	return slices.Compact(domains), nil
}

// PublishedView is a view of the published set that passes it on. A value that cannot be
// read leaves the last set in effect.
type PublishedView struct {
	apply   func(domains []string)
	metrics *telemetry.Registry
	log     *zap.Logger
}

// NewPublishedView returns a view that passes each set to apply.
func NewPublishedView(apply func(domains []string), metrics *telemetry.Registry, log *zap.Logger) *PublishedView {
	return &PublishedView{apply: apply, metrics: metrics, log: log}
}

// Reset replaces the set; items is empty if none was published.
func (v *PublishedView) Reset(items []kv.Item) {
	if len(items) == 0 {
		v.set(nil)
		return
	}
	v.Apply(items)
}

// Apply applies a change of the published set.
func (v *PublishedView) Apply(events []kv.Item) {
	for _, e := range events {
		if e.Key != Key {
			continue
		}
		if e.Deleted {
			v.set(nil)
			continue
		}
		domains, err := decode(e.Value)
		if err != nil {
			v.metrics.Inc("invalid_evacuations_total")
			v.log.Error("evacuation: cannot decode the published set, keeping the last one", zap.String("reason", err.Error()))
			continue
		}
		v.set(domains)
	}
}

// Reachable does nothing: during a store outage the last set stays in effect.
func (v *PublishedView) Reachable(bool) {}

func (v *PublishedView) set(domains []string) {
	v.metrics.SetGauge("evacuated_domains", int64(len(domains)))
	v.apply(domains)
}
