package routetable

import (
	"strings"
	"sync"
	"sync/atomic"

	"cactusspoke/internal/kv"

	"go.uber.org/zap"
)

// Decoder reads what the operator and the trainers wrote.
type Decoder struct {
	ConfigKey     string
	VersionPrefix string
	RetirePrefix  string
	Config        func(data []byte) (*Table, error)
	NamedVersion  func(data []byte) (model string, version int64, err error)
}

// View is what the operator and the trainers asked for last. Versions of the
// configuration and of weights only go up.
type View struct {
	decode  Decoder
	log     *zap.Logger
	table   atomic.Pointer[Table]
	changed func()

	mu       sync.Mutex
	versions map[string]int64
	retiring map[string]bool
}

// NewView returns a view that knows no configuration yet.
func NewView(decode Decoder, log *zap.Logger, changed func()) *View {
	return &View{decode: decode, log: log, changed: changed, versions: map[string]int64{}, retiring: map[string]bool{}}
}

// Table returns the configuration in force; nil before the first.
func (v *View) Table() *Table { return v.table.Load() }

// Forwarded tells whether entry instances send requests to a service: items
// of jobs are sent by the scheduler.
func (v *View) Forwarded(service string) bool {
	t := v.Table()
	return t != nil && t.forwarded[service]
}

// Versions returns the version of the weights that was named last, by model.
func (v *View) Versions() map[string]int64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	out := make(map[string]int64, len(v.versions))
	for model, version := range v.versions {
		out[model] = version
	}
	return out
}

// Retiring tells whether the operator wants a machine emptied.
func (v *View) Retiring(node string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.retiring[node]
}

// Reset takes in everything below a prefix. What is missing stays as it was:
// versions only go up, and a machine that is to be emptied is emptied once.
func (v *View) Reset(items []kv.Item) { v.Apply(items) }

// Apply takes in changes.
func (v *View) Apply(items []kv.Item) {
	for _, item := range items {
		v.take(item)
	}
	v.changed()
}

// Reachable is part of kv.View; the last configuration stays in force.
func (v *View) Reachable(bool) {}

func (v *View) take(item kv.Item) {
	switch {
	case item.Key == v.decode.ConfigKey:
		if !item.Deleted {
			v.takeConfig(item)
		}
	case strings.HasPrefix(item.Key, v.decode.VersionPrefix):
		if !item.Deleted {
			v.takeVersion(item)
		}
	case strings.HasPrefix(item.Key, v.decode.RetirePrefix):
		v.mu.Lock()
		v.retiring[strings.TrimPrefix(item.Key, v.decode.RetirePrefix)] = !item.Deleted
		v.mu.Unlock()
	}
}

func (v *View) takeConfig(item kv.Item) {
	table, err := v.decode.Config(item.Value)
	if err != nil {
		v.log.Error("configuration: unreadable, the last one stays in force", zap.Int64("revision", int64(item.Revision)), zap.String("reason", err.Error()))
		return
	}
	if old := v.table.Load(); old != nil && table.Version() <= old.Version() {
		return
	}
	v.table.Store(table)
	v.log.Info("configuration: in force", zap.Int64("version", table.Version()), zap.Int64("revision", int64(item.Revision)))
}

func (v *View) takeVersion(item kv.Item) {
	model, version, err := v.decode.NamedVersion(item.Value)
	if err != nil || model == "" {
		v.log.Error("weights: unreadable version ignored", zap.String("key", item.Key))
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if version > v.versions[model] {
		v.versions[model] = version
		v.log.Info("weights: version named", zap.String("model", model), zap.Int64("version", version))
	}
}
