// Package profile defines the configuration that operators edit (profiles,
// services and customers) and its JSON encoding in the store.
package profile

import "time"

// Default values of profile fields.
const (
	DefaultDeadline       = 60 * time.Second
	DefaultQueueWait      = 2 * time.Second
	DefaultQueueLength    = 256
	DefaultMaxBodyBytes   = 2 << 20
	DefaultStalenessBound = 2
	DefaultSealShare      = 0.9
)

// MaxBodyBytesLimit is the upper limit for a profile's max-body-bytes.
const MaxBodyBytesLimit = 8 << 20

// Withdrawal is the policy for running requests whose key is withdrawn.
type Withdrawal string

// Withdrawal policies.
const (
	// FinishRunning lets responses that have already started complete.
	FinishRunning Withdrawal = "finish"
	// EndRunning aborts running responses within seconds.
	EndRunning Withdrawal = "end"
)

// Route is a route of a plain service, selected by method and path prefix.
type Route struct {
	method     string
	prefix     string
	idempotent bool
	open       bool
}

// NewRoute returns a route. An open route does not require a key.
func NewRoute(method, prefix string, idempotent, open bool) Route {
	return Route{method: method, prefix: prefix, idempotent: idempotent, open: open}
}

func (r Route) Method() string { return r.method }

// Prefix returns the path prefix that the route matches.
func (r Route) Prefix() string { return r.prefix }

// Idempotent reports whether a request may be executed more than once.
func (r Route) Idempotent() bool { return r.idempotent }

// Open reports whether the route can be used without a key.
func (r Route) Open() bool { return r.open }

// Profile is a named set of limits and policies that services refer to.
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

func (p *Profile) Name() string { return p.name }

// Edit returns the edit number, which counts the accepted edits.
func (p *Profile) Edit() uint64 { return p.edit }

// WithEdit returns a copy with the given edit number.
func (p *Profile) WithEdit(edit uint64) *Profile {
	copied := *p
	copied.edit = edit
	return &copied
}

// Deadline returns the maximum total duration of a request.
func (p *Profile) Deadline() time.Duration { return p.deadline }

// QueueWait returns the maximum time a request may wait for a backend server.
func (p *Profile) QueueWait() time.Duration { return p.queueWait }

// QueueLength returns the maximum number of queued requests per customer.
func (p *Profile) QueueLength() int { return p.queueLength }

// MaxBodyBytes returns the maximum size of a request body.
func (p *Profile) MaxBodyBytes() int { return p.maxBodyBytes }

// StalenessBound returns the maximum number of weight versions that a sample may
// lag behind.
func (p *Profile) StalenessBound() int64 { return p.stalenessBound }

// SealShare returns the fraction of a step's groups required to seal it.
func (p *Profile) SealShare() float64 { return p.sealShare }

// Withdrawal returns the policy for running requests whose key is withdrawn.
func (p *Profile) Withdrawal() Withdrawal { return p.withdrawal }

func (p *Profile) Routing() string { return p.routing }

// Routes returns the routes for plain services.
func (p *Profile) Routes() []Route { return p.routes }

// Kind is the type of the backend servers of a service.
type Kind string

// Kinds of services.
const (
	Model Kind = "model"
	Plain Kind = "plain"
)

// Service is a target of callers' requests, with its profile.
type Service struct {
	name    string
	kind    Kind
	profile string
	slots   int
}

// NewService returns a service. slots is the number of concurrent requests per
// backend server.
func NewService(name string, kind Kind, profile string, slots int) *Service {
	return &Service{name: name, kind: kind, profile: profile, slots: slots}
}

func (s *Service) Name() string { return s.name }

// Kind returns the type of the service's backend servers.
func (s *Service) Kind() Kind { return s.kind }

// Profile returns the name of the service's profile.
func (s *Service) Profile() string { return s.profile }

// Slots returns the number of concurrent requests per backend server.
func (s *Service) Slots() int { return s.slots }

// Key is a caller's key. The configuration stores only its digest.
type Key struct {
	id        string
	digest    string
	withdrawn bool
}

// NewKey returns a key that is not withdrawn.
func NewKey(id, digest string) Key { return Key{id: id, digest: digest} }

// ID returns the public part of the key.
func (k Key) ID() string { return k.id }

// Digest returns the keyed hash of the key in hexadecimal.
func (k Key) Digest() string { return k.digest }

// Withdrawn reports whether the key was withdrawn, which is permanent.
func (k Key) Withdrawn() bool { return k.withdrawn }

// Customer is a tenant with its scheduling weight, permitted services and keys.
type Customer struct {
	name     string
	weight   float64
	services []string
	keys     []Key
}

// NewCustomer returns a customer without keys. An empty list of services permits
// all services.
func NewCustomer(name string, weight float64, services []string) *Customer {
	return &Customer{name: name, weight: weight, services: services}
}

func (c *Customer) Name() string { return c.name }

// Weight returns the customer's scheduling weight relative to other customers.
func (c *Customer) Weight() float64 { return c.weight }

func (c *Customer) Keys() []Key { return c.keys }

// Services returns the services the customer may use. An empty list means all.
func (c *Customer) Services() []string { return c.services }

// MayUse reports whether the customer may use a service.
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

// WithKey returns a copy with the key added.
func (c *Customer) WithKey(k Key) *Customer {
	copied := *c
	copied.keys = append(append([]Key(nil), c.keys...), k)
	return &copied
}

// WithKeyWithdrawn returns a copy with the key of the given id withdrawn, and
// whether the customer has such a key.
func (c *Customer) WithKeyWithdrawn(id string) (*Customer, bool) {
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
