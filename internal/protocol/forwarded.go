package protocol

import "strings"

// internalPrefix begins the names of headers between instances of the program.
const internalPrefix = "x-cactusspoke-"

// hopByHopHeaders holds the headers, in lower case, that are not forwarded because
// they apply to a single connection or are set anew for the next one.
var hopByHopHeaders = map[string]bool{
	"connection": true, "keep-alive": true, "transfer-encoding": true, "te": true, "trailer": true,
	"upgrade": true, "proxy-connection": true, "proxy-authorization": true, "proxy-authenticate": true,
	"content-length": true, "host": true, "expect": true,
}

// HopByHop is the set of headers of a message that apply to a single connection.
type HopByHop struct{ options map[string]bool }

// NewHopByHop returns the hop-by-hop headers of a message: the usual ones and those that the
// value of its Connection header lists.
func NewHopByHop(connection string) HopByHop {
	options := map[string]bool{}
	for name := range strings.SplitSeq(strings.ToLower(connection), ",") {
		options[strings.TrimSpace(name)] = true
	}
	return HopByHop{options}
}

// Has reports whether a header must not be forwarded.
func (h HopByHop) Has(name string) bool {
	name = strings.ToLower(name)
	return hopByHopHeaders[name] || h.options[name]
}

// SetByInstance reports whether a header that came from a caller is not forwarded to backend
// servers because it holds the API key or only an instance may set it.
func (h Headers) SetByInstance(name string) bool {
	return strings.HasPrefix(strings.ToLower(name), internalPrefix) ||
		equalsAny(name, "Authorization", h.DeadlineMS, h.ExpectInstance, h.Customer)
}

// SetByScheduler reports the same for the headers of an item, whose request is the scheduler's
// own.
func (h Headers) SetByScheduler(name string) bool {
	return h.SetByInstance(name) || equalsAny(name, h.RequestID, h.Priority, h.LastEventID, h.Resumes)
}

// equalsAny reports whether a name equals one of others, whatever the case of its letters.
func equalsAny(name string, others ...string) bool {
	for _, other := range others {
		if strings.EqualFold(name, other) {
			return true
		}
	}
	return false
}
