// Package routetable holds the configuration that the operator wrote: routes,
// services and customers' keys, and finds the route and customer of a request.
package routetable

import (
	"sort"
	"strings"
	"time"
)

// Kind says what may be repeated on a route.
type Kind string

// The kinds of routes.
const (
	// Safe requests may run more than once.
	Safe Kind = "safe"
	// Unsafe requests may run once at most.
	Unsafe Kind = "unsafe"
	// Streaming answers are series of events.
	Streaming Kind = "streaming"
	// Rollout routes take batch jobs.
	Rollout Kind = "rollout"
)

// Share is a service's part of a route's requests.
type Share struct {
	Service string
	Weight  int
}

// Route is one entry of the operator's configuration.
type Route struct {
	Name        string
	Host        string
	Prefix      string
	Kind        Kind
	Shares      []Share
	Timeout     time.Duration
	Objective   time.Duration
	MaxAttempts int
	Priority    int
	// Public routes need no key.
	Public bool
	// Resumable streams may go on at another backend server.
	Resumable bool
	// Due is how long after its submission all results of a job are wanted.
	Due time.Duration
	// Retain is how long after its submission an item must be kept trying.
	Retain time.Duration
	// SingleVersion wants each text made by one version of the weights.
	SingleVersion bool
}

// Idempotent tells whether a request of the route may run more than once.
func (r *Route) Idempotent() bool { return r.Kind == Safe || r.Kind == Streaming && r.Resumable }

// Service is one service of the configuration.
type Service struct {
	Name   string
	Health string
	// MaxConns bounds the connections of all callers to one backend server.
	MaxConns int
	Models   []string
	// Scaling is nil where the number of backend servers cannot be changed.
	Scaling *Scaling
}

// Scaling bounds the orders for backend servers, by failure domain.
type Scaling struct {
	Min, Max  int
	Boot      time.Duration
	SpotPrice float64
	// Prices is the price of a second of a backend server by failure domain.
	Prices map[string]float64
}

// Customer is who holds keys.
type Customer struct {
	Name string
	Keys []string
	// Priority goes before the route's where it is set.
	Priority *int
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes int
	BodyBytes   int
}

// Table is one version of the configuration, and never changes.
type Table struct {
	version   int64
	routes    map[string][]*Route
	services  map[string]*Service
	customers map[string]*Customer
	byName    map[string]*Customer
	forwarded map[string]bool
	keyed     bool
	limits    Limits
}

// New returns the table of a configuration.
func New(version int64, routes []*Route, services []*Service, customers []*Customer, limits Limits) *Table {
	t := &Table{
		version: version, routes: map[string][]*Route{}, services: map[string]*Service{},
		customers: map[string]*Customer{}, byName: map[string]*Customer{}, forwarded: map[string]bool{}, keyed: len(customers) > 0, limits: limits,
	}
	for _, r := range routes {
		host := strings.ToLower(r.Host)
		t.routes[host] = append(t.routes[host], r)
		for _, share := range r.Shares {
			t.forwarded[share.Service] = t.forwarded[share.Service] || r.Kind != Rollout
		}
	}
	for _, list := range t.routes {
		sort.SliceStable(list, func(i, j int) bool { return len(list[i].Prefix) > len(list[j].Prefix) })
	}
	for _, s := range services {
		t.services[s.Name] = s
	}
	for _, c := range customers {
		t.byName[c.Name] = c
		for _, key := range c.Keys {
			t.customers[key] = c
		}
	}
	return t
}

// Version returns the configuration's version.
func (t *Table) Version() int64 { return t.version }

// Limits returns what callers may send.
func (t *Table) Limits() Limits { return t.limits }

// Match returns the route of a host and path with the longest prefix.
func (t *Table) Match(host, path string) (*Route, bool) {
	for _, r := range t.routes[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// Customer returns who holds a key.
func (t *Table) Customer(key string) (*Customer, bool) {
	c, ok := t.customers[key]
	return c, ok
}

// Priority returns the rank of a customer's requests on a route.
func (t *Table) Priority(r *Route, customer string) int {
	if c, ok := t.byName[customer]; ok && c.Priority != nil {
		return *c.Priority
	}
	return r.Priority
}

// Keyed tells whether requests need keys at all.
func (t *Table) Keyed() bool { return t.keyed }

// Service returns a service by name.
func (t *Table) Service(name string) (*Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// Services returns all services.
func (t *Table) Services() map[string]*Service { return t.services }

// Routes returns all routes.
func (t *Table) Routes() []*Route {
	var out []*Route
	for _, list := range t.routes {
		out = append(out, list...)
	}
	return out
}

// Pick returns the service of a route for a number from 0 to 1.
func (r *Route) Pick(at float64) string {
	total := 0
	for _, s := range r.Shares {
		total += s.Weight
	}
	rest := at * float64(total)
	for _, s := range r.Shares {
		rest -= float64(s.Weight)
		if rest < 0 {
			return s.Service
		}
	}
	if len(r.Shares) == 0 {
		return ""
	}
	return r.Shares[len(r.Shares)-1].Service
}
