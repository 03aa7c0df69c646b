// Package configuration maintains each instance's view of the operators'
// configuration as immutable snapshots whose revision never decreases.
package configuration

import (
	"strings"

	"cactusspoke/internal/profile"
	"cactusspoke/internal/store"
)

// Snapshot is an immutable view of the configuration.
type Snapshot struct {
	revision  store.Revision
	records   map[string]store.Record
	profiles  map[string]*profile.Profile
	services  map[string]*profile.Service
	customers map[string]*profile.Customer
	keys      map[string]keyOwner
}

// keyOwner is a key with the customer it belongs to.
type keyOwner struct {
	customer *profile.Customer
	key      profile.Key
}

func newSnapshot() *Snapshot {
	return &Snapshot{
		records:   map[string]store.Record{},
		profiles:  map[string]*profile.Profile{},
		services:  map[string]*profile.Service{},
		customers: map[string]*profile.Customer{},
		keys:      map[string]keyOwner{},
	}
}

// Revision returns the store revision up to which the snapshot is complete.
func (s *Snapshot) Revision() store.Revision { return s.revision }

// Service returns a service and its profile. It reports false if either is
// unknown.
func (s *Snapshot) Service(name string) (*profile.Service, *profile.Profile, bool) {
	service, ok := s.services[name]
	if !ok {
		return nil, nil, false
	}
	p, ok := s.profiles[service.Profile()]
	return service, p, ok
}

// Services returns all services by name.
func (s *Snapshot) Services() map[string]*profile.Service { return s.services }

// Customers returns all customers by name.
func (s *Snapshot) Customers() map[string]*profile.Customer { return s.customers }

// CustomerByDigest returns the customer that owns the key with the given digest.
func (s *Snapshot) CustomerByDigest(digest string) (*profile.Customer, profile.Key, bool) {
	o, ok := s.keys[digest]
	return o.customer, o.key, ok
}

func (s *Snapshot) CustomerByName(name string) (*profile.Customer, bool) {
	c, ok := s.customers[name]
	return c, ok
}

// ChangedSince returns the records with a revision greater than after.
func (s *Snapshot) ChangedSince(after store.Revision) []store.Record {
	var out []store.Record
	for _, r := range s.records {
		if r.Revision() > after {
			out = append(out, r)
		}
	}
	return out
}

// merge returns a snapshot that includes every given record with a higher
// revision than the present one. It also returns the keys of records that could
// not be decoded; for those the previous decoded content stays in force.
func (s *Snapshot) merge(records []store.Record, revision store.Revision) (next *Snapshot, rejected []string) {
	next = newSnapshot()
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
			next.keepPrevious(s, r.Key())
		}
	}
	return next, rejected
}

// index decodes a record and adds it to the lookup maps. It reports whether the
// record could be decoded.
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
		s.keys[k.Digest()] = keyOwner{customer: c, key: k}
	}
}

// keepPrevious copies the decoded content of a record from an older snapshot.
func (s *Snapshot) keepPrevious(older *Snapshot, key string) {
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
