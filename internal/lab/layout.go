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

// Workload describes a deployment and the load to generate on it.
type Workload struct {
	Name           string         `json:"name"`
	Region         string         `json:"region"`
	FailureDomains []string       `json:"failure-domains"`
	Entries        int            `json:"entries"`
	Keepers        int            `json:"keepers"`
	Services       []ServiceSpec  `json:"services"`
	Customers      []CustomerLoad `json:"customers"`
	Streams        []StreamLoad   `json:"streams"`
	UsageWindow    string         `json:"usage-window"`
}

// ServiceSpec describes a service and its backend servers.
type ServiceSpec struct {
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

// host is the IP address that all processes of a layout listen on.
const host = "127.0.0.1"

// layout assigns ports and collects the instances and the processes of a deployment.
type layout struct {
	workload  *Workload
	folder    string
	nextPort  int
	instances []platform.WireInstance
	processes []string
	addresses map[string]string
}

// WriteLayout writes the settings, the list of instances, the configuration
// records and the command lines of all processes of a local deployment, with
// ports from basePort upwards.
func WriteLayout(w *Workload, folder string, basePort int) error {
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return Class.Wrap(err)
	}
	l := &layout{workload: w, folder: folder, nextPort: basePort, addresses: map[string]string{}}
	l.addPlatform()
	for i, s := range w.Services {
		if err := l.addService(i, s); err != nil {
			return err
		}
	}
	for _, c := range w.Customers {
		record := map[string]any{"name": c.Name, "weight": c.Weight}
		if err := l.writeJSON("customer-"+c.Name+".json", record); err != nil {
			return err
		}
	}
	for i := range w.Entries {
		if err := l.addEntry(i); err != nil {
			return err
		}
	}
	if err := l.writeJSON("instances.json", platform.WireInstances{Instances: l.instances}); err != nil {
		return err
	}
	if err := l.writeJSON("addresses.json", l.addresses); err != nil {
		return err
	}
	return l.writeFile("processes.txt", strings.Join(l.processes, "\n")+"\n")
}

func (l *layout) nextAddress() string {
	l.nextPort++
	return fmt.Sprintf("%s:%d", host, l.nextPort-1)
}

func (l *layout) writeJSON(name string, v any) error {
	data, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return Class.Wrap(err)
	}
	return l.writeFile(name, string(data)+"\n")
}

func (l *layout) writeFile(name, content string) error {
	return Class.Wrap(os.WriteFile(filepath.Join(l.folder, name), []byte(content), 0o600))
}

func (l *layout) addProcess(name, format string, args ...any) {
	l.processes = append(l.processes, name+" "+fmt.Sprintf(format, args...))
}

func (l *layout) addPlatform() {
	for _, name := range []string{"store", "instances", "orders", "usage", "weight-store", "scorer"} {
		l.addresses[name] = l.nextAddress()
		extraFlags := ""
		if name == "instances" {
			extraFlags = " --file " + filepath.Join(l.folder, "instances.json")
		}
		l.addProcess(name, "cactusspoke-lab %s --address %s%s", name, l.addresses[name], extraFlags)
	}
}

func (l *layout) failureDomain(i int) string {
	return l.workload.FailureDomains[i%len(l.workload.FailureDomains)]
}

func (l *layout) addService(index int, s ServiceSpec) error {
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
	if err := l.writeJSON(fmt.Sprintf("profile-%d.json", index), fields); err != nil {
		return err
	}
	record := map[string]any{"name": s.Name, "kind": s.Kind, "profile": profileName, "slots": s.Slots}
	if err := l.writeJSON(fmt.Sprintf("service-%d.json", index), record); err != nil {
		return err
	}
	for i := range s.Workers {
		l.addBackendServer(s, i)
	}
	return nil
}

func (l *layout) addBackendServer(s ServiceSpec, i int) {
	name := fmt.Sprintf("%s-%d", s.Name, i)
	address := l.nextAddress()
	l.addresses[name] = address
	l.instances = append(l.instances, platform.WireInstance{
		Name: name, Role: string(platform.BackendRole), Service: s.Name, Address: address,
		FailureDomain: l.failureDomain(i), State: "live", Preemptible: i < s.Cheap, ChecksFencing: true,
	})
	if s.Kind == "plain" {
		l.addProcess(name, "cactusspoke-lab plain-service --address %s --slots %d", address, s.Slots)
		return
	}
	l.addProcess(name, "cactusspoke-lab engine --address %s --model %s --slots %d --token-ms %d --weights %s",
		address, s.Name, s.Slots, max(1, s.TokenMS), l.addresses["weight-store"])
}

func (l *layout) addEntry(i int) error {
	name := fmt.Sprintf("entry-%d", i)
	callers, peers, operators := l.nextAddress(), l.nextAddress(), l.nextAddress()
	l.addresses[name] = callers
	l.addresses[name+"-operators"] = operators
	l.instances = append(l.instances, platform.WireInstance{
		Name: name, Role: string(platform.EntryRole), Address: callers, PeersAddress: peers,
		FailureDomain: l.failureDomain(i), State: "live",
	})
	fields := map[string]any{
		"instance": name, "region": l.workload.Region, "failure-domain": l.failureDomain(i),
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
	l.addProcess(name, "cactusspoke run --settings %s", filepath.Join(l.folder, "settings-"+name+".json"))
	return l.writeJSON("settings-"+name+".json", fields)
}
