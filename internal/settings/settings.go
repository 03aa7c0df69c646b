// Package settings reads and validates the JSON settings of one instance.
package settings

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"sort"
	"strings"
	"time"

	"github.com/zeebo/errs"
)

// Class prefixes the errors of this package.
var Class = errs.Class("settings")

// Settings are the validated settings of one instance.
type Settings struct {
	instance         string
	region           string
	failureDomain    string
	callersAddress   string
	peersAddress     string
	operatorsAddress string
	storeAddress     string
	storeTimeout     time.Duration
	storeCalls       float64
	instancesAddress string
	ordersAddress    string
	usageAddress     string
	weightsAddress   string
	digestSecret     []byte
	dataFolder       string
	leaseTTL         time.Duration
	leaseMargin      time.Duration
	usageWindow      time.Duration
	keepTime         time.Duration
	drainWait        time.Duration
	logLevel         string
	traceFile        string
	resendWindow     time.Duration
	orderPeriod      time.Duration
	maxServers       int
}

func (s *Settings) Instance() string { return s.instance }

// Region returns the region the instance runs in.
func (s *Settings) Region() string { return s.region }

// FailureDomain returns the failure domain the instance runs in.
func (s *Settings) FailureDomain() string { return s.failureDomain }

// CallersAddress returns the listen address for callers and trainers.
func (s *Settings) CallersAddress() string { return s.callersAddress }

// PeersAddress returns the listen address for other instances.
func (s *Settings) PeersAddress() string { return s.peersAddress }

// OperatorsAddress returns the listen address for operators.
func (s *Settings) OperatorsAddress() string { return s.operatorsAddress }

// StoreAddress returns the address of the platform's key-value service.
func (s *Settings) StoreAddress() string { return s.storeAddress }

// StoreTimeout returns the timeout of one call to the store.
func (s *Settings) StoreTimeout() time.Duration { return s.storeTimeout }

// StoreCallsPerSecond returns the maximum number of store calls per second by this
// instance.
func (s *Settings) StoreCallsPerSecond() float64 { return s.storeCalls }

// InstancesAddress returns the address of the platform's instance list.
func (s *Settings) InstancesAddress() string { return s.instancesAddress }

// OrdersAddress returns the address of the platform's order interface.
func (s *Settings) OrdersAddress() string { return s.ordersAddress }

// UsageAddress returns the address of the platform's usage interface.
func (s *Settings) UsageAddress() string { return s.usageAddress }

// WeightsAddress returns the address of the weight store.
func (s *Settings) WeightsAddress() string { return s.weightsAddress }

// DigestSecret returns the secret for the keyed hash of callers' keys.
func (s *Settings) DigestSecret() []byte { return s.digestSecret }

// DataFolder returns the folder for sample data. It is empty on instances
// without a disk.
func (s *Settings) DataFolder() string { return s.dataFolder }

// LeaseTTL returns the lifetime of a duty's lease without renewal.
func (s *Settings) LeaseTTL() time.Duration { return s.leaseTTL }

// LeaseMargin returns the time before a lease expires at which its holder stops
// acting.
func (s *Settings) LeaseMargin() time.Duration { return s.leaseMargin }

// UsageWindow returns the length of a usage window.
func (s *Settings) UsageWindow() time.Duration { return s.usageWindow }

// KeepTime returns how long callers may cache the list of entry instances.
func (s *Settings) KeepTime() time.Duration { return s.keepTime }

// DrainWait returns the maximum time to wait for running requests on shutdown.
func (s *Settings) DrainWait() time.Duration { return s.drainWait }

// LogLevel returns the minimum level of log messages.
func (s *Settings) LogLevel() string { return s.logLevel }

// TraceFile returns the file for trace spans, or an empty string if tracing is
// disabled.
func (s *Settings) TraceFile() string { return s.traceFile }

// ResendWindow returns how long an idempotency key is retained.
func (s *Settings) ResendWindow() time.Duration { return s.resendWindow }

// OrderPeriod returns the interval between backend server order plans.
func (s *Settings) OrderPeriod() time.Duration { return s.orderPeriod }

// MaxServers returns the maximum number of backend servers ordered per service
// and failure domain.
func (s *Settings) MaxServers() int { return s.maxServers }

// Load reads and validates a settings file. The error lists every invalid field
// with its JSON path.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, Class.Wrap(err)
	}
	return Parse(data)
}

// Parse decodes and validates settings in JSON.
func Parse(data []byte) (*Settings, error) {
	var tree map[string]any
	if err := json.Unmarshal(data, &tree); err != nil {
		return nil, Class.New("not a JSON object: %w", err)
	}
	values := map[string]any{}
	flatten("", tree, values)
	s := &Settings{}
	problems := unknownFields(values)
	for _, o := range options {
		if err := o.apply(s, values); err != nil {
			problems = append(problems, o.path+": "+err.Error())
		}
	}
	problems = append(problems, s.crossFieldErrors()...)
	if len(problems) > 0 {
		return nil, Class.Wrap(errors.New(strings.Join(problems, "; ")))
	}
	return s, nil
}

// crossFieldErrors returns the errors that involve more than one field.
func (s *Settings) crossFieldErrors() []string {
	var problems []string
	if s.leaseTTL > 0 && 2*s.leaseMargin >= s.leaseTTL {
		problems = append(problems, "duties.lease-margin: must be less than half of duties.lease-ttl")
	}
	seen := map[string]string{}
	for _, a := range []struct{ path, address string }{
		{"callers.address", s.callersAddress},
		{"peers.address", s.peersAddress},
		{"operators.address", s.operatorsAddress},
	} {
		if other, ok := seen[a.address]; ok && a.address != "" {
			problems = append(problems, a.path+": is the same address as "+other)
		}
		seen[a.address] = a.path
	}
	return problems
}

// flatten stores the leaves of a JSON object in out under their dotted paths.
func flatten(prefix string, tree map[string]any, out map[string]any) {
	for name, v := range tree {
		path := prefix + name
		if sub, ok := v.(map[string]any); ok {
			flatten(path+".", sub, out)
			continue
		}
		out[path] = v
	}
}

func unknownFields(values map[string]any) []string {
	known := map[string]bool{}
	for _, o := range options {
		known[o.path] = true
	}
	var problems []string
	for path := range values {
		if !known[path] {
			problems = append(problems, path+": unknown field")
		}
	}
	sort.Strings(problems)
	return problems
}

// Describe returns one line per option with its path, type, default and
// description.
func Describe() []string {
	lines := make([]string, 0, len(options))
	for _, o := range options {
		defaultValue := o.defaultValue
		if o.required {
			defaultValue = "required"
		}
		lines = append(lines, fmt.Sprintf("%-26s %-10s %-10s %s", o.path, o.valueType, defaultValue, o.description))
	}
	return lines
}
