package operator

import (
	"bytes"
	"context"
	"runtime/pprof"
	"strconv"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
)

// maxProfileSeconds limits the duration of a CPU profile.
const maxProfileSeconds = 30

// cpuProfile records a CPU profile for the requested number of seconds and
// returns it in the format of go tool pprof.
func (s *Server) cpuProfile(ctx context.Context, c *app.RequestContext) {
	seconds, err := strconv.Atoi(c.Query("seconds"))
	if err != nil || seconds < 1 || seconds > maxProfileSeconds {
		writeJSON(c, 400, ErrorResponse{"bad-request", "seconds: must be from 1 to 30"})
		return
	}
	var out bytes.Buffer
	if err := pprof.StartCPUProfile(&out); err != nil {
		writeJSON(c, 409, ErrorResponse{"conflict", "another CPU profile is in progress"})
		return
	}
	select {
	case <-ctx.Done():
	case <-time.After(time.Duration(seconds) * time.Second):
	}
	pprof.StopCPUProfile()
	c.Data(200, "application/octet-stream", out.Bytes())
}
