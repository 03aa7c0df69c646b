// Package forward forwards requests of authenticated callers to backend servers
// and returns the responses.
package forward

import (
	"cactusspoke/internal/admission"
	"cactusspoke/internal/backendserver"
	"cactusspoke/internal/profile"
	"cactusspoke/internal/routing"
)

// Request is a request of an authenticated caller. Optional fields are set with
// the With methods.
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
	attributes     routing.Attributes
	cost           float64
	priority       admission.Priority
	hideUsage      bool
	minVersion     int64
}

// New returns a request to a service that uses the given profile.
func New(service *profile.Service, p *profile.Profile, method, uri, route string) *Request {
	return &Request{service: service, profile: p, method: method, uri: uri, route: route, attributes: routing.NewAttributes(), cost: 1}
}

// WithCustomer sets the customer and the digest of its API key. The secret is
// the key itself, which is used to check that no outgoing request contains it.
func (r *Request) WithCustomer(c *profile.Customer, digest, secret string) *Request {
	r.customer = c
	r.digest = digest
	r.secret = secret
	return r
}

// WithBody sets the body, its content type and additional headers.
func (r *Request) WithBody(contentType string, body []byte, headers []backendserver.Header) *Request {
	r.contentType = contentType
	r.body = body
	r.headers = headers
	return r
}

// WithIdempotency sets whether the request may run more than once, and the
// caller's idempotency key, which may be empty.
func (r *Request) WithIdempotency(idempotent bool, key string) *Request {
	r.idempotent = idempotent
	r.idempotencyKey = key
	return r
}

// WithRouting sets the attributes used for routing and the expected cost in
// tokens.
func (r *Request) WithRouting(attributes routing.Attributes, cost float64) *Request {
	r.attributes = attributes
	r.cost = cost
	return r
}

// WithPriority sets the priority class.
func (r *Request) WithPriority(p admission.Priority) *Request {
	r.priority = p
	return r
}

// WithMinWeightVersion restricts the request to servers with at least the given
// weight version.
func (r *Request) WithMinWeightVersion(version int64) *Request {
	r.minVersion = version
	return r
}

// WithoutUsageEvent drops the final usage event from the stream, for callers
// that did not request it.
func (r *Request) WithoutUsageEvent() *Request {
	r.hideUsage = true
	return r
}

// CustomerName returns the name of the customer, or AnonymousCustomer if the
// route needs no key.
func (r *Request) CustomerName() string {
	if r.customer == nil {
		return AnonymousCustomer
	}
	return r.customer.Name()
}

// ServiceName returns the name of the requested service.
func (r *Request) ServiceName() string { return r.service.Name() }

// AnonymousCustomer is the customer name of callers of routes that need no key.
const AnonymousCustomer = "open"

func (r *Request) weight() float64 {
	if r.customer == nil {
		return 1
	}
	return r.customer.Weight()
}

func (r *Request) claimed() bool { return !r.idempotent && r.idempotencyKey != "" }

// Sink receives the response. Before Begin is called, the caller has been sent
// nothing, and an error of Do can be returned as a complete response.
type Sink interface {
	// Begin sends the status and the content type.
	Begin(status int, contentType string) error
	// Event sends one event of a stream.
	Event(data []byte) error
	// Body sends a complete body.
	Body(body []byte) error
}

// CancelsOnKeyWithdrawal reports whether a running request is cancelled when
// its key is withdrawn.
func (r *Request) CancelsOnKeyWithdrawal() bool {
	return r.customer != nil && r.profile.Withdrawal() == profile.EndRunning
}
