package http1

import (
	"strings"

	"golang.org/x/net/http/httpguts"
)

// ErrInvalidRequest means that a request cannot be written in HTTP/1.1 as it is: a server would
// read something else, such as a second request behind a line break. Nothing was sent.
var ErrInvalidRequest = Class.New("request is not valid in HTTP/1.1")

// Validate returns an error that wraps ErrInvalidRequest if a part of the request cannot be
// written as it is.
func (r *Request) Validate() error {
	switch {
	case !httpguts.ValidHeaderFieldName(r.Method):
		return Class.New("%w: method %q", ErrInvalidRequest, r.Method)
	case !ValidTarget(r.URI):
		return Class.New("%w: target %q", ErrInvalidRequest, r.URI)
	case !ValidHost(r.Host):
		return Class.New("%w: host %q", ErrInvalidRequest, r.Host)
	}
	for _, h := range r.Headers {
		if !ValidHeader(h) {
			return Class.New("%w: header %q", ErrInvalidRequest, h.Name)
		}
	}
	return nil
}

// ValidTarget reports whether a text can be the target of a request: a path with an optional
// query, without spaces and control characters.
func ValidTarget(target string) bool {
	return strings.HasPrefix(target, "/") && !strings.ContainsFunc(target, func(c rune) bool { return c <= ' ' || c == 0x7f })
}

// ValidHost reports whether a text can be the value of a Host header.
func ValidHost(host string) bool { return host != "" && httpguts.ValidHostHeader(host) }

// ValidHeader reports whether a header can be sent as it is. White space around the value is
// allowed, and its receiver drops it.
func ValidHeader(h Header) bool {
	return httpguts.ValidHeaderFieldName(h.Name) && httpguts.ValidHeaderFieldValue(h.Value)
}

// ValidID reports whether a text can be the value of a header that identifies something, which
// its receiver must get unchanged.
func ValidID(id string) bool {
	return id != "" && httpguts.ValidHeaderFieldValue(id) && strings.Trim(id, " \t") == id
}
