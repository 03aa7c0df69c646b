package caller

import (
	"context"
	"strings"

	"cactusspoke/internal/failure"
	"cactusspoke/internal/forward"
	"cactusspoke/internal/profile"

	"github.com/cloudwego/hertz/pkg/app"
)

// maxIdempotencyKeyBytes is the maximum length of an idempotency key.
const maxIdempotencyKeyBytes = 255

// servePlain forwards requests to services of kind plain, which serve arbitrary
// HTTP routes.
func (s *Server) servePlain(ctx context.Context, c *app.RequestContext) error {
	requestInfoOf(c).service = c.Param("service")
	service, p, err := s.lookUpService(c.Param("service"), profile.Plain)
	if err != nil {
		return err
	}
	path := "/" + strings.TrimPrefix(c.Param("path"), "/")
	route, ok := matchRoute(p.Routes(), string(c.Method()), path)
	if !ok {
		return failure.New(failure.UnknownRoute, "service %s has no route %s %s", service.Name(), c.Method(), path)
	}
	caller, err := s.identifyForRoute(c, route, service.Name())
	if err != nil {
		return err
	}
	apiKey := presentedKey(c)
	data, err := readBody(c, p, apiKey)
	if err != nil {
		return err
	}
	target, err := forwardedURI(path, c, apiKey)
	if err != nil {
		return err
	}
	idempotencyKey := c.Request.Header.Get("Idempotency-Key")
	if len(idempotencyKey) > maxIdempotencyKeyBytes {
		return failure.New(failure.BadRequest, "Idempotency-Key: longer than %d bytes", maxIdempotencyKeyBytes)
	}
	request := forward.New(service, p, string(c.Method()), target, route.Method()+" "+route.Prefix()).
		WithBody(string(c.Request.Header.ContentType()), data, forwardedHeaders(c, apiKey)).
		WithIdempotency(route.Idempotent(), idempotencyKey)
	if caller.customer != nil {
		request.WithCustomer(caller.customer, caller.digest, caller.apiKey)
	}
	return s.forwardRequest(ctx, c, request)
}

// identifyForRoute authenticates the caller and checks its access to the service,
// unless the route is public.
func (s *Server) identifyForRoute(c *app.RequestContext, route profile.Route, service string) (identity, error) {
	if route.Open() {
		return identity{}, nil
	}
	caller, err := s.identify(c)
	if err != nil {
		return identity{}, err
	}
	return caller, caller.checkAccess(service)
}

// matchRoute returns the route with the longest prefix of a path.
func matchRoute(routes []profile.Route, method, path string) (profile.Route, bool) {
	var best profile.Route
	found := false
	for _, r := range routes {
		if r.Method() != method || !isPathPrefix(r.Prefix(), path) {
			continue
		}
		if !found || len(r.Prefix()) > len(best.Prefix()) {
			best = r
			found = true
		}
	}
	return best, found
}

// isPathPrefix reports whether prefix is a prefix of path that ends at a segment
// boundary.
func isPathPrefix(prefix, path string) bool {
	rest, ok := strings.CutPrefix(path, prefix)
	if !ok {
		return false
	}
	return rest == "" || strings.HasSuffix(prefix, "/") || rest[0] == '/'
}
