package ingress

import (
	"maps"
	"sync"
	"time"
)

const (
	// submissionMemory is how long an instance remembers a job that it has accepted or may have
	// passed on. Callers submit a job again within seconds.
	submissionMemory = 2 * time.Minute
	// maxSubmissions limits the jobs that are remembered.
	maxSubmissions = 4096
)

// submissions holds the jobs that may have been accepted. A job is identified by its ID in all
// attempts, so a refusal of a later attempt would be false for it. It is safe for concurrent use.
type submissions struct {
	mu    sync.Mutex
	until map[submission]time.Time
}

type submission struct{ customer, id string }

// add remembers a job.
func (s *submissions) add(job submission, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.until == nil {
		s.until = map[submission]time.Time{}
	}
	if len(s.until) >= maxSubmissions {
		maps.DeleteFunc(s.until, func(_ submission, until time.Time) bool { return now.After(until) })
	}
	for other := range s.until {
		if len(s.until) < maxSubmissions {
			break
		}
		delete(s.until, other)
	}
	s.until[job] = now.Add(submissionMemory)
}

// has reports whether a job is remembered.
func (s *submissions) has(job submission, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Before(s.until[job])
}
