package profile

import (
	"bytes"
	"encoding/json"
	"fmt"
	"regexp"
	"strings"
	"time"

	"github.com/zeebo/errs"
)

// Class prefixes the errors of this package.
var Class = errs.Class("profile")

// Prefixes of the keys that hold the configuration.
const (
	Prefix         = "config/"
	profilePrefix  = Prefix + "profile/"
	servicePrefix  = Prefix + "service/"
	customerPrefix = Prefix + "customer/"
	historyPrefix  = "history/profile/"
)

// ProfileKey returns the store key of a profile.
func ProfileKey(name string) string { return profilePrefix + name }

// ServiceKey returns the store key of a service.
func ServiceKey(name string) string { return servicePrefix + name }

// CustomerKey returns the store key of a customer.
func CustomerKey(name string) string { return customerPrefix + name }

// HistoryPrefix returns the prefix of a profile's past edits.
func HistoryPrefix(name string) string { return historyPrefix + name + "/" }

// HistoryKey returns the store key of one edit of a profile.
func HistoryKey(name string, edit uint64) string {
	return fmt.Sprintf("%s%08d", HistoryPrefix(name), edit)
}

var nameForm = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

// Routing policies that a profile may name.
var routingPolicies = []string{"prefix-affinity", "round-robin", "least-reported", "two-choices"}

type routeWire struct {
	Method     string `json:"method"`
	Prefix     string `json:"prefix"`
	Idempotent bool   `json:"idempotent"`
	Open       bool   `json:"open,omitempty"`
}

type profileWire struct {
	Name           string      `json:"name"`
	Edit           uint64      `json:"edit,omitempty"`
	Deadline       string      `json:"deadline,omitempty"`
	QueueWait      string      `json:"queue-wait,omitempty"`
	QueueLength    int         `json:"queue-length,omitempty"`
	MaxBodyBytes   int         `json:"max-body-bytes,omitempty"`
	StalenessBound *int64      `json:"staleness-bound,omitempty"`
	SealShare      float64     `json:"seal-share,omitempty"`
	Withdrawal     string      `json:"on-withdrawal,omitempty"`
	Routing        string      `json:"routing,omitempty"`
	Routes         []routeWire `json:"routes,omitempty"`
}

type serviceWire struct {
	Name    string `json:"name"`
	Kind    string `json:"kind"`
	Profile string `json:"profile"`
	Slots   int    `json:"slots"`
}

type keyWire struct {
	ID        string `json:"id"`
	Digest    string `json:"digest"`
	Withdrawn bool   `json:"withdrawn,omitempty"`
}

type customerWire struct {
	Name     string    `json:"name"`
	Weight   float64   `json:"weight"`
	Services []string  `json:"services,omitempty"`
	Keys     []keyWire `json:"keys,omitempty"`
}

func strict(data []byte, into any) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return Class.Wrap(err)
	}
	return nil
}

// problems collects everything that is wrong with one record.
type problems struct{ list []string }

func (p *problems) check(ok bool, path, format string, args ...any) {
	if !ok {
		p.list = append(p.list, path+": "+fmt.Sprintf(format, args...))
	}
}

func (p *problems) duration(path, text string, fallback time.Duration) time.Duration {
	if text == "" {
		return fallback
	}
	d, err := time.ParseDuration(text)
	p.check(err == nil && d > 0, path, "%q is not a positive duration such as 500ms or 10s", text)
	return d
}

func (p *problems) err() error {
	if len(p.list) == 0 {
		return nil
	}
	return Class.New("%s", strings.Join(p.list, "; "))
}

// DecodeProfile reads and checks the JSON form of a profile. The error lists
// all problems with their path.
func DecodeProfile(data []byte) (*Profile, error) {
	var wire profileWire
	if err := strict(data, &wire); err != nil {
		return nil, err
	}
	var p problems
	out := &Profile{
		name:           wire.Name,
		edit:           wire.Edit,
		deadline:       p.duration("deadline", wire.Deadline, DefaultDeadline),
		queueWait:      p.duration("queue-wait", wire.QueueWait, DefaultQueueWait),
		queueLength:    orInt(wire.QueueLength, DefaultQueueLength),
		maxBodyBytes:   orInt(wire.MaxBodyBytes, DefaultMaxBodyBytes),
		stalenessBound: DefaultStalenessBound,
		sealShare:      wire.SealShare,
		withdrawal:     Withdrawal(wire.Withdrawal),
		routing:        wire.Routing,
	}
	if wire.StalenessBound != nil {
		out.stalenessBound = *wire.StalenessBound
	}
	if out.sealShare == 0 {
		out.sealShare = DefaultSealShare
	}
	if out.withdrawal == "" {
		out.withdrawal = FinishRunning
	}
	if out.routing == "" {
		out.routing = routingPolicies[0]
	}
	for _, r := range wire.Routes {
		out.routes = append(out.routes, NewRoute(r.Method, r.Prefix, r.Idempotent, r.Open))
	}
	out.validate(&p)
	return out, p.err()
}

func (p *Profile) validate(found *problems) {
	found.check(nameForm.MatchString(p.name), "name", "%q must be lower-case letters, digits and dashes", p.name)
	found.check(p.queueLength > 0, "queue-length", "%d must be over 0", p.queueLength)
	found.check(p.maxBodyBytes > 0 && p.maxBodyBytes <= LargestBodyBytes, "max-body-bytes", "%d must be from 1 to %d", p.maxBodyBytes, LargestBodyBytes)
	found.check(p.stalenessBound >= 0, "staleness-bound", "%d must not be negative", p.stalenessBound)
	found.check(p.sealShare > 0 && p.sealShare <= 1, "seal-share", "%g must be over 0 and at most 1", p.sealShare)
	found.check(p.withdrawal == FinishRunning || p.withdrawal == EndRunning, "on-withdrawal", "%q must be finish or end", string(p.withdrawal))
	found.check(contains(routingPolicies, p.routing), "routing", "%q must be one of %s", p.routing, strings.Join(routingPolicies, ", "))
	for i, r := range p.routes {
		path := fmt.Sprintf("routes[%d]", i)
		found.check(contains([]string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"}, r.method), path+".method", "%q is not an HTTP method in capitals", r.method)
		found.check(strings.HasPrefix(r.prefix, "/"), path+".prefix", "%q must begin with /", r.prefix)
	}
}

// EncodeProfile returns the JSON form of a profile.
func EncodeProfile(p *Profile) []byte {
	wire := profileWire{
		Name: p.name, Edit: p.edit,
		Deadline: p.deadline.String(), QueueWait: p.queueWait.String(),
		QueueLength: p.queueLength, MaxBodyBytes: p.maxBodyBytes,
		StalenessBound: &p.stalenessBound, SealShare: p.sealShare,
		Withdrawal: string(p.withdrawal), Routing: p.routing,
	}
	for _, r := range p.routes {
		wire.Routes = append(wire.Routes, routeWire{r.method, r.prefix, r.idempotent, r.open})
	}
	return mustJSON(wire)
}

// DecodeService reads and checks the JSON form of a service.
func DecodeService(data []byte) (*Service, error) {
	var wire serviceWire
	if err := strict(data, &wire); err != nil {
		return nil, err
	}
	var p problems
	p.check(nameForm.MatchString(wire.Name), "name", "%q must be lower-case letters, digits and dashes", wire.Name)
	p.check(wire.Kind == string(Model) || wire.Kind == string(Plain), "kind", "%q must be model or plain", wire.Kind)
	p.check(wire.Profile != "", "profile", "must name a profile")
	p.check(wire.Slots > 0, "slots", "%d must be over 0", wire.Slots)
	return NewService(wire.Name, Kind(wire.Kind), wire.Profile, wire.Slots), p.err()
}

// EncodeService returns the JSON form of a service.
func EncodeService(s *Service) []byte {
	return mustJSON(serviceWire{s.name, string(s.kind), s.profile, s.slots})
}

// DecodeCustomer reads and checks the JSON form of a customer.
func DecodeCustomer(data []byte) (*Customer, error) {
	var wire customerWire
	if err := strict(data, &wire); err != nil {
		return nil, err
	}
	var p problems
	p.check(nameForm.MatchString(wire.Name), "name", "%q must be lower-case letters, digits and dashes", wire.Name)
	p.check(wire.Weight > 0, "weight", "%g must be over 0", wire.Weight)
	out := NewCustomer(wire.Name, wire.Weight, wire.Services)
	for _, k := range wire.Keys {
		out.keys = append(out.keys, Key{id: k.ID, digest: k.Digest, withdrawn: k.Withdrawn})
	}
	return out, p.err()
}

// EncodeCustomer returns the JSON form of a customer.
func EncodeCustomer(c *Customer) []byte {
	wire := customerWire{Name: c.name, Weight: c.weight, Services: c.services}
	for _, k := range c.keys {
		wire.Keys = append(wire.Keys, keyWire{k.id, k.digest, k.withdrawn})
	}
	return mustJSON(wire)
}

func mustJSON(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return data
}

func orInt(v, fallback int) int {
	if v == 0 {
		return fallback
	}
	return v
}

func contains(list []string, v string) bool {
	for _, s := range list {
		if s == v {
			return true
		}
	}
	return false
}
