// Package configuration keeps each instance's view of the operators'
// configuration: an immutable snapshot that only moves forward.
package configuration

import (
	"strings"

	"cactusspoke/internal/profile"
	"cactusspoke/internal/store"
)

// Snapshot is one consistent view. It is never changed once published.
type Snapshot struct {
	revision  store.Revision
	records   map[string]store.Record
	profiles  map[string]*profile.Profile
	services  map[string]*profile.Service
	customers map[string]*profile.Customer
	keys      map[string]owner
}

type owner struct {
	customer *profile.Customer
	key      profile.Key
}

func empty() *Snapshot {
	return &Snapshot{
		records:   map[string]store.Record{},
		profiles:  map[string]*profile.Profile{},
		services:  map[string]*profile.Service{},
		customers: map[string]*profile.Customer{},
		keys:      map[string]owner{},
	}
}

// Revision returns the store's revision up to which the view is complete.
func (s *Snapshot) Revision() store.Revision { return s.revision }

// Service returns a service and the profile it runs under.
func (s *Snapshot) Service(name string) (*profile.Service, *profile.Profile, bool) {
	service, ok := s.services[name]
	if !ok {
		return nil, nil, false
	}
	p, ok := s.profiles[service.Profile()]
	return service, p, ok
}

// Services returns all services.
func (s *Snapshot) Services() map[string]*profile.Service { return s.services }

// Customers returns all customers.
func (s *Snapshot) Customers() map[string]*profile.Customer { return s.customers }

// Customer returns the customer of a key's digest.
func (s *Snapshot) Customer(digest string) (*profile.Customer, profile.Key, bool) {
	o, ok := s.keys[digest]
	return o.customer, o.key, ok
}

// CustomerNamed returns a customer by name.
func (s *Snapshot) CustomerNamed(name string) (*profile.Customer, bool) {
	c, ok := s.customers[name]
	return c, ok
}

// Since returns the records that changed after a revision.
func (s *Snapshot) Since(after store.Revision) []store.Record {
	var out []store.Record
	for _, r := range s.records {
		if r.Revision() > after {
			out = append(out, r)
		}
	}
	return out
}

// merge returns a snapshot with every record that is newer than ours, and the
// keys of records that could not be read; those keep their older content.
func (s *Snapshot) merge(records []store.Record, revision store.Revision) (next *Snapshot, rejected []string) {
	next = empty()
	next.revision = max(s.revision, revision)
	for k, r := range s.records {
		next.records[k] = r
	}
	for _, r := range records {
		if r.Revision() > next.records[r.Key()].Revision() {
			next.records[r.Key()] = r
		}
	}
	for _, r := range next.records {
		if !next.index(r) {
			rejected = append(rejected, r.Key())
			next.keep(s, r.Key())
		}
	}
	return next, rejected
}

func (s *Snapshot) index(r store.Record) bool {
	switch {
	case strings.HasPrefix(r.Key(), profile.ProfileKey("")):
		p, err := profile.DecodeProfile(r.Value())
		if err != nil {
			return false
		}
		s.profiles[p.Name()] = p
	case strings.HasPrefix(r.Key(), profile.ServiceKey("")):
		v, err := profile.DecodeService(r.Value())
		if err != nil {
			return false
		}
		s.services[v.Name()] = v
	case strings.HasPrefix(r.Key(), profile.CustomerKey("")):
		c, err := profile.DecodeCustomer(r.Value())
		if err != nil {
			return false
		}
		s.addCustomer(c)
	}
	return true
}

func (s *Snapshot) addCustomer(c *profile.Customer) {
	s.customers[c.Name()] = c
	for _, k := range c.Keys() {
		s.keys[k.Digest()] = owner{customer: c, key: k}
	}
}

// keep carries over what an older snapshot made of a record.
func (s *Snapshot) keep(older *Snapshot, key string) {
	name := key[strings.LastIndex(key, "/")+1:]
	switch {
	case strings.HasPrefix(key, profile.ProfileKey("")):
		if p, ok := older.profiles[name]; ok {
			s.profiles[name] = p
		}
	case strings.HasPrefix(key, profile.ServiceKey("")):
		if v, ok := older.services[name]; ok {
			s.services[name] = v
		}
	case strings.HasPrefix(key, profile.CustomerKey("")):
		if c, ok := older.customers[name]; ok {
			s.addCustomer(c)
		}
	}
}
