// Package forward takes a request from an identified caller to a backend
// server and its answer back.
package forward

import (
	"cactusspoke/internal/admission"
	"cactusspoke/internal/backendserver"
	"cactusspoke/internal/profile"
	"cactusspoke/internal/routing"
)

// Request is one identified request. Fields are set with the With methods.
type Request struct {
	service        *profile.Service
	profile        *profile.Profile
	customer       *profile.Customer
	digest         string
	secret         string
	method         string
	uri            string
	route          string
	contentType    string
	headers        []backendserver.Header
	body           []byte
	idempotent     bool
	idempotencyKey string
	work           routing.Work
	cost           float64
	priority       admission.Priority
	hideUsage      bool
	minVersion     int64
}

// New returns a request to a service under its profile.
func New(service *profile.Service, p *profile.Profile, method, uri, route string) *Request {
	return &Request{service: service, profile: p, method: method, uri: uri, route: route, work: routing.NewWork(), cost: 1}
}

// WithCustomer names the customer and the digest of the key that it showed.
// secret is the key itself, which is compared with what leaves.
func (r *Request) WithCustomer(c *profile.Customer, digest, secret string) *Request {
	r.customer = c
	r.digest = digest
	r.secret = secret
	return r
}

// WithBody sets the body, its type and further headers.
func (r *Request) WithBody(contentType string, body []byte, headers []backendserver.Header) *Request {
	r.contentType = contentType
	r.body = body
	r.headers = headers
	return r
}

// WithIdempotency says whether the request may run more than once, and the
// caller's idempotency key; an empty key means none.
func (r *Request) WithIdempotency(idempotent bool, key string) *Request {
	r.idempotent = idempotent
	r.idempotencyKey = key
	return r
}

// WithWork sets what routing may know, and the expected cost in tokens.
func (r *Request) WithWork(work routing.Work, cost float64) *Request {
	r.work = work
	r.cost = cost
	return r
}

// WithPriority sets the class of the request.
func (r *Request) WithPriority(p admission.Priority) *Request {
	r.priority = p
	return r
}

// WithMinVersion keeps the request to servers that hold a weight version.
func (r *Request) WithMinVersion(version int64) *Request {
	r.minVersion = version
	return r
}

// HidingUsage drops the usage event that the caller did not ask for.
func (r *Request) HidingUsage() *Request {
	r.hideUsage = true
	return r
}

// CustomerName returns the customer, or a fixed word on open routes.
func (r *Request) CustomerName() string {
	if r.customer == nil {
		return OpenCustomer
	}
	return r.customer.Name()
}

// ServiceName returns the service that is asked for.
func (r *Request) ServiceName() string { return r.service.Name() }

// OpenCustomer stands for callers of routes that are open to all.
const OpenCustomer = "open"

func (r *Request) weight() float64 {
	if r.customer == nil {
		return 1
	}
	return r.customer.Weight()
}

func (r *Request) claimed() bool { return !r.idempotent && r.idempotencyKey != "" }

// Sink takes the answer. Nothing has been given to it when Do returns an
// error with Begun false.
type Sink interface {
	// Begin gives the status and the type of the body.
	Begin(status int, contentType string) error
	// Event gives one event of a stream.
	Event(data []byte) error
	// Body gives a whole body.
	Body(body []byte) error
}

// EndsOnWithdrawal tells whether running work ends when its key is withdrawn.
func (r *Request) EndsOnWithdrawal() bool {
	return r.customer != nil && r.profile.Withdrawal() == profile.EndRunning
}
