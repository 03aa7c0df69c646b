package lab

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"cactusspoke/internal/platform"

	"github.com/zeebo/errs"
)

// Class prefixes the errors of this package.
var Class = errs.Class("lab")

// Workload describes a deployment and the load on it.
type Workload struct {
	Name           string         `json:"name"`
	Region         string         `json:"region"`
	FailureDomains []string       `json:"failure-domains"`
	Entries        int            `json:"entries"`
	Keepers        int            `json:"keepers"`
	Services       []ServiceShape `json:"services"`
	Customers      []CustomerLoad `json:"customers"`
	Streams        []StreamLoad   `json:"streams"`
	UsageWindow    string         `json:"usage-window"`
}

// ServiceShape describes a service and its backend servers.
type ServiceShape struct {
	Name    string          `json:"name"`
	Kind    string          `json:"kind"`
	Workers int             `json:"workers"`
	Slots   int             `json:"slots"`
	Cheap   int             `json:"cheap"`
	TokenMS int             `json:"token-ms"`
	Profile json.RawMessage `json:"profile"`
}

// CustomerLoad is a customer and its share of the load.
type CustomerLoad struct {
	Name   string  `json:"name"`
	Weight float64 `json:"weight"`
	Share  float64 `json:"share"`
}

// StreamLoad is an open-loop stream of requests.
type StreamLoad struct {
	Service      string  `json:"service"`
	Kind         string  `json:"kind"`
	Rate         float64 `json:"rate"`
	MaxTokens    int     `json:"max-tokens"`
	PrefixGroups int     `json:"prefix-groups"`
	PrefixBytes  int     `json:"prefix-bytes"`
	Method       string  `json:"method"`
	Path         string  `json:"path"`
	Once         bool    `json:"once"`
}

// ReadWorkload reads a workload file.
func ReadWorkload(path string) (*Workload, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, Class.Wrap(err)
	}
	decoder := json.NewDecoder(strings.NewReader(string(data)))
	decoder.DisallowUnknownFields()
	var w Workload
	if err := decoder.Decode(&w); err != nil {
		return nil, Class.Wrap(err)
	}
	return &w, nil
}

// host is where a layout runs.
const host = "127.0.0.1"

// layout gives ports out and collects what is to be written and started.
type layout struct {
	workload  *Workload
	folder    string
	next      int
	instances []platform.WireInstance
	processes []string
	addresses map[string]string
}

// WriteLayout writes the settings, the list of instances, the configuration
// records and the command lines of all processes of a deployment on this
// machine, with ports from base on.
func WriteLayout(w *Workload, folder string, base int) error {
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return Class.Wrap(err)
	}
	l := &layout{workload: w, folder: folder, next: base, addresses: map[string]string{}}
	l.platform()
	for i, s := range w.Services {
		if err := l.service(i, s); err != nil {
			return err
		}
	}
	for _, c := range w.Customers {
		record := map[string]any{"name": c.Name, "weight": c.Weight}
		if err := l.json("customer-"+c.Name+".json", record); err != nil {
			return err
		}
	}
	for i := range w.Entries {
		if err := l.entry(i); err != nil {
			return err
		}
	}
	if err := l.json("instances.json", platform.WireInstances{Instances: l.instances}); err != nil {
		return err
	}
	if err := l.json("addresses.json", l.addresses); err != nil {
		return err
	}
	return l.file("processes.txt", strings.Join(l.processes, "\n")+"\n")
}

func (l *layout) address() string {
	l.next++
	return fmt.Sprintf("%s:%d", host, l.next-1)
}

func (l *layout) json(name string, v any) error {
	data, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return Class.Wrap(err)
	}
	return l.file(name, string(data)+"\n")
}

func (l *layout) file(name, content string) error {
	return Class.Wrap(os.WriteFile(filepath.Join(l.folder, name), []byte(content), 0o600))
}

func (l *layout) process(name, format string, args ...any) {
	l.processes = append(l.processes, name+" "+fmt.Sprintf(format, args...))
}

func (l *layout) platform() {
	for _, name := range []string{"store", "instances", "orders", "usage", "weight-store", "scorer"} {
		l.addresses[name] = l.address()
		further := ""
		if name == "instances" {
			further = " --file " + filepath.Join(l.folder, "instances.json")
		}
		l.process(name, "cactusspoke-lab %s --address %s%s", name, l.addresses[name], further)
	}
}

func (l *layout) domain(i int) string {
	return l.workload.FailureDomains[i%len(l.workload.FailureDomains)]
}

func (l *layout) service(index int, s ServiceShape) error {
	profileName := s.Name + "-profile"
	var fields map[string]any
	if len(s.Profile) > 0 {
		if err := json.Unmarshal(s.Profile, &fields); err != nil {
			return Class.Wrap(err)
		}
	}
	if fields == nil {
		fields = map[string]any{}
	}
	fields["name"] = profileName
	if err := l.json(fmt.Sprintf("profile-%d.json", index), fields); err != nil {
		return err
	}
	record := map[string]any{"name": s.Name, "kind": s.Kind, "profile": profileName, "slots": s.Slots}
	if err := l.json(fmt.Sprintf("service-%d.json", index), record); err != nil {
		return err
	}
	for i := range s.Workers {
		l.worker(s, i)
	}
	return nil
}

func (l *layout) worker(s ServiceShape, i int) {
	name := fmt.Sprintf("%s-%d", s.Name, i)
	address := l.address()
	l.addresses[name] = address
	l.instances = append(l.instances, platform.WireInstance{
		Name: name, Role: string(platform.BackendRole), Service: s.Name, Address: address,
		FailureDomain: l.domain(i), State: "live", Preemptible: i < s.Cheap, ChecksFencing: true,
	})
	if s.Kind == "plain" {
		l.process(name, "cactusspoke-lab plain-service --address %s --slots %d", address, s.Slots)
		return
	}
	l.process(name, "cactusspoke-lab engine --address %s --model %s --slots %d --token-ms %d --weights %s",
		address, s.Name, s.Slots, max(1, s.TokenMS), l.addresses["weight-store"])
}

func (l *layout) entry(i int) error {
	name := fmt.Sprintf("entry-%d", i)
	callers, peers, operators := l.address(), l.address(), l.address()
	l.addresses[name] = callers
	l.addresses[name+"-operators"] = operators
	l.instances = append(l.instances, platform.WireInstance{
		Name: name, Role: string(platform.EntryRole), Address: callers, PeersAddress: peers,
		FailureDomain: l.domain(i), State: "live",
	})
	fields := map[string]any{
		"instance": name, "region": l.workload.Region, "failure-domain": l.domain(i),
		"callers": map[string]any{"address": callers, "keep-time": "1s"}, "peers": map[string]any{"address": peers},
		"operators": map[string]any{"address": operators}, "store": map[string]any{"address": l.addresses["store"]},
		"platform": map[string]any{
			"instances": l.addresses["instances"], "orders": l.addresses["orders"],
			"usage": l.addresses["usage"], "weights": l.addresses["weight-store"],
		},
		"keys":  map[string]any{"digest-secret": strings.Repeat("0123456789abcdef", 2)},
		"usage": map[string]any{"window": l.workload.UsageWindow},
		"trace": map[string]any{"file": filepath.Join(l.folder, name+".trace")},
	}
	if i < l.workload.Keepers {
		fields["data"] = map[string]any{"folder": filepath.Join(l.folder, name+"-data")}
	}
	l.process(name, "cactusspoke run --settings %s", filepath.Join(l.folder, "settings-"+name+".json"))
	return l.json("settings-"+name+".json", fields)
}
