package configcheck

import (
	"fmt"
	"net"
	"slices"
	"strconv"
	"strings"
	"time"

	"cactusspoke/internal/routetable"
)

// Bounds of plausible values, far above values in use. They catch wrong units and typing
// errors, such as a time in nanoseconds instead of milliseconds.
const (
	maxRequestTime    = 24 * time.Hour
	maxRetryTime      = 30 * 24 * time.Hour
	maxBootTime       = time.Hour
	maxPlausible      = 1e6
	maxAttempts       = 100
	maxPriority       = 9 // the lowest engine priority; see internal/scheduler
	maxScalingServers = 10_000
	maxBytes          = 1 << 40
)

// bound is the highest plausible value of a field.
type bound struct {
	max  float64
	unit string
}

func upTo(limit time.Duration) bound { return bound{max: limit.Seconds(), unit: " s"} }

// bounds are the highest plausible values by field. The lowest is 0 for all.
var bounds = map[Field]bound{
	SplitWeight:      {max: maxPlausible},
	Timeout:          upTo(maxRequestTime),
	LatencyObjective: upTo(maxRequestTime),
	DueAfter:         upTo(maxRetryTime),
	RetryFor:         upTo(maxRetryTime),
	MaxAttempts:      {max: maxAttempts},
	Priority:         {max: maxPriority},
	MaxConns:         {max: maxPlausible},
	ColdStart:        upTo(routetable.MaxColdStart),
	ColdPerSecond:    {max: maxPlausible},
	ScalingMin:       {max: maxScalingServers},
	ScalingMax:       {max: maxScalingServers},
	BootTime:         upTo(maxBootTime),
	SpotPrice:        {max: maxPlausible},
	DomainPrice:      {max: maxPlausible},
	HeaderBytes:      {max: maxBytes},
	BodyBytes:        {max: maxBytes},
	HeaderTimeout:    upTo(maxRequestTime),
	IdleTimeout:      upTo(maxRequestTime),
}

// kinds are the known kinds of routes.
var kinds = []routetable.Kind{routetable.Safe, routetable.Unsafe, routetable.Streaming, routetable.Rollout}

// checker collects the problems of a configuration.
type checker struct {
	*Configuration
	table    *routetable.Table
	problems []Problem
	// implausible holds the records with an implausible number. Their limits are not compared,
	// since the number may be too large for a duration.
	implausible map[Place]bool
}

func (k *checker) fail(p Place, format string, args ...any) {
	k.problems = append(k.problems, Problem{Place: p, Text: fmt.Sprintf(format, args...)})
}

func (k *checker) warn(p Place, format string, args ...any) {
	k.problems = append(k.problems, Problem{Place: p, Text: fmt.Sprintf(format, args...), Warning: true})
}

func (k *checker) checkVersion() {
	place := Place{Field: Version}
	switch {
	case k.Version <= 0:
		k.fail(place, "is missing or not positive")
	case k.ActiveVersion > 0 && k.Version <= k.ActiveVersion:
		k.fail(place, "%d is not higher than the active version %d, and would be ignored", k.Version, k.ActiveVersion)
	}
}

func (k *checker) checkNumbers() {
	for _, n := range k.Numbers {
		limit, bounded := bounds[n.Place.Field]
		switch {
		case n.Value < 0:
			k.fail(n.Place, "is negative")
		case bounded && n.Value > limit.max:
			k.fail(n.Place, "is implausible: %s%s is more than %s%s", number(n.Value), limit.unit, number(limit.max), limit.unit)
		default:
			continue
		}
		k.implausible[n.Place.record()] = true
	}
}

// number formats a number without an exponent unless it is very large.
func number(v float64) string {
	if v >= 1e15 {
		return strconv.FormatFloat(v, 'g', -1, 64)
	}
	return strconv.FormatFloat(v, 'f', -1, 64)
}

// checkName reports a missing name, or one that an earlier record of the section has.
func (k *checker) checkName(section Section, index int, name string, seen map[string]int) {
	place := Place{Section: section, Index: index, Field: Name}
	first, duplicate := seen[name]
	switch {
	case name == "":
		k.fail(place, "is missing")
	case duplicate:
		k.fail(place, "%q is also the name of entry %d", name, first)
	default:
		seen[name] = index
	}
}

func (k *checker) checkRoutes() {
	names := map[string]int{}
	for i, r := range k.Routes {
		at := func(field Field) Place { return Place{Section: Routes, Index: i, Field: field} }
		k.checkName(Routes, i, r.Name, names)
		if !slices.Contains(kinds, r.Kind) {
			k.fail(at(Kind), "%q is not one of %v", r.Kind, kinds)
		}
		k.checkMatching(r, at)
		k.checkTargets(i, r, at)
		if !k.implausible[Place{Section: Routes, Index: i}] {
			k.checkTimes(r, at)
		}
	}
}

// checkMatching reports what keeps requests from reaching a route.
func (k *checker) checkMatching(r Route, at func(Field) Place) {
	if r.Host == "" {
		k.fail(at(Host), "is missing, no request matches")
	}
	if r.Host != strings.ToLower(r.Host) {
		k.warn(at(Host), "%q has upper case, which is ignored", r.Host)
	}
	if _, port, err := net.SplitHostPort(r.Host); err == nil {
		k.warn(at(Host), "only requests whose Host header names port %q match", port)
	}
	switch {
	case r.Prefix == "":
		k.fail(at(Prefix), "is missing, all paths of the host match; use \"/\" if this is intended")
	case !strings.HasPrefix(r.Prefix, "/"):
		k.fail(at(Prefix), "%q does not start with \"/\", no path matches", r.Prefix)
	case strings.Contains(r.Prefix, "?"):
		k.fail(at(Prefix), "%q contains a query, no path matches", r.Prefix)
	}
	// The route table resolves a route's own prefix to another route only if that one has the
	// same host and prefix and comes first.
	if winner, ok := k.table.Match(r.Host, r.Prefix); ok && winner != r.Route {
		first := slices.IndexFunc(k.Routes, func(other Route) bool { return other.Route == winner })
		k.fail(at(Prefix), "never matches: route %d, %q, has the same host and prefix", first, winner.Name)
	}
}

// checkTargets reports problems of the services of a route.
func (k *checker) checkTargets(index int, r Route, at func(Field) Place) {
	if len(r.Split) == 0 {
		k.fail(at(Service), "is missing")
		return
	}
	sum, generates := 0, false
	for i, target := range r.Split {
		place := at(Service)
		if r.Weighted {
			place = Place{Section: Routes, Index: index, Field: SplitService, Element: strconv.Itoa(i)}
		}
		service, ok := k.table.Service(target.Service)
		switch {
		case target.Service == "":
			k.fail(place, "is missing")
		case !ok:
			k.fail(place, "service %q is not defined", target.Service)
		}
		generates = generates || !ok || len(service.Models) > 0
		sum += target.Weight
	}
	if sum == 0 {
		k.fail(at(SplitList), "the weights sum to 0")
	}
	if r.Kind == routetable.Rollout && !generates {
		k.warn(at(Kind), "accepts jobs, but none of its services has a model")
	}
}

// checkTimes reports times of a route that contradict each other. A time of 0 stands for the
// default and is not compared.
func (k *checker) checkTimes(r Route, at func(Field) Place) {
	attempts := time.Duration(r.MaxAttempts)
	switch {
	case r.Timeout == 0 || r.LatencyObjective == 0:
	case r.LatencyObjective > r.Timeout:
		k.fail(at(LatencyObjective), "%v is more than the timeout of %v", r.LatencyObjective, r.Timeout)
	case attempts*r.LatencyObjective > r.Timeout:
		k.warn(at(MaxAttempts), "%d attempts of %v each do not fit into the timeout of %v", r.MaxAttempts, r.LatencyObjective, r.Timeout)
	}
	if r.RetryFor > 0 && r.DueAfter > r.RetryFor {
		k.fail(at(DueAfter), "%v is more than the %v for which items are retried", r.DueAfter, r.RetryFor)
	}
}

func (k *checker) checkServices() {
	names := map[string]int{}
	for i, s := range k.Services {
		at := func(field Field) Place { return Place{Section: Services, Index: i, Field: field} }
		k.checkName(Services, i, s.Name, names)
		k.checkModels(i, s)
		used := k.routesTo(s.Name)
		if s.Name != "" && len(used) == 0 {
			k.warn(at(Name), "no route uses service %q", s.Name)
		}
		if k.implausible[Place{Section: Services, Index: i}] {
			continue
		}
		if s.ColdStart > 0 && s.ColdPerSecond == 0 {
			k.fail(at(ColdPerSecond), "is missing or 0 although servers are cold for %v", s.ColdStart)
		}
		if s.Scaling == nil {
			continue
		}
		if s.Scaling.Min > s.Scaling.Max {
			k.fail(at(ScalingMin), "%d is more than the maximum of %d", s.Scaling.Min, s.Scaling.Max)
		}
		if due := latestDue(used); due > 0 && s.Scaling.BootTime > due {
			k.warn(at(BootTime), "%v is more than the time after which jobs of all its routes are due, %v at most", s.Scaling.BootTime, due)
		}
	}
}

// checkModels reports missing and duplicate names of models.
func (k *checker) checkModels(index int, s *routetable.Service) {
	for i, model := range s.Models {
		place := Place{Section: Services, Index: index, Field: Model, Element: strconv.Itoa(i)}
		switch first := slices.Index(s.Models, model); {
		case model == "":
			k.fail(place, "is missing")
		case first < i:
			k.fail(place, "%q is also the name of entry %d", model, first)
		}
	}
}

// routesTo returns the routes that name a service, also with a weight of 0.
func (k *checker) routesTo(service string) []Route {
	var out []Route
	for _, r := range k.Routes {
		if slices.ContainsFunc(r.Split, func(t routetable.WeightedService) bool { return t.Service == service }) {
			out = append(out, r)
		}
	}
	return out
}

// latestDue returns the longest time after which jobs of any of the routes are due; 0 if none
// states it.
func latestDue(routes []Route) time.Duration {
	var latest time.Duration
	for _, r := range routes {
		latest = max(latest, r.DueAfter)
	}
	return latest
}

// checkCustomers reports problems of customers and their keys. Keys are secret: texts identify
// them by customer and position.
func (k *checker) checkCustomers() {
	type owner struct{ customer, position int }
	names, owners := map[string]int{}, map[string]owner{}
	for i, c := range k.Customers {
		k.checkName(Customers, i, c.Name, names)
		if len(c.Keys) == 0 {
			k.warn(Place{Section: Customers, Index: i, Field: Keys}, "customer %q has no key", c.Name)
		}
		for j, key := range c.Keys {
			place := Place{Section: Customers, Index: i, Field: Keys, Element: strconv.Itoa(j)}
			first, known := owners[key]
			switch {
			case key == "":
				k.fail(place, "is empty")
			case !known:
				owners[key] = owner{i, j}
			case first.customer == i:
				k.warn(place, "is the same as key %d of this customer", first.position)
			default:
				k.fail(place, "is the same as key %d of customer %d, %q", first.position, first.customer, k.Customers[first.customer].Name)
			}
		}
	}
}

func (k *checker) checkLimits() {
	if k.implausible[Place{Section: Limits}] {
		return
	}
	if k.Limits.BodyBytes > 0 && k.Limits.HeaderBytes > k.Limits.BodyBytes {
		k.warn(Place{Section: Limits, Field: HeaderBytes}, "%d is more than the limit of a body, %d", k.Limits.HeaderBytes, k.Limits.BodyBytes)
	}
	if k.IdleTimeout > 0 && k.HeaderTimeout > k.IdleTimeout {
		k.warn(Place{Section: Limits, Field: HeaderTimeout}, "%v is more than the idle timeout of %v", k.HeaderTimeout, k.IdleTimeout)
	}
}
