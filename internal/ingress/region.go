package ingress

import (
	"maps"
	"slices"

	"cactusspoke/internal/routetable"
)

// mayReach reports whether a request may reach servers in a failure domain. It is called for
// each server, so it looks up the region only if regions are restricted.
func (s *Server) mayReach(r *callerRequest, domain string) bool {
	return !r.regions.Restricted() || r.regions.Allows(s.Regions[domain])
}

// allowedDomain returns a function that reports whether the body of a request may be sent to
// other instances in a failure domain.
func (s *Server) allowedDomain(r *callerRequest) func(domain string) bool {
	return s.domainsOf(r.regions)
}

// domainsOf returns a function that reports whether a failure domain is in one of the regions.
func (s *Server) domainsOf(regions routetable.RegionSet) func(domain string) bool {
	return func(domain string) bool { return regions.Allows(s.Regions[domain]) }
}

// knownRegions returns the regions of all failure domains.
func (s *Server) knownRegions() []string { return slices.Collect(maps.Values(s.Regions)) }

// lookupPreferences returns, in order, which failure domains' instances a caller should
// connect to. Where all failure domains are in one region, there are none.
func (s *Server) lookupPreferences(host, region, domain string) []func(domain string) bool {
	known := s.knownRegions()
	if len(known) == 0 || !slices.ContainsFunc(known, func(other string) bool { return other != known[0] }) {
		return nil
	}
	if region == "" {
		region = s.Regions[domain]
	}
	preferences := []func(domain string) bool{func(d string) bool { return region != "" && s.Regions[d] == region }}
	if table := s.View.Table(); table != nil {
		preferences = append(preferences, s.domainsOf(table.HostRegions(host)))
	}
	return preferences
}
