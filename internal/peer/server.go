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

// minPingInterval is the shortest interval between keepalive pings that the server
// accepts.
const minPingInterval = time.Second

// SampleStore stores the sample bodies of steps on a disk.
type SampleStore interface {
	Put(step string, bodies map[string][]byte) error
	Get(step string, ids []string) (map[string][]byte, error)
}

// UsageCounter is a usage counter of one instance in one window.
type UsageCounter struct {
	customer, service, kind string
	value                   uint64
}

func NewUsageCounter(customer, service, kind string, value uint64) UsageCounter {
	return UsageCounter{customer, service, kind, value}
}

// UsageSource provides the usage counters of this instance for a window.
type UsageSource interface {
	Counters(window uint64) []UsageCounter
}

// ResponseLookup finds the stored response to a claimed request.
type ResponseLookup interface {
	Lookup(id claim.ID) (status int, contentType string, body []byte, found bool)
}

// Server is the gRPC server for the peers of this instance.
type Server struct {
	peerpb.UnimplementedPeerServer

	address   string
	gossip    *Gossip
	committer *claim.Committer
	samples   SampleStore
	counters  UsageSource
	responses ResponseLookup
	tracer    *trace.Tracer
	self      Member
}

// NewServer returns a server for address. samples is nil if the instance has no
// disk for sample bodies.
func NewServer(address string, self Member, gossip *Gossip, committer *claim.Committer, samples SampleStore, counters UsageSource, responses ResponseLookup, tracer *trace.Tracer) *Server {
	return &Server{
		address: address, self: self, gossip: gossip, committer: committer, samples: samples,
		counters: counters, responses: responses, tracer: tracer,
	}
}

// Serve listens and serves until ctx ends.
func (s *Server) Serve(ctx context.Context) error {
	l, err := net.Listen("tcp", s.address)
	if err != nil {
		return Class.Wrap(err)
	}
	server := grpc.NewServer(
		grpc.MaxRecvMsgSize(maxMessageBytes), grpc.MaxSendMsgSize(maxMessageBytes),
		grpc.ReadBufferSize(connBufferBytes), grpc.WriteBufferSize(connBufferBytes),
		grpc.UnaryInterceptor(serverTraceInterceptor(s.tracer)),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: minPingInterval, PermitWithoutStream: true}),
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

// Exchange handles a heartbeat of a peer.
func (s *Server) Exchange(_ context.Context, r *peerpb.ExchangeRequest) (*peerpb.ExchangeReply, error) {
	return s.gossip.HandleExchange(r), nil
}

// Claim commits a claim on behalf of a peer.
func (s *Server) Claim(ctx context.Context, r *peerpb.ClaimRequest) (*peerpb.ClaimReply, error) {
	var id claim.ID
	copy(id[:], r.GetId())
	result := s.committer.Commit(ctx, claim.New(id, r.GetBody(), r.GetNonce(), r.GetInstance()))
	return &peerpb.ClaimReply{Outcome: outcomes.encode(result.Outcome()), Instance: result.Instance()}, nil
}

// PutSamples stores sample bodies for a peer.
func (s *Server) PutSamples(_ context.Context, r *peerpb.PutSamplesRequest) (*peerpb.PutSamplesReply, error) {
	if s.samples == nil {
		return nil, status.Error(codes.FailedPrecondition, "this instance has no data folder for sample bodies")
	}
	bodies := map[string][]byte{}
	for _, sample := range r.GetSamples() {
		bodies[sample.GetId()] = sample.GetBody()
	}
	if err := s.samples.Put(r.GetStep(), bodies); err != nil {
		return nil, status.Error(codes.ResourceExhausted, err.Error())
	}
	return &peerpb.PutSamplesReply{}, nil
}

// GetSamples returns stored sample bodies to a peer.
func (s *Server) GetSamples(_ context.Context, r *peerpb.GetSamplesRequest) (*peerpb.GetSamplesReply, error) {
	if s.samples == nil {
		return nil, status.Error(codes.FailedPrecondition, "this instance has no data folder for sample bodies")
	}
	bodies, err := s.samples.Get(r.GetStep(), r.GetIds())
	if err != nil {
		return nil, status.Error(codes.Internal, err.Error())
	}
	reply := &peerpb.GetSamplesReply{}
	for id, body := range bodies {
		reply.Samples = append(reply.Samples, &peerpb.Sample{Id: id, Body: body})
	}
	return reply, nil
}

// Usage returns the usage counters of this instance for a window.
func (s *Server) Usage(_ context.Context, r *peerpb.UsageRequest) (*peerpb.UsageReply, error) {
	reply := &peerpb.UsageReply{Instance: s.self.name, Incarnation: s.self.incarnation}
	for _, c := range s.counters.Counters(r.GetWindow()) {
		reply.Counters = append(reply.Counters, &peerpb.Counter{
			Customer: c.customer, Service: c.service, Kind: c.kind, Value: c.value,
		})
	}
	return reply, nil
}

// Answer returns the stored response to a claimed request, if there is one.
func (s *Server) Answer(_ context.Context, r *peerpb.AnswerRequest) (*peerpb.AnswerReply, error) {
	var id claim.ID
	copy(id[:], r.GetId())
	code, contentType, body, found := s.responses.Lookup(id)
	return &peerpb.AnswerReply{Found: found, Status: uint32(code), ContentType: contentType, Body: body}, nil
}

func (c UsageCounter) Customer() string { return c.customer }

func (c UsageCounter) Service() string { return c.service }

// Kind returns the kind of usage that is counted.
func (c UsageCounter) Kind() string { return c.kind }

func (c UsageCounter) Value() uint64 { return c.value }
