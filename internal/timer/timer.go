// Package timer runs functions periodically with optional jitter.
package timer

import (
	"context"
	"math/rand/v2"
	"time"
)

// Service runs periodic functions. Its zero value is ready to use.
type Service struct{}

func New() *Service { return &Service{} }

// RunEvery calls fn periodically and blocks until ctx ends. Each interval is
// drawn uniformly from period*(1-jitter) to period*(1+jitter), where jitter is
// from 0 to 1, and starts when the previous call returns.
func (s *Service) RunEvery(ctx context.Context, period time.Duration, jitter float64, fn func(now time.Time)) error {
	t := time.NewTimer(jitteredInterval(period, jitter))
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
			fn(time.Now())
			t.Reset(jitteredInterval(period, jitter))
		}
	}
}

func jitteredInterval(period time.Duration, jitter float64) time.Duration {
	spread := (rand.Float64()*2 - 1) * jitter
	return time.Duration(float64(period) * (1 + spread))
}
