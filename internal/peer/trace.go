package peer

import (
	"context"

	"cactusspoke/internal/trace"

	"google.golang.org/grpc"
	"google.golang.org/grpc/metadata"
)

// clientTraceInterceptor sends the trace context of a call to the peer.
func clientTraceInterceptor(tracer *trace.Tracer) grpc.UnaryClientInterceptor {
	return func(ctx context.Context, method string, request, reply any, conn *grpc.ClientConn, invoke grpc.UnaryInvoker, options ...grpc.CallOption) error {
		if parent := tracer.Inject(ctx); parent != "" {
			ctx = metadata.AppendToOutgoingContext(ctx, trace.Header, parent)
		}
		return invoke(ctx, method, request, reply, conn, options...)
	}
}

// serverTraceInterceptor starts a span for each call that has a trace context.
// Heartbeats have none, so they create no spans.
func serverTraceInterceptor(tracer *trace.Tracer) grpc.UnaryServerInterceptor {
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
