// Package failure defines the kinds of errors that callers can get and the
// response to each kind.
package failure

// Kind is a kind of error.
type Kind uint8

// All kinds of errors. The response to a value outside this list is that of
// Internal.
const (
	Internal Kind = iota
	BadRequest
	TooLarge
	Unauthenticated
	KeyWithdrawn
	WithdrawnWhileRunning
	Forbidden
	UnknownService
	UnknownRoute
	Overloaded
	QueueTimeout
	NoBackend
	CutOff
	Draining
	Quarantined
	KeyReused
	AlreadyRun
	StoreUnavailable
	BackendRefused
	BackendFailed
	BackendTimeout
	Truncated
	CallerGone
	Conflict
	StepUnknown
	StepPending
	StepAcknowledged
	KeepersUnavailable
	kindCount
)

// Ran states whether a request ran on a backend server.
type Ran uint8

const (
	RanUnknown Ran = iota
	RanNo
	RanYes
)

// String returns the value used on the wire.
func (r Ran) String() string {
	switch r {
	case RanNo:
		return "no"
	case RanYes:
		return "yes"
	default:
		return "unknown"
	}
}

// Response is the response to a caller for one kind of error.
type Response struct {
	name     string
	status   int
	ran      Ran
	mayRetry bool
}

// Name returns the kind's name on the wire.
func (a Response) Name() string { return a.name }

func (a Response) Status() int { return a.status }

// Ran states whether a request that failed with this kind ran.
func (a Response) Ran() Ran { return a.ran }

// MayRetry reports whether the caller may send the same request again.
func (a Response) MayRetry() bool { return a.mayRetry }

// responses maps each kind to its response.
var responses = [kindCount]Response{
	Internal:              {"internal", 500, RanUnknown, false},
	BadRequest:            {"bad-request", 400, RanNo, false},
	TooLarge:              {"too-large", 413, RanNo, false},
	Unauthenticated:       {"unauthenticated", 401, RanNo, false},
	KeyWithdrawn:          {"key-withdrawn", 401, RanNo, false},
	WithdrawnWhileRunning: {"withdrawn-while-running", 401, RanUnknown, false},
	Forbidden:             {"forbidden", 403, RanNo, false},
	UnknownService:        {"unknown-service", 404, RanNo, false},
	UnknownRoute:          {"unknown-route", 404, RanNo, false},
	Overloaded:            {"overloaded", 429, RanNo, true},
	QueueTimeout:          {"queue-timeout", 503, RanNo, true},
	NoBackend:             {"no-backend", 503, RanNo, true},
	CutOff:                {"cut-off", 503, RanNo, true},
	Draining:              {"draining", 503, RanNo, true},
	Quarantined:           {"quarantined", 422, RanNo, false},
	KeyReused:             {"idempotency-key-reused", 422, RanNo, false},
	AlreadyRun:            {"already-run", 409, RanUnknown, false},
	StoreUnavailable:      {"store-unavailable", 503, RanNo, true},
	BackendRefused:        {"backend-refused", 503, RanNo, true},
	BackendFailed:         {"backend-failed", 502, RanUnknown, false},
	BackendTimeout:        {"backend-timeout", 504, RanUnknown, false},
	Truncated:             {"truncated", 502, RanUnknown, false},
	CallerGone:            {"caller-gone", 499, RanUnknown, false},
	Conflict:              {"conflict", 409, RanNo, false},
	StepUnknown:           {"step-unknown", 404, RanNo, false},
	StepPending:           {"step-pending", 202, RanUnknown, true},
	StepAcknowledged:      {"step-acknowledged", 410, RanYes, false},
	KeepersUnavailable:    {"keepers-unavailable", 503, RanUnknown, true},
}

// Response returns the response for the kind.
func (k Kind) Response() Response {
	if k >= kindCount {
		return responses[Internal]
	}
	return responses[k]
}

// String returns the kind's name on the wire.
func (k Kind) String() string { return k.Response().name }

// Kinds returns all kinds.
func Kinds() []Kind {
	kinds := make([]Kind, 0, kindCount)
	for k := range kindCount {
		kinds = append(kinds, k)
	}
	return kinds
}
