package peer

import (
	"context"
	"slices"
	"sync"
	"time"

	"cactusspoke/internal/claim"
	"cactusspoke/internal/peer/peerpb"
	"cactusspoke/internal/trace"

	"github.com/zeebo/errs"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"
)

// Class is the error class of this package.
var Class = errs.Class("peer")

// maxMessageBytes limits the size of a gRPC message between instances.
const maxMessageBytes = 32 << 20

// connBufferBytes is the size of the read buffer and of the write buffer of a
// connection. It is small because each pair of instances has two connections,
// one opened by each side.
const connBufferBytes = 4 << 10

const (
	// callTimeout limits a call with a small message.
	callTimeout = time.Second
	// bulkTimeout limits a transfer of sample bodies, in all its batches.
	bulkTimeout = 10 * time.Second
)

// Backoff between attempts to connect to a peer. It starts low because a peer
// that is starting refuses connections for only about 10 ms.
const (
	connectBaseDelay = 50 * time.Millisecond
	connectMaxDelay  = time.Second
)

const (
	// keepaliveInterval is how long a connection is idle before the client sends
	// a ping.
	keepaliveInterval = 10 * time.Second
	// keepaliveTimeout is how long the client waits for the reply to a ping before
	// it closes the connection.
	keepaliveTimeout = 2 * time.Second
)

// Limits on one message with sample bodies.
const (
	maxBatchBytes   = 4 << 20
	maxBatchSamples = 32
)

// Clients holds one gRPC connection per peer.
type Clients struct {
	tracer *trace.Tracer

	mu    sync.Mutex
	conns map[string]*grpc.ClientConn
}

// NewClients returns an empty set of connections. Calls propagate the trace
// context of tracer.
func NewClients(tracer *trace.Tracer) *Clients {
	return &Clients{tracer: tracer, conns: map[string]*grpc.ClientConn{}}
}

// Get returns the client for the peer at address, an IP address and port. It
// creates the connection on first use.
func (c *Clients) Get(address string) (peerpb.PeerClient, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if conn, ok := c.conns[address]; ok {
		return peerpb.NewPeerClient(conn), nil
	}
	conn, err := grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDisableServiceConfig(),
		grpc.WithDisableRetry(),
		grpc.WithUnaryInterceptor(clientTraceInterceptor(c.tracer)),
		grpc.WithReadBufferSize(connBufferBytes),
		grpc.WithWriteBufferSize(connBufferBytes),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes), grpc.MaxCallSendMsgSize(maxMessageBytes)),
		grpc.WithConnectParams(grpc.ConnectParams{Backoff: connectBackoff(), MinConnectTimeout: callTimeout}),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: keepaliveInterval, Timeout: keepaliveTimeout}),
	)
	if err != nil {
		return nil, Class.Wrap(err)
	}
	c.conns[address] = conn
	return peerpb.NewPeerClient(conn), nil
}

func connectBackoff() backoff.Config {
	b := backoff.DefaultConfig
	b.BaseDelay = connectBaseDelay
	b.MaxDelay = connectMaxDelay
	return b
}

// Close closes all connections.
func (c *Clients) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, conn := range c.conns {
		_ = conn.Close()
		delete(c.conns, address)
	}
}

// Claim asks the peer that owns the key range of a claim to commit it.
func (c *Clients) Claim(ctx context.Context, address string, cl claim.Claim) (claim.Result, error) {
	client, err := c.Get(address)
	if err != nil {
		return claim.Result{}, err
	}
	id := cl.ID()
	reply, err := client.Claim(ctx, &peerpb.ClaimRequest{
		Id: id[:], Body: cl.Body(), Nonce: cl.Nonce(), Instance: cl.Instance(),
	})
	if err != nil {
		return claim.Result{}, Class.Wrap(err)
	}
	return claim.NewResult(outcomes.decode(reply.GetOutcome()), reply.GetInstance()), nil
}

// outcomeTable maps claim outcomes to their values on the wire.
type outcomeTable []struct {
	outcome claim.Outcome
	wire    peerpb.ClaimReply_Outcome
}

var outcomes = outcomeTable{
	{claim.Granted, peerpb.ClaimReply_OUTCOME_GRANTED},
	{claim.Taken, peerpb.ClaimReply_OUTCOME_TAKEN},
	{claim.Mismatch, peerpb.ClaimReply_OUTCOME_MISMATCH},
	{claim.Unavailable, peerpb.ClaimReply_OUTCOME_UNAVAILABLE},
}

func (t outcomeTable) decode(wire peerpb.ClaimReply_Outcome) claim.Outcome {
	for _, row := range t {
		if row.wire == wire {
			return row.outcome
		}
	}
	return claim.Unavailable
}

func (t outcomeTable) encode(o claim.Outcome) peerpb.ClaimReply_Outcome {
	for _, row := range t {
		if row.outcome == o {
			return row.wire
		}
	}
	return peerpb.ClaimReply_OUTCOME_UNAVAILABLE
}

// PutSamples stores sample bodies of a step on a peer's disk, in batches.
func (c *Clients) PutSamples(ctx context.Context, address, step string, bodies map[string][]byte) error {
	client, err := c.Get(address)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, bulkTimeout)
	defer cancel()
	request := &peerpb.PutSamplesRequest{Step: step}
	size := 0
	for id, body := range bodies {
		request.Samples = append(request.Samples, &peerpb.Sample{Id: id, Body: body})
		size += len(body)
		if size < maxBatchBytes {
			continue
		}
		if _, err := client.PutSamples(ctx, request); err != nil {
			return Class.Wrap(err)
		}
		request.Samples = nil
		size = 0
	}
	_, err = client.PutSamples(ctx, request)
	return Class.Wrap(err)
}

// GetSamples reads sample bodies of a step from a peer's disk, in batches.
func (c *Clients) GetSamples(ctx context.Context, address, step string, ids []string) (map[string][]byte, error) {
	client, err := c.Get(address)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, bulkTimeout)
	defer cancel()
	bodies := map[string][]byte{}
	for batch := range slices.Chunk(ids, maxBatchSamples) {
		reply, err := client.GetSamples(ctx, &peerpb.GetSamplesRequest{Step: step, Ids: batch})
		if err != nil {
			return nil, Class.Wrap(err)
		}
		for _, s := range reply.GetSamples() {
			bodies[s.GetId()] = s.GetBody()
		}
	}
	return bodies, nil
}

// Usage reads a peer's usage counters for one window.
func (c *Clients) Usage(ctx context.Context, address string, window uint64) ([]UsageCounter, error) {
	client, err := c.Get(address)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := client.Usage(ctx, &peerpb.UsageRequest{Window: window})
	if err != nil {
		return nil, Class.Wrap(err)
	}
	var counters []UsageCounter
	for _, w := range reply.GetCounters() {
		counters = append(counters, NewUsageCounter(w.GetCustomer(), w.GetService(), w.GetKind(), w.GetValue()))
	}
	return counters, nil
}

// StoredResponse reads the stored response to a claimed request from a peer. It
// waits for the connection instead of failing fast, because no other peer has
// the response.
func (c *Clients) StoredResponse(ctx context.Context, address string, id claim.ID) (status int, contentType string, body []byte, found bool, err error) {
	client, err := c.Get(address)
	if err != nil {
		return 0, "", nil, false, err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := client.Answer(ctx, &peerpb.AnswerRequest{Id: id[:]}, grpc.WaitForReady(true))
	if err != nil {
		return 0, "", nil, false, Class.Wrap(err)
	}
	return int(reply.GetStatus()), reply.GetContentType(), reply.GetBody(), reply.GetFound(), nil
}
