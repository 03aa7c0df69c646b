package routetable

import (
	"slices"
	"strings"
)

// RegionSet is the set of regions that a request may reach. The zero value allows all.
type RegionSet struct {
	restricted bool
	names      []string
}

// newRegionSet returns the set of a list; an empty one allows all regions.
func newRegionSet(names []string) RegionSet {
	return RegionSet{restricted: len(names) > 0, names: names}
}

// Allows reports whether servers in a region may get the request. An unknown region, whose
// name is empty, is allowed only if all are.
func (s RegionSet) Allows(region string) bool {
	return !s.restricted || region != "" && slices.Contains(s.names, region)
}

// AllowsAny reports whether any of the known regions is allowed.
func (s RegionSet) AllowsAny(known []string) bool {
	return !s.restricted || slices.ContainsFunc(known, s.Allows)
}

// Restricted reports whether the set excludes any region.
func (s RegionSet) Restricted() bool { return s.restricted }

// intersect returns the regions that both sets allow.
func (s RegionSet) intersect(other RegionSet) RegionSet {
	switch {
	case !s.restricted:
		return other
	case !other.restricted:
		return s
	}
	both := RegionSet{restricted: true}
	for _, name := range s.names {
		if slices.Contains(other.names, name) {
			both.names = append(both.names, name)
		}
	}
	return both
}

// AllowedRegions returns the regions that a customer's requests on a route may reach. The
// customer is empty for requests without an API key.
func (t *Table) AllowedRegions(r *Route, customer string) RegionSet {
	allowed := newRegionSet(r.Regions)
	if c, ok := t.customersByName[customer]; ok {
		allowed = allowed.intersect(newRegionSet(c.Regions))
	}
	return allowed
}

// HostRegions returns the regions that any route of a host allows.
func (t *Table) HostRegions(host string) RegionSet {
	routes := t.routes[strings.ToLower(host)]
	if len(routes) == 0 {
		return RegionSet{}
	}
	out := RegionSet{restricted: true}
	for _, r := range routes {
		if len(r.Regions) == 0 {
			return RegionSet{}
		}
		out.names = append(out.names, r.Regions...)
	}
	return out
}

// withoutRegion returns the routes and customers whose lists name none of the known regions,
// in order.
func (t *Table) withoutRegion(known []string) []string {
	var out []string
	for _, r := range t.Routes() {
		if !newRegionSet(r.Regions).AllowsAny(known) {
			out = append(out, "route "+r.Name)
		}
	}
	for name, c := range t.customersByName {
		if !newRegionSet(c.Regions).AllowsAny(known) {
			out = append(out, "customer "+name)
		}
	}
	slices.Sort(out)
	return out
}
