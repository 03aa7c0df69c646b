package ingress

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestRequestsTakenWhileStopping(t *testing.T) {
	began := time.Now()
	plan := &stopPlan{began: began, end: began.Add(7 * time.Second)}
	tests := []struct {
		name      string
		plan      *stopPlan
		after     time.Duration
		timeLimit time.Duration
		taken     bool
	}{
		{"not stopping", nil, time.Hour, time.Hour, true},
		{"short, early", plan, time.Second, 800 * time.Millisecond, true},
		{"short, late", plan, 6 * time.Second, 700 * time.Millisecond, true},
		{"short, too late", plan, 6 * time.Second, 900 * time.Millisecond, false},
		{"long, early", plan, 2 * time.Second, 30 * time.Second, true},
		{"long, late", plan, 3 * time.Second, 30 * time.Second, false},
		{"after the end", plan, 8 * time.Second, time.Millisecond, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			now := began.Add(test.after)
			require.Equal(t, test.taken, test.plan.admits(now, now.Add(test.timeLimit)))
		})
	}
}
