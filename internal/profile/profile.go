// Package profile holds the configuration that operators edit: profiles,
// services and customers, and their stored form.
package profile

import "time"

// Defaults of a profile's fields.
const (
	DefaultDeadline       = 60 * time.Second
	DefaultQueueWait      = 2 * time.Second
	DefaultQueueLength    = 256
	DefaultMaxBodyBytes   = 2 << 20
	DefaultStalenessBound = 2
	DefaultSealShare      = 0.9
)

// LargestBodyBytes is the most that any profile may allow a request body.
const LargestBodyBytes = 8 << 20

// Withdrawal says what happens to running work when its key is withdrawn.
type Withdrawal string

// The two choices on withdrawal.
const (
	// FinishRunning lets an answer that has begun end whole.
	FinishRunning Withdrawal = "finish"
	// EndRunning cuts running answers off within seconds.
	EndRunning Withdrawal = "end"
)

// Route is one route of a plain service.
type Route struct {
	method     string
	prefix     string
	idempotent bool
	open       bool
}

// NewRoute returns a route. An open route needs no key.
func NewRoute(method, prefix string, idempotent, open bool) Route {
	return Route{method: method, prefix: prefix, idempotent: idempotent, open: open}
}

// Method returns the HTTP method.
func (r Route) Method() string { return r.method }

// Prefix returns the path prefix that the route covers.
func (r Route) Prefix() string { return r.prefix }

// Idempotent tells whether a request may run more than once.
func (r Route) Idempotent() bool { return r.idempotent }

// Open tells whether the route is open to all.
func (r Route) Open() bool { return r.open }

// Profile is a named set of rules that services run under.
type Profile struct {
	name           string
	edit           uint64
	deadline       time.Duration
	queueWait      time.Duration
	queueLength    int
	maxBodyBytes   int
	stalenessBound int64
	sealShare      float64
	withdrawal     Withdrawal
	routing        string
	routes         []Route
}

// Name returns the profile's name.
func (p *Profile) Name() string { return p.name }

// Edit returns the number of accepted edits so far.
func (p *Profile) Edit() uint64 { return p.edit }

// WithEdit returns a copy with another edit number.
func (p *Profile) WithEdit(edit uint64) *Profile {
	copied := *p
	copied.edit = edit
	return &copied
}

// Deadline returns the longest time a request may take in all.
func (p *Profile) Deadline() time.Duration { return p.deadline }

// QueueWait returns the longest time a request may wait for a backend server.
func (p *Profile) QueueWait() time.Duration { return p.queueWait }

// QueueLength returns how many requests of one customer may wait.
func (p *Profile) QueueLength() int { return p.queueLength }

// MaxBodyBytes returns the largest request body.
func (p *Profile) MaxBodyBytes() int { return p.maxBodyBytes }

// StalenessBound returns how many weight versions a sample may lag behind.
func (p *Profile) StalenessBound() int64 { return p.stalenessBound }

// SealShare returns the share of a step's groups that is enough to seal it.
func (p *Profile) SealShare() float64 { return p.sealShare }

// Withdrawal returns what happens to running work of a withdrawn key.
func (p *Profile) Withdrawal() Withdrawal { return p.withdrawal }

// Routing returns the name of the routing policy.
func (p *Profile) Routing() string { return p.routing }

// Routes returns the plain routes.
func (p *Profile) Routes() []Route { return p.routes }

// Kind is the sort of backend server behind a service.
type Kind string

// The two sorts.
const (
	Model Kind = "model"
	Plain Kind = "plain"
)

// Service names what callers ask for and the profile it runs under.
type Service struct {
	name    string
	kind    Kind
	profile string
	slots   int
}

// NewService returns a service. slots is how many requests one backend server
// runs at once.
func NewService(name string, kind Kind, profile string, slots int) *Service {
	return &Service{name: name, kind: kind, profile: profile, slots: slots}
}

// Name returns the service's name.
func (s *Service) Name() string { return s.name }

// Kind returns the sort of backend server.
func (s *Service) Kind() Kind { return s.kind }

// Profile returns the name of the profile.
func (s *Service) Profile() string { return s.profile }

// Slots returns how many requests one backend server runs at once.
func (s *Service) Slots() int { return s.slots }

// Key is a caller's key as the configuration knows it: by digest alone.
type Key struct {
	id        string
	digest    string
	withdrawn bool
}

// NewKey returns a granted key.
func NewKey(id, digest string) Key { return Key{id: id, digest: digest} }

// ID returns the public part of the key.
func (k Key) ID() string { return k.id }

// Digest returns the keyed hash of the key in hexadecimal.
func (k Key) Digest() string { return k.digest }

// Withdrawn tells whether the key was withdrawn; this never reverts.
func (k Key) Withdrawn() bool { return k.withdrawn }

// Customer is a tenant with its share and its keys.
type Customer struct {
	name     string
	weight   float64
	services []string
	keys     []Key
}

// NewCustomer returns a customer without keys. No services means all.
func NewCustomer(name string, weight float64, services []string) *Customer {
	return &Customer{name: name, weight: weight, services: services}
}

// Name returns the customer's name.
func (c *Customer) Name() string { return c.name }

// Weight returns the customer's share relative to the others.
func (c *Customer) Weight() float64 { return c.weight }

// Keys returns the customer's keys.
func (c *Customer) Keys() []Key { return c.keys }

// Services returns the services the customer may use; none means all.
func (c *Customer) Services() []string { return c.services }

// MayUse tells whether the customer may use a service.
func (c *Customer) MayUse(service string) bool {
	if len(c.services) == 0 {
		return true
	}
	for _, s := range c.services {
		if s == service {
			return true
		}
	}
	return false
}

// WithKey returns a copy that also holds a key.
func (c *Customer) WithKey(k Key) *Customer {
	copied := *c
	copied.keys = append(append([]Key(nil), c.keys...), k)
	return &copied
}

// WithWithdrawn returns a copy in which a key is withdrawn, and whether the
// customer has that key.
func (c *Customer) WithWithdrawn(id string) (*Customer, bool) {
	copied := *c
	copied.keys = append([]Key(nil), c.keys...)
	for i, k := range copied.keys {
		if k.id == id {
			copied.keys[i].withdrawn = true
			return &copied, true
		}
	}
	return c, false
}
