package peer

import (
	"context"
	"net"
	"time"

	"cactusspoke/internal/claim"
	"cactusspoke/internal/peer/peerpb"
	"cactusspoke/internal/trace"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/status"
)

// Bodies keeps sample bodies of steps on a disk.
type Bodies interface {
	Put(step string, bodies map[string][]byte) error
	Get(step string, ids []string) (map[string][]byte, error)
}

// Counter is one usage figure of this instance.
type Counter struct {
	customer, service, kind string
	value                   uint64
}

// NewCounter returns a usage figure.
func NewCounter(customer, service, kind string, value uint64) Counter {
	return Counter{customer, service, kind, value}
}

// Counters tells the usage figures of one window.
type Counters interface {
	Counters(window uint64) []Counter
}

// Answers looks up the stored answer of a claimed request.
type Answers interface {
	Lookup(id claim.ID) (status int, contentType string, body []byte, found bool)
}

// Server answers the peers of this instance.
type Server struct {
	peerpb.UnimplementedPeerServer

	address   string
	mesh      *Mesh
	committer *claim.Committer
	bodies    Bodies
	counters  Counters
	answers   Answers
	tracer    *trace.Tracer
	self      Member
}

// NewServer returns a server; bodies is nil on an instance without a disk.
func NewServer(address string, self Member, mesh *Mesh, committer *claim.Committer, bodies Bodies, counters Counters, answers Answers, tracer *trace.Tracer) *Server {
	return &Server{
		address: address, self: self, mesh: mesh, committer: committer, bodies: bodies,
		counters: counters, answers: answers, tracer: tracer,
	}
}

// Serve runs until the context ends.
func (s *Server) Serve(ctx context.Context) error {
	l, err := net.Listen("tcp", s.address)
	if err != nil {
		return Class.Wrap(err)
	}
	server := grpc.NewServer(
		grpc.MaxRecvMsgSize(maxMessageBytes), grpc.MaxSendMsgSize(maxMessageBytes),
		grpc.ReadBufferSize(bufferBytes), grpc.WriteBufferSize(bufferBytes),
		grpc.UnaryInterceptor(traceIn(s.tracer)),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: time.Second, PermitWithoutStream: true}),
	)
	peerpb.RegisterPeerServer(server, s)
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(l) }()
	select {
	case <-ctx.Done():
		server.Stop()
		return ctx.Err()
	case err := <-failed:
		return Class.Wrap(err)
	}
}

// Exchange answers a heartbeat.
func (s *Server) Exchange(_ context.Context, r *peerpb.ExchangeRequest) (*peerpb.ExchangeReply, error) {
	return s.mesh.Answer(r), nil
}

// Claim commits a claim for a peer.
func (s *Server) Claim(ctx context.Context, r *peerpb.ClaimRequest) (*peerpb.ClaimReply, error) {
	var id claim.ID
	copy(id[:], r.GetId())
	result := s.committer.Commit(ctx, claim.New(id, r.GetBody(), r.GetNonce(), r.GetInstance()))
	return &peerpb.ClaimReply{Outcome: outcomes.encode(result.Outcome()), Instance: result.Instance()}, nil
}

// PutSamples stores sample bodies.
func (s *Server) PutSamples(_ context.Context, r *peerpb.PutSamplesRequest) (*peerpb.PutSamplesReply, error) {
	if s.bodies == nil {
		return nil, status.Error(codes.FailedPrecondition, "this instance has no data folder")
	}
	bodies := map[string][]byte{}
	for _, sample := range r.GetSamples() {
		bodies[sample.GetId()] = sample.GetBody()
	}
	if err := s.bodies.Put(r.GetStep(), bodies); err != nil {
		return nil, status.Error(codes.ResourceExhausted, err.Error())
	}
	return &peerpb.PutSamplesReply{}, nil
}

// GetSamples reads sample bodies.
func (s *Server) GetSamples(_ context.Context, r *peerpb.GetSamplesRequest) (*peerpb.GetSamplesReply, error) {
	if s.bodies == nil {
		return nil, status.Error(codes.FailedPrecondition, "this instance has no data folder")
	}
	bodies, err := s.bodies.Get(r.GetStep(), r.GetIds())
	if err != nil {
		return nil, status.Error(codes.Internal, err.Error())
	}
	reply := &peerpb.GetSamplesReply{}
	for id, body := range bodies {
		reply.Samples = append(reply.Samples, &peerpb.Sample{Id: id, Body: body})
	}
	return reply, nil
}

// Usage tells this instance's figures for a window.
func (s *Server) Usage(_ context.Context, r *peerpb.UsageRequest) (*peerpb.UsageReply, error) {
	reply := &peerpb.UsageReply{Instance: s.self.name, Incarnation: s.self.incarnation}
	for _, c := range s.counters.Counters(r.GetWindow()) {
		reply.Counters = append(reply.Counters, &peerpb.Counter{
			Customer: c.customer, Service: c.service, Kind: c.kind, Value: c.value,
		})
	}
	return reply, nil
}

// Answer looks up a stored answer.
func (s *Server) Answer(_ context.Context, r *peerpb.AnswerRequest) (*peerpb.AnswerReply, error) {
	var id claim.ID
	copy(id[:], r.GetId())
	code, contentType, body, found := s.answers.Lookup(id)
	return &peerpb.AnswerReply{Found: found, Status: uint32(code), ContentType: contentType, Body: body}, nil
}

// Customer returns whose figure it is.
func (c Counter) Customer() string { return c.customer }

// Service returns the service that was used.
func (c Counter) Service() string { return c.service }

// Kind returns what was counted.
func (c Counter) Kind() string { return c.kind }

// Value returns the figure.
func (c Counter) Value() uint64 { return c.value }
