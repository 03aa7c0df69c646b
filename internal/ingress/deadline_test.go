package ingress

import (
	"testing"
	"time"

	"cactusspoke/internal/protocol"
	"cactusspoke/internal/routetable"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/stretchr/testify/require"
)

// TestRequestDeadline guards against a caller's deadline that does not fit into a duration and
// ends the request at once.
func TestRequestDeadline(t *testing.T) {
	const header = "Deadline"
	s := New(Config{Headers: protocol.Headers{DeadlineMS: header}})
	tests := []struct {
		text string
		want time.Duration
	}{
		{"", time.Second},
		{"250", 250 * time.Millisecond},
		{"0.5", 500 * time.Microsecond},
		{"5000", time.Second},
		{"1e18", time.Second},
		{"1e400", time.Second},
		{"+Inf", time.Second},
		{"NaN", time.Second},
		{"-1", time.Second},
		{"soon", time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.text, func(t *testing.T) {
			c := &app.RequestContext{}
			c.Request.Header.Set(header, tt.text)
			now := time.Now()
			r := &callerRequest{receivedAt: now, route: &routetable.Route{Timeout: time.Second}}
			require.Equal(t, tt.want, s.requestDeadline(c, r).Sub(now))
		})
	}
}
