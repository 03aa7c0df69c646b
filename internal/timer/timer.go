// Package timer is the service that parts subscribe to for periodic work.
package timer

import (
	"context"
	"math/rand/v2"
	"time"
)

// Service hands out ticks. Its zero value is ready for use.
type Service struct{}

// New returns a timer service.
func New() *Service { return &Service{} }

// Subscribe calls fn every period, spread by jitter (a share of the period
// from 0 to 1), until the context ends. Calls never overlap.
func (s *Service) Subscribe(ctx context.Context, period time.Duration, jitter float64, fn func(now time.Time)) error {
	t := time.NewTimer(next(period, jitter))
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
			fn(time.Now())
			t.Reset(next(period, jitter))
		}
	}
}

func next(period time.Duration, jitter float64) time.Duration {
	spread := (rand.Float64()*2 - 1) * jitter
	return time.Duration(float64(period) * (1 + spread))
}
