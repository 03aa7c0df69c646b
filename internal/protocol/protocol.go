// Package protocol defines the platform-specific parts of the HTTP protocol that
// a platform adapter provides: header names and the paths of the API that the
// program serves.
package protocol

// Headers holds the platform's header names.
type Headers struct {
	// RequestID identifies one attempt of a caller. Backend servers echo it.
	RequestID string
	// DeadlineMS is the time, in milliseconds, that the sender will still wait
	// for the response.
	DeadlineMS string
	// Customer is the customer that the caller's API key belongs to. It is set
	// on requests to backend servers.
	Customer string
	// ExpectInstance is the ID of the backend server that the request is
	// addressed to. Any other server rejects the request.
	ExpectInstance string
	// NotRun is present when a backend server rejected the request without
	// executing any of it.
	NotRun string
	// Signature is a backend server's signature of its response.
	Signature string
	// WeightVersions is the version of the model weights at the start of a
	// response.
	WeightVersions string
	// Priority is the scheduling priority of a request at a model engine.
	Priority string
	// Load is a comma-separated list of a backend server's running requests,
	// queued requests, slots, and the time that work takes now in percent of the
	// usual time.
	Load string
	// RateLimit is the number of requests a second, a decimal number, that a backend
	// server accepts from all clients combined. The limit holds while its responses have
	// this header.
	RateLimit string
	// Leaving is "1" in all responses of a backend server that is about to leave.
	Leaving string
	// ColdMS is the time, in milliseconds, for which a backend server remains cold. Responses
	// to health checks state it.
	ColdMS string
	// TokenCounts are the tokens of a request's prompt and the most that it may generate,
	// separated by a comma.
	TokenCounts string
	// PromptPrefix lists the first parts of a request's prompt that others may share, each with
	// its id and its tokens.
	PromptPrefix string
	// LengthHint is the caller's estimate of the number of output tokens.
	LengthHint string
	// LastEventID is the ID of the event after which a stream resumes.
	LastEventID string
	// Resumes is the request ID of the caller's attempt that brought the first event of the
	// stream that a request resumes.
	Resumes string
	// WaitMS is the maximum time, in milliseconds, that the server may delay
	// the response to a long-polling read.
	WaitMS string
	// DutyHolder and FencingToken are set on every request that only the
	// current lease holder may send.
	DutyHolder   string
	FencingToken string
	// AuthScheme is the authentication scheme in the Authorization header,
	// including the space before the API key.
	AuthScheme string
}

// Paths holds the paths of the API that the program serves.
type Paths struct {
	// Ready is the path of the readiness check.
	Ready string
	// Lookup returns the addresses of entry instances to callers.
	Lookup string
	// JobResults, JobItem and JobDelete are path prefixes, followed by a job ID.
	JobResults string
	JobItem    string
	JobDelete  string
}
