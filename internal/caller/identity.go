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

// identity is the authenticated customer and API key of a request.
type identity struct {
	customer *profile.Customer
	digest   string
	apiKey   string
}

// presentedKey returns the API key in the headers of a request, or an empty
// string if there is none.
func presentedKey(c *app.RequestContext) string {
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

// identify authenticates a request by its API key.
func (s *Server) identify(c *app.RequestContext) (identity, error) {
	apiKey := presentedKey(c)
	if apiKey == "" {
		return identity{}, failure.New(failure.Unauthenticated, "the request shows no key")
	}
	if len(apiKey) > key.MaxBytes {
		return identity{}, failure.New(failure.Unauthenticated, "the key is not known")
	}
	digest := key.Digest(s.digestSecret, apiKey)
	customer, known, allowed := s.view.Allowed(digest)
	if !known {
		return identity{}, failure.New(failure.Unauthenticated, "the key is not known")
	}
	requestInfoOf(c).customer = customer.Name()
	if !allowed {
		return identity{}, failure.New(failure.KeyWithdrawn, "the key was withdrawn")
	}
	return identity{customer, digest, apiKey}, nil
}

// checkAccess returns an error if the customer may not use a service.
func (i identity) checkAccess(service string) error {
	if !i.customer.MayUse(service) {
		return failure.New(failure.Forbidden, "customer %s may not use %s", i.customer.Name(), service)
	}
	return nil
}

// unforwardedHeaders are the request headers that are not forwarded to backend
// servers: credentials, hop-by-hop headers, headers that this server sets itself,
// and trace headers, which may contain arbitrary data.
var unforwardedHeaders = map[string]bool{
	"authorization": true, "proxy-authorization": true, "x-api-key": true, "api-key": true, "cookie": true,
	"host": true, "connection": true, "content-length": true, "transfer-encoding": true, "keep-alive": true,
	"te": true, "trailer": true, "upgrade": true, "expect": true, "content-type": true,
	"traceparent": true, "tracestate": true, "baggage": true,
	"x-request-id": true, "x-priority": true, "idempotency-key": true,
}

// forwardedHeaders returns the headers to forward to a backend server. Headers
// that contain the caller's API key are left out.
func forwardedHeaders(c *app.RequestContext, apiKey string) []backendserver.Header {
	var forwarded []backendserver.Header
	c.Request.Header.VisitAll(func(name, value []byte) {
		if unforwardedHeaders[strings.ToLower(string(name))] {
			return
		}
		if apiKey != "" && bytes.Contains(value, []byte(apiKey)) {
			return
		}
		forwarded = append(forwarded, backendserver.NewHeader(string(name), string(value)))
	})
	return forwarded
}

// forwardedURI returns the path and query to forward. Query parameters that
// contain the caller's API key are removed; a path that contains it is refused.
func forwardedURI(path string, c *app.RequestContext, apiKey string) (string, error) {
	query := c.Request.URI().QueryString()
	target := (&url.URL{Path: path}).EscapedPath()
	if apiKey != "" && strings.Contains(path, apiKey) {
		return "", failure.New(failure.BadRequest, "the path holds the key")
	}
	if len(query) == 0 {
		return target, nil
	}
	values, err := url.ParseQuery(string(query))
	if err != nil {
		return "", failure.New(failure.BadRequest, "the query cannot be read")
	}
	if apiKey == "" || !queryContains(values, apiKey) {
		return target + "?" + string(query), nil
	}
	for name, list := range values {
		if strings.Contains(name, apiKey) || strings.Contains(strings.Join(list, "\n"), apiKey) {
			values.Del(name)
		}
	}
	return target + "?" + values.Encode(), nil
}

// queryContains reports whether a query parameter contains the API key.
func queryContains(values url.Values, apiKey string) bool {
	for name, list := range values {
		if strings.Contains(name, apiKey) || strings.Contains(strings.Join(list, "\n"), apiKey) {
			return true
		}
	}
	return false
}

// readBody returns the request body. It refuses bodies that are too large or
// that contain the caller's API key.
func readBody(c *app.RequestContext, p *profile.Profile, apiKey string) ([]byte, error) {
	data, err := c.Body()
	if err != nil {
		return nil, failure.New(failure.BadRequest, "the body did not arrive whole")
	}
	if len(data) > p.MaxBodyBytes() {
		return nil, failure.New(failure.TooLarge, "the body has %d bytes, over %d", len(data), p.MaxBodyBytes())
	}
	if apiKey != "" && bytes.Contains(data, []byte(apiKey)) {
		return nil, failure.New(failure.BadRequest, "the body holds the key")
	}
	return data, nil
}

// keyCheckInterval is the interval at which the API key of a running request is
// checked if the profile cancels running requests of withdrawn keys.
const keyCheckInterval = 500 * time.Millisecond
