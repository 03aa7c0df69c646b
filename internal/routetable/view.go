package routetable

import (
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"cactusspoke/internal/kv"

	"go.uber.org/zap"
)

// MaxColdStart is the longest plausible time for which servers are cold after their start.
const MaxColdStart = 10 * time.Minute

// Decoder holds the store keys and the decoders of the records that the
// operator and the trainers write.
type Decoder struct {
	ConfigKey          string
	VersionPrefix      string
	RetirePrefix       string
	EvacuatePrefix     string
	DecodeConfig       func(data []byte) (*Table, error)
	DecodeModelVersion func(data []byte) (model string, version int64, err error)
}

// View holds the configuration, the latest weight versions and the nodes to
// retire, as read from the store. Versions of the configuration and of weights
// never go back.
type View struct {
	decoder  Decoder
	log      *zap.Logger
	table    atomic.Pointer[Table]
	onChange func()
	// regions are the known regions; nil if they are not checked.
	regions []string

	mu       sync.Mutex
	versions map[string]int64
	retiring map[string]bool
}

// NewView returns a view without a configuration. onChange is called after each
// update.
func NewView(decoder Decoder, log *zap.Logger, onChange func()) *View {
	return &View{decoder: decoder, log: log, onChange: onChange, versions: map[string]int64{}, retiring: map[string]bool{}}
}

// UseRegions sets the known regions. Lists of allowed regions that name none of them are
// logged when a configuration is applied. It must be called before the first configuration.
func (v *View) UseRegions(known []string) { v.regions = known }

// Table returns the current configuration; nil until the first one was read.
func (v *View) Table() *Table { return v.table.Load() }

// ForwardsTo reports whether entry instances forward requests to a service.
// Services that only run items of batch jobs get them from the scheduler.
func (v *View) ForwardsTo(service string) bool {
	t := v.Table()
	return t != nil && t.forwardedServices[service]
}

// HolderSendsTo reports whether the holder of the scheduler duty may send requests to a
// service: the items of batch jobs, or their reward calls, which go to services of routes
// whose requests may be repeated.
func (v *View) HolderSendsTo(service string) bool {
	t := v.Table()
	return t != nil && t.holderServices[service]
}

// ColdStart returns how long a server of a service may be cold after its start, 0 if never, and
// how many requests a second it takes meanwhile.
func (v *View) ColdStart(service string) (time.Duration, float64) {
	t := v.Table()
	if t == nil {
		return 0, 0
	}
	s, ok := t.services[service]
	if !ok || s.ColdStart <= 0 || s.ColdStart > MaxColdStart {
		return 0, 0
	}
	return s.ColdStart, s.ColdPerSecond
}

// HasColdServers reports whether any service has cold servers.
func (v *View) HasColdServers() bool {
	t := v.Table()
	if t == nil {
		return false
	}
	for name := range t.services {
		if start, _ := v.ColdStart(name); start > 0 {
			return true
		}
	}
	return false
}

// warnOfColdStarts logs the values for cold servers that cannot be used.
func (v *View) warnOfColdStarts(t *Table) {
	for name, s := range t.services {
		switch {
		case s.ColdStart < 0 || s.ColdStart > MaxColdStart:
			v.log.Warn("configuration: implausible time for which servers are cold ignored", zap.String("service", name), zap.Duration("cold-start", s.ColdStart))
		case s.ColdStart > 0 && s.ColdPerSecond <= 0:
			v.log.Warn("configuration: no usable rate for cold servers, they get one request a second", zap.String("service", name), zap.Float64("per-second", s.ColdPerSecond))
		}
	}
}

// WeightVersions returns the latest version of the weights that trainers published,
// by model.
func (v *View) WeightVersions() map[string]int64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	versions := make(map[string]int64, len(v.versions))
	for model, version := range v.versions {
		versions[model] = version
	}
	return versions
}

// Retiring reports whether the operator has asked to retire a node, i.e. to
// vacate its machine.
func (v *View) Retiring(node string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.retiring[node]
}

// Reset applies a complete list of records. Records that are missing keep their
// last state: versions never go back, and a node that is being retired stays
// so.
func (v *View) Reset(items []kv.Item) { v.Apply(items) }

// Apply applies changed and deleted records.
func (v *View) Apply(items []kv.Item) {
	for _, item := range items {
		v.applyItem(item)
	}
	v.onChange()
}

// Reachable does nothing: during a store outage the last configuration stays in
// effect.
func (v *View) Reachable(bool) {}

func (v *View) applyItem(item kv.Item) {
	switch {
	case item.Key == v.decoder.ConfigKey:
		if !item.Deleted {
			v.applyConfig(item)
		}
	case strings.HasPrefix(item.Key, v.decoder.VersionPrefix):
		if !item.Deleted {
			v.applyVersion(item)
		}
	case strings.HasPrefix(item.Key, v.decoder.RetirePrefix):
		v.mu.Lock()
		v.retiring[strings.TrimPrefix(item.Key, v.decoder.RetirePrefix)] = !item.Deleted
		v.mu.Unlock()
	}
}

func (v *View) applyConfig(item kv.Item) {
	table, err := v.decoder.DecodeConfig(item.Value)
	if err != nil {
		v.log.Error("configuration: cannot be decoded, keeping the last one", zap.Int64("revision", int64(item.Revision)), zap.String("reason", err.Error()))
		return
	}
	if old := v.table.Load(); old != nil && table.Version() <= old.Version() {
		return
	}
	v.table.Store(table)
	v.warnOfColdStarts(table)
	v.log.Info("configuration: applied", zap.Int64("version", table.Version()), zap.Int64("revision", int64(item.Revision)))
	for _, owner := range table.withoutRegion(v.regions) {
		v.log.Error("configuration: no allowed region is known, requests are refused", zap.Int64("version", table.Version()), zap.String("of", owner))
	}
}

func (v *View) applyVersion(item kv.Item) {
	model, version, err := v.decoder.DecodeModelVersion(item.Value)
	if err != nil || model == "" {
		v.log.Error("weights: invalid version record ignored", zap.String("key", item.Key))
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if version > v.versions[model] {
		v.versions[model] = version
		v.log.Info("weights: new version published", zap.String("model", model), zap.Int64("version", version))
	}
}
