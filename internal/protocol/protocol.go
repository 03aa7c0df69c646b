// Package protocol holds what the adapter of a platform tells the rest of the
// program about the way its peers speak: header names by their meaning, and
// the paths of the program's own calls.
package protocol

// Headers names the headers by what they hold.
type Headers struct {
	// RequestID identifies one try of a caller; backend servers echo it.
	RequestID string
	// DeadlineMS is how many milliseconds the sender still waits.
	DeadlineMS string
	// Customer is the customer of the caller's key, set towards backend servers.
	Customer string
	// ExpectInstance names the backend server that the request is meant for.
	ExpectInstance string
	// NotRun is present on a refusal by a backend server that ran nothing.
	NotRun string
	// Seal is a backend server's signature of its response.
	Seal string
	// Versions is the version of the weights at the start of a response.
	Versions string
	// Priority ranks a request at a model engine.
	Priority string
	// Load tells running requests, waiting requests and slots of a backend
	// server, separated by commas.
	Load string
	// LengthHint is a caller's estimate of the number of output tokens.
	LengthHint string
	// LastEventID asks a stream to resume after an event.
	LastEventID string
	// WaitMS is how long a read may be kept waiting.
	WaitMS string
	// DutyHolder and FencingToken go with every call of a singleton duty.
	DutyHolder   string
	FencingToken string
	// KeyScheme is the word before a key in the Authorization header.
	KeyScheme string
}

// Paths names the calls that reach the program.
type Paths struct {
	Ready string
	// Lookup answers callers with the addresses of entry instances.
	Lookup string
	// JobResults, JobItem and JobEnd are prefixes that a job's id follows.
	JobResults string
	JobItem    string
	JobEnd     string
}
