// Package configcheck checks a configuration before the operator applies it: references between
// records, routes that can never match, implausible numbers and limits that contradict each other.
// It is independent of file formats; a caller translates its places.
package configcheck

import (
	"time"

	"cactusspoke/internal/routetable"
)

// Section is a part of a configuration.
type Section string

// The sections of a configuration.
const (
	Whole     Section = ""
	Routes    Section = "routes"
	Services  Section = "services"
	Customers Section = "customers"
	Limits    Section = "limits"
)

// Field is a field of a record.
type Field string

// The fields that problems can be reported for.
const (
	Version          Field = "version"
	Name             Field = "name"
	Host             Field = "host"
	Prefix           Field = "prefix"
	Kind             Field = "kind"
	Service          Field = "service"
	SplitList        Field = "split"
	SplitService     Field = "split-service"
	SplitWeight      Field = "split-weight"
	Timeout          Field = "timeout"
	LatencyObjective Field = "latency-objective"
	DueAfter         Field = "due-after"
	RetryFor         Field = "retry-for"
	MaxAttempts      Field = "max-attempts"
	Priority         Field = "priority"
	Model            Field = "model"
	MaxConns         Field = "max-conns"
	ColdStart        Field = "cold-start"
	ColdPerSecond    Field = "cold-per-second"
	ScalingMin       Field = "scaling-min"
	ScalingMax       Field = "scaling-max"
	BootTime         Field = "boot-time"
	SpotPrice        Field = "spot-price"
	DomainPrice      Field = "domain-price"
	Keys             Field = "keys"
	HeaderBytes      Field = "header-bytes"
	BodyBytes        Field = "body-bytes"
	HeaderTimeout    Field = "header-timeout"
	IdleTimeout      Field = "idle-timeout"
)

// Place identifies a field of a record.
type Place struct {
	Section Section
	// Index is the position of the record in its section.
	Index int
	Field Field
	// Element is the index or the key within the field if it is a list or a map, and empty for
	// the whole field.
	Element string
}

// record returns the place without its field.
func (p Place) record() Place { return Place{Section: p.Section, Index: p.Index} }

// Number is a number as written in the configuration, with durations in seconds. It may be too
// large for the types of the route table.
type Number struct {
	Place Place
	Value float64
}

// Route is a route as the processes decode it.
type Route struct {
	*routetable.Route
	// Weighted is set if the route lists services with weights, and not just names one.
	Weighted bool
}

// Configuration is a decoded configuration with its records in the order of the file.
type Configuration struct {
	Version int64
	// ActiveVersion is the version in effect; 0 if it is not known.
	ActiveVersion int64
	Routes        []Route
	Services      []*routetable.Service
	Customers     []*routetable.Customer
	Limits        routetable.Limits
	// HeaderTimeout and IdleTimeout are limits of connections; 0 if absent.
	HeaderTimeout, IdleTimeout time.Duration
	Numbers                    []Number
}

// Problem is a violated rule.
type Problem struct {
	Place Place
	Text  string
	// Warning is set if the configuration can be used nevertheless.
	Warning bool
}

// Check returns the problems of a configuration.
func Check(c *Configuration) []Problem {
	routes := make([]*routetable.Route, 0, len(c.Routes))
	for _, r := range c.Routes {
		routes = append(routes, r.Route)
	}
	k := &checker{Configuration: c, table: routetable.New(c.Version, routes, c.Services, c.Customers, c.Limits), implausible: map[Place]bool{}}
	k.checkVersion()
	k.checkNumbers()
	k.checkRoutes()
	k.checkServices()
	k.checkCustomers()
	k.checkLimits()
	return k.problems
}
