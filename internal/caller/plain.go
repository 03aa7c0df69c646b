package caller

import (
	"context"
	"strings"

	"cactusspoke/internal/failure"
	"cactusspoke/internal/forward"
	"cactusspoke/internal/profile"

	"github.com/cloudwego/hertz/pkg/app"
)

// maxKeyBytes is the longest idempotency key.
const maxKeyBytes = 255

// plain serves the routes of plain services.
func (s *Server) plain(ctx context.Context, c *app.RequestContext) error {
	accountOf(c).service = c.Param("service")
	service, p, err := s.service(c.Param("service"), profile.Plain)
	if err != nil {
		return err
	}
	path := "/" + strings.TrimPrefix(c.Param("path"), "/")
	route, ok := match(p.Routes(), string(c.Method()), path)
	if !ok {
		return failure.New(failure.UnknownRoute, "service %s has no route %s %s", service.Name(), c.Method(), path)
	}
	who, err := s.identifyFor(c, route, service.Name())
	if err != nil {
		return err
	}
	secret := shown(c)
	data, err := body(c, p, secret)
	if err != nil {
		return err
	}
	target, err := uri(path, c, secret)
	if err != nil {
		return err
	}
	idempotencyKey := c.Request.Header.Get("Idempotency-Key")
	if len(idempotencyKey) > maxKeyBytes {
		return failure.New(failure.BadRequest, "Idempotency-Key: longer than %d bytes", maxKeyBytes)
	}
	request := forward.New(service, p, string(c.Method()), target, route.Method()+" "+route.Prefix()).
		WithBody(string(c.Request.Header.ContentType()), data, headers(c, secret)).
		WithIdempotency(route.Idempotent(), idempotencyKey)
	if who.customer != nil {
		request.WithCustomer(who.customer, who.digest, who.secret)
	}
	return s.do(ctx, c, request)
}

// identifyFor identifies the caller, except on routes open to all.
func (s *Server) identifyFor(c *app.RequestContext, route profile.Route, service string) (identity, error) {
	if route.Open() {
		return identity{}, nil
	}
	who, err := s.identify(c)
	if err != nil {
		return identity{}, err
	}
	return who, who.mayUse(service)
}

// match returns the route with the longest prefix that covers a path.
func match(routes []profile.Route, method, path string) (profile.Route, bool) {
	var best profile.Route
	found := false
	for _, r := range routes {
		if r.Method() != method || !covers(r.Prefix(), path) {
			continue
		}
		if !found || len(r.Prefix()) > len(best.Prefix()) {
			best = r
			found = true
		}
	}
	return best, found
}

// covers tells whether a prefix ends at a border of the path's segments.
func covers(prefix, path string) bool {
	rest, ok := strings.CutPrefix(path, prefix)
	if !ok {
		return false
	}
	return rest == "" || strings.HasSuffix(prefix, "/") || rest[0] == '/'
}
