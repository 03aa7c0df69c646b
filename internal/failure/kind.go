// Package failure holds the closed list of error kinds and the table that
// gives each kind its answer towards callers.
package failure

// Kind is one entry of the closed list of error kinds.
type Kind uint8

// The closed list. A kind that is not in the table answers as Internal.
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

// Ran tells whether the request ran on a backend server.
type Ran uint8

// The three things that can be said about a request that failed.
const (
	RanUnknown Ran = iota
	RanNo
	RanYes
)

// String returns the word used on the wire.
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

// Answer is what a caller is told about one kind.
type Answer struct {
	name     string
	status   int
	ran      Ran
	mayRetry bool
}

// Name returns the kind's name on the wire.
func (a Answer) Name() string { return a.name }

// Status returns the HTTP status code.
func (a Answer) Status() int { return a.status }

// Ran returns what the kind says about execution.
func (a Answer) Ran() Ran { return a.ran }

// MayRetry tells whether the same request may be sent again unchanged.
func (a Answer) MayRetry() bool { return a.mayRetry }

var table = [kindCount]Answer{
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

// Answer returns the table's row for the kind.
func (k Kind) Answer() Answer {
	if k >= kindCount {
		return table[Internal]
	}
	return table[k]
}

// String returns the kind's name.
func (k Kind) String() string { return k.Answer().name }

// Kinds returns every kind in the list, in order.
func Kinds() []Kind {
	kinds := make([]Kind, 0, kindCount)
	for k := range kindCount {
		kinds = append(kinds, k)
	}
	return kinds
}
