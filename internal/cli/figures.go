package cli

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"cactusspoke/internal/logs"
	"cactusspoke/internal/telemetry"
	"cactusspoke/internal/web"

	"github.com/cloudwego/hertz/pkg/app"
	"go.uber.org/zap"
)

const (
	// figuresBody bounds the body of a request for figures, which has none.
	figuresBody = 1 << 10
	// figuresExit bounds the wait for a reader of figures at the end.
	figuresExit = 100 * time.Millisecond
)

// serveFigures shows the figures of the process at "PORT/PATH" of its address
// until the context ends.
func serveFigures(ctx context.Context, ip, at string, figures *telemetry.Registry, writer *logs.Writer, log *zap.Logger) error {
	if at == "" {
		return nil
	}
	port, path, found := strings.Cut(at, "/")
	if _, err := strconv.ParseUint(port, 10, 16); err != nil || !found {
		return usagef("metrics %q is not PORT/PATH", at)
	}
	server := web.NewServer(net.JoinHostPort(ip, port), figuresBody, figuresExit)
	server.Handle(http.MethodGet, "/"+path, func(_ context.Context, c *app.RequestContext) {
		full, sampled := writer.Dropped()
		figures.SetGauge("log_lines_dropped", int64(full))
		figures.SetGauge("log_lines_sampled", int64(sampled))
		c.SetContentType("text/plain; version=0.0.4")
		c.SetBodyString(figures.Text())
	})
	go func() {
		if err := server.Serve(ctx); err != nil && ctx.Err() == nil {
			log.Error("metrics: not served", logs.Err(err))
		}
	}()
	return nil
}
