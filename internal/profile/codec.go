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

// Prefixes of the store keys that hold the configuration.
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

// HistoryPrefix returns the store key prefix of a profile's previous edits.
func HistoryPrefix(name string) string { return historyPrefix + name + "/" }

// HistoryKey returns the store key of one edit of a profile.
func HistoryKey(name string, edit uint64) string {
	return fmt.Sprintf("%s%08d", HistoryPrefix(name), edit)
}

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

// routingPolicies lists the valid values of a profile's routing field; the first
// is the default.
var routingPolicies = []string{"prefix-affinity", "round-robin", "least-reported", "two-choices"}

type routeJSON struct {
	Method     string `json:"method"`
	Prefix     string `json:"prefix"`
	Idempotent bool   `json:"idempotent"`
	Open       bool   `json:"open,omitempty"`
}

type profileJSON struct {
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
	Routes         []routeJSON `json:"routes,omitempty"`
}

type serviceJSON struct {
	Name    string `json:"name"`
	Kind    string `json:"kind"`
	Profile string `json:"profile"`
	Slots   int    `json:"slots"`
}

type keyJSON struct {
	ID        string `json:"id"`
	Digest    string `json:"digest"`
	Withdrawn bool   `json:"withdrawn,omitempty"`
}

type customerJSON struct {
	Name     string    `json:"name"`
	Weight   float64   `json:"weight"`
	Services []string  `json:"services,omitempty"`
	Keys     []keyJSON `json:"keys,omitempty"`
}

// decodeStrict decodes JSON and rejects unknown fields.
func decodeStrict(data []byte, target any) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		return Class.Wrap(err)
	}
	return nil
}

// validationErrors collects the validation errors of one record.
type validationErrors struct{ messages []string }

func (e *validationErrors) check(ok bool, path, format string, args ...any) {
	if !ok {
		e.messages = append(e.messages, path+": "+fmt.Sprintf(format, args...))
	}
}

func (e *validationErrors) duration(path, text string, defaultValue time.Duration) time.Duration {
	if text == "" {
		return defaultValue
	}
	d, err := time.ParseDuration(text)
	e.check(err == nil && d > 0, path, "%q is not a positive duration such as 500ms or 10s", text)
	return d
}

func (e *validationErrors) err() error {
	if len(e.messages) == 0 {
		return nil
	}
	return Class.New("%s", strings.Join(e.messages, "; "))
}

// DecodeProfile decodes and validates a profile in JSON, filling in defaults. The
// error lists every invalid field with its path.
func DecodeProfile(data []byte) (*Profile, error) {
	var raw profileJSON
	if err := decodeStrict(data, &raw); err != nil {
		return nil, err
	}
	var problems validationErrors
	out := &Profile{
		name:           raw.Name,
		edit:           raw.Edit,
		deadline:       problems.duration("deadline", raw.Deadline, DefaultDeadline),
		queueWait:      problems.duration("queue-wait", raw.QueueWait, DefaultQueueWait),
		queueLength:    intOrDefault(raw.QueueLength, DefaultQueueLength),
		maxBodyBytes:   intOrDefault(raw.MaxBodyBytes, DefaultMaxBodyBytes),
		stalenessBound: DefaultStalenessBound,
		sealShare:      raw.SealShare,
		withdrawal:     Withdrawal(raw.Withdrawal),
		routing:        raw.Routing,
	}
	if raw.StalenessBound != nil {
		out.stalenessBound = *raw.StalenessBound
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
	for _, r := range raw.Routes {
		out.routes = append(out.routes, NewRoute(r.Method, r.Prefix, r.Idempotent, r.Open))
	}
	out.validate(&problems)
	return out, problems.err()
}

func (p *Profile) validate(problems *validationErrors) {
	problems.check(namePattern.MatchString(p.name), "name", "%q must be 1 to 63 lower-case letters, digits and dashes, and must not begin with a dash", p.name)
	problems.check(p.queueLength > 0, "queue-length", "%d must be greater than 0", p.queueLength)
	problems.check(p.maxBodyBytes > 0 && p.maxBodyBytes <= MaxBodyBytesLimit, "max-body-bytes", "%d must be from 1 to %d", p.maxBodyBytes, MaxBodyBytesLimit)
	problems.check(p.stalenessBound >= 0, "staleness-bound", "%d must not be negative", p.stalenessBound)
	problems.check(p.sealShare > 0 && p.sealShare <= 1, "seal-share", "%g must be greater than 0 and at most 1", p.sealShare)
	problems.check(p.withdrawal == FinishRunning || p.withdrawal == EndRunning, "on-withdrawal", "%q must be finish or end", string(p.withdrawal))
	problems.check(contains(routingPolicies, p.routing), "routing", "%q must be one of %s", p.routing, strings.Join(routingPolicies, ", "))
	for i, r := range p.routes {
		path := fmt.Sprintf("routes[%d]", i)
		problems.check(contains([]string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"}, r.method), path+".method", "%q is not a supported HTTP method in upper case", r.method)
		problems.check(strings.HasPrefix(r.prefix, "/"), path+".prefix", "%q must begin with /", r.prefix)
	}
}

// EncodeProfile encodes a profile as JSON.
func EncodeProfile(p *Profile) []byte {
	raw := profileJSON{
		Name: p.name, Edit: p.edit,
		Deadline: p.deadline.String(), QueueWait: p.queueWait.String(),
		QueueLength: p.queueLength, MaxBodyBytes: p.maxBodyBytes,
		StalenessBound: &p.stalenessBound, SealShare: p.sealShare,
		Withdrawal: string(p.withdrawal), Routing: p.routing,
	}
	for _, r := range p.routes {
		raw.Routes = append(raw.Routes, routeJSON{r.method, r.prefix, r.idempotent, r.open})
	}
	return mustJSON(raw)
}

// DecodeService decodes and validates a service in JSON.
func DecodeService(data []byte) (*Service, error) {
	var raw serviceJSON
	if err := decodeStrict(data, &raw); err != nil {
		return nil, err
	}
	var problems validationErrors
	problems.check(namePattern.MatchString(raw.Name), "name", "%q must be 1 to 63 lower-case letters, digits and dashes, and must not begin with a dash", raw.Name)
	problems.check(raw.Kind == string(Model) || raw.Kind == string(Plain), "kind", "%q must be model or plain", raw.Kind)
	problems.check(raw.Profile != "", "profile", "must name a profile")
	problems.check(raw.Slots > 0, "slots", "%d must be greater than 0", raw.Slots)
	return NewService(raw.Name, Kind(raw.Kind), raw.Profile, raw.Slots), problems.err()
}

// EncodeService encodes a service as JSON.
func EncodeService(s *Service) []byte {
	return mustJSON(serviceJSON{s.name, string(s.kind), s.profile, s.slots})
}

// DecodeCustomer decodes and validates a customer in JSON.
func DecodeCustomer(data []byte) (*Customer, error) {
	var raw customerJSON
	if err := decodeStrict(data, &raw); err != nil {
		return nil, err
	}
	var problems validationErrors
	problems.check(namePattern.MatchString(raw.Name), "name", "%q must be 1 to 63 lower-case letters, digits and dashes, and must not begin with a dash", raw.Name)
	problems.check(raw.Weight > 0, "weight", "%g must be greater than 0", raw.Weight)
	out := NewCustomer(raw.Name, raw.Weight, raw.Services)
	for _, k := range raw.Keys {
		out.keys = append(out.keys, Key{id: k.ID, digest: k.Digest, withdrawn: k.Withdrawn})
	}
	return out, problems.err()
}

// EncodeCustomer encodes a customer as JSON.
func EncodeCustomer(c *Customer) []byte {
	raw := customerJSON{Name: c.name, Weight: c.weight, Services: c.services}
	for _, k := range c.keys {
		raw.Keys = append(raw.Keys, keyJSON{k.id, k.digest, k.withdrawn})
	}
	return mustJSON(raw)
}

func mustJSON(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return data
}

func intOrDefault(v, defaultValue int) int {
	if v == 0 {
		return defaultValue
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
