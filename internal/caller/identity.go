package caller

import (
	"bytes"
	"net/url"
	"strings"
	"time"

	"cactusspoke/internal/backendserver"
	"cactusspoke/internal/failure"
	"cactusspoke/internal/key"
	"cactusspoke/internal/profile"

	"github.com/cloudwego/hertz/pkg/app"
)

// identity is who a request comes from.
type identity struct {
	customer *profile.Customer
	digest   string
	secret   string
}

// shown returns the key that a request shows; empty means none.
func shown(c *app.RequestContext) string {
	if bearer, ok := strings.CutPrefix(c.Request.Header.Get("Authorization"), "Bearer "); ok {
		return strings.TrimSpace(bearer)
	}
	for _, name := range []string{"X-Api-Key", "Api-Key"} {
		if v := c.Request.Header.Get(name); v != "" {
			return strings.TrimSpace(v)
		}
	}
	return ""
}

// identify returns the customer of the key that a request shows.
func (s *Server) identify(c *app.RequestContext) (identity, error) {
	text := shown(c)
	if text == "" {
		return identity{}, failure.New(failure.Unauthenticated, "the request shows no key")
	}
	if len(text) > key.MaxBytes {
		return identity{}, failure.New(failure.Unauthenticated, "the key is not known")
	}
	digest := key.Digest(s.secret, text)
	customer, known, allowed := s.view.Allowed(digest)
	if !known {
		return identity{}, failure.New(failure.Unauthenticated, "the key is not known")
	}
	accountOf(c).customer = customer.Name()
	if !allowed {
		return identity{}, failure.New(failure.KeyWithdrawn, "the key was withdrawn")
	}
	return identity{customer, digest, text}, nil
}

// mayUse checks that a customer may use a service.
func (i identity) mayUse(service string) error {
	if !i.customer.MayUse(service) {
		return failure.New(failure.Forbidden, "customer %s may not use %s", i.customer.Name(), service)
	}
	return nil
}

// dropped lists the request headers that stay behind: credentials, hop-by-hop
// headers, and trace headers that may carry anything.
var dropped = map[string]bool{
	"authorization": true, "proxy-authorization": true, "x-api-key": true, "api-key": true, "cookie": true,
	"host": true, "connection": true, "content-length": true, "transfer-encoding": true, "keep-alive": true,
	"te": true, "trailer": true, "upgrade": true, "expect": true, "content-type": true,
	"traceparent": true, "tracestate": true, "baggage": true,
	"x-request-id": true, "x-priority": true, "idempotency-key": true,
}

// headers returns the headers that go on to a backend server. One that holds
// the caller's key stays behind.
func headers(c *app.RequestContext, secret string) []backendserver.Header {
	var out []backendserver.Header
	c.Request.Header.VisitAll(func(name, value []byte) {
		if dropped[strings.ToLower(string(name))] {
			return
		}
		if secret != "" && bytes.Contains(value, []byte(secret)) {
			return
		}
		out = append(out, backendserver.NewHeader(string(name), string(value)))
	})
	return out
}

// uri returns the path and query that go on. Query values that hold the key
// are taken out; a key in the path or the body is refused.
func uri(path string, c *app.RequestContext, secret string) (string, error) {
	query := c.Request.URI().QueryString()
	out := (&url.URL{Path: path}).EscapedPath()
	if secret != "" && strings.Contains(path, secret) {
		return "", failure.New(failure.BadRequest, "the path holds the key")
	}
	if len(query) == 0 {
		return out, nil
	}
	values, err := url.ParseQuery(string(query))
	if err != nil {
		return "", failure.New(failure.BadRequest, "the query cannot be read")
	}
	if secret == "" || !holds(values, secret) {
		return out + "?" + string(query), nil
	}
	for name, list := range values {
		if strings.Contains(name, secret) || strings.Contains(strings.Join(list, "\n"), secret) {
			values.Del(name)
		}
	}
	return out + "?" + values.Encode(), nil
}

func holds(values url.Values, secret string) bool {
	for name, list := range values {
		if strings.Contains(name, secret) || strings.Contains(strings.Join(list, "\n"), secret) {
			return true
		}
	}
	return false
}

// body returns the request's body after checking its size and that it does
// not hold the caller's key.
func body(c *app.RequestContext, p *profile.Profile, secret string) ([]byte, error) {
	data, err := c.Body()
	if err != nil {
		return nil, failure.New(failure.BadRequest, "the body did not arrive whole")
	}
	if len(data) > p.MaxBodyBytes() {
		return nil, failure.New(failure.TooLarge, "the body has %d bytes, over %d", len(data), p.MaxBodyBytes())
	}
	if secret != "" && bytes.Contains(data, []byte(secret)) {
		return nil, failure.New(failure.BadRequest, "the body holds the key")
	}
	return data, nil
}

// watchPeriod is how often a running answer's key is checked where the
// profile says that withdrawal ends running work.
const watchPeriod = 500 * time.Millisecond
