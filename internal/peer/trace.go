package peer

import (
	"context"

	"cactusspoke/internal/trace"

	"google.golang.org/grpc"
	"google.golang.org/grpc/metadata"
)

// traceOut carries the trace of a call to the peer.
func traceOut(tracer *trace.Tracer) grpc.UnaryClientInterceptor {
	return func(ctx context.Context, method string, request, reply any, conn *grpc.ClientConn, invoke grpc.UnaryInvoker, options ...grpc.CallOption) error {
		if parent := tracer.Inject(ctx); parent != "" {
			ctx = metadata.AppendToOutgoingContext(ctx, trace.Header, parent)
		}
		return invoke(ctx, method, request, reply, conn, options...)
	}
}

// traceIn makes a span of each call that belongs to a trace; heartbeats do
// not, and leave none.
func traceIn(tracer *trace.Tracer) grpc.UnaryServerInterceptor {
	return func(ctx context.Context, request any, info *grpc.UnaryServerInfo, handle grpc.UnaryHandler) (any, error) {
		parents := metadata.ValueFromIncomingContext(ctx, trace.Header)
		if len(parents) == 0 {
			return handle(ctx, request)
		}
		ctx, span := tracer.Start(tracer.Extract(ctx, parents[0]), "peer "+info.FullMethod)
		defer span.End()
		return handle(ctx, request)
	}
}
