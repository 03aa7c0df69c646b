package operator

import (
	"bytes"
	"context"
	"runtime/pprof"
	"strconv"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
)

// maxProfileSeconds bounds one processor profile.
const maxProfileSeconds = 30

// profile returns a processor profile of the next seconds, for go tool pprof.
func (s *Server) profile(ctx context.Context, c *app.RequestContext) {
	seconds, err := strconv.Atoi(c.Query("seconds"))
	if err != nil || seconds < 1 || seconds > maxProfileSeconds {
		reply(c, 400, WireProblem{"bad-request", "seconds: must be from 1 to 30"})
		return
	}
	var out bytes.Buffer
	if err := pprof.StartCPUProfile(&out); err != nil {
		reply(c, 409, WireProblem{"conflict", "another profile is being taken"})
		return
	}
	select {
	case <-ctx.Done():
	case <-time.After(time.Duration(seconds) * time.Second):
	}
	pprof.StopCPUProfile()
	c.Data(200, "application/octet-stream", out.Bytes())
}
