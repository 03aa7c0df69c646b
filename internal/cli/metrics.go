package cli

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"cactusspoke/internal/intake"
	"cactusspoke/internal/logs"
	"cactusspoke/internal/telemetry"
	"cactusspoke/internal/web"

	"github.com/cloudwego/hertz/pkg/app"
	"go.uber.org/zap"
)

const (
	// metricsMaxBodyBytes limits the body of a metrics request, which has none.
	metricsMaxBodyBytes = 1 << 10
	// metricsShutdownTimeout limits the wait for running metrics requests on
	// shutdown.
	metricsShutdownTimeout = 100 * time.Millisecond
	// metricsConnections and metricsMemoryBytes limit the clients of the metrics endpoint.
	// They have a budget of their own, since the endpoint is served before the settings'
	// limits are in use and must remain readable when the others have none left.
	metricsConnections = 16
	metricsMemoryBytes = 4 << 20
)

// serveMetrics serves the metrics of the process until the context ends.
// endpoint has the form "PORT/PATH"; if it is empty, nothing is served.
func serveMetrics(ctx context.Context, ip, endpoint string, registry *telemetry.Registry, writer *logs.Writer, log *zap.Logger) error {
	if endpoint == "" {
		return nil
	}
	port, path, found := strings.Cut(endpoint, "/")
	if _, err := strconv.ParseUint(port, 10, 16); err != nil || !found {
		return usageErrorf("metrics %q is not PORT/PATH", endpoint)
	}
	limits := intake.Limits{Bytes: metricsMemoryBytes, Connections: metricsConnections}
	server := web.NewServer(net.JoinHostPort(ip, port), metricsMaxBodyBytes, metricsShutdownTimeout).
		UseIntake(web.NewIntake(intake.NewBudget(limits)))
	server.Handle(http.MethodGet, "/"+path, func(_ context.Context, c *app.RequestContext) {
		dropped, sampled := writer.Dropped()
		registry.SetGauge("log_lines_dropped", int64(dropped))
		registry.SetGauge("log_lines_sampled", int64(sampled))
		c.SetContentType("text/plain; version=0.0.4")
		c.SetBodyString(registry.Text())
	})
	go func() {
		if err := server.Serve(ctx); err != nil && ctx.Err() == nil {
			log.Error("metrics: server failed", logs.Err(err))
		}
	}()
	return nil
}
