package ingress

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	"cactusspoke/internal/batch"
	"cactusspoke/internal/directory"
	"cactusspoke/internal/http1"
	"cactusspoke/internal/kv"
	"cactusspoke/internal/kv/kvtest"
	"cactusspoke/internal/protocol"
	"cactusspoke/internal/routetable"
	"cactusspoke/internal/walltime"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
)

const (
	requestIDHeader = "Request-Id"
	jobID           = "j"
	customer        = "a"
)

// failingStore is a store whose writes fail with one error after another, the last one for good.
// Without errors they are carried out.
type failingStore struct {
	kv.Store
	errs []error
}

func (s *failingStore) Commit(ctx context.Context, txn kv.Txn) (kv.Revision, error) {
	if len(s.errs) == 0 {
		return s.Store.Commit(ctx, txn)
	}
	err := s.errs[0]
	if len(s.errs) > 1 {
		s.errs = s.errs[1:]
	}
	return 0, err
}

// newJobServer returns an entry instance with a store and one peer, if any.
func newJobServer(t *testing.T, store kv.Store, storeReachable bool, peer http.HandlerFunc) *Server {
	t.Helper()
	s := newGateServer(zap.NewNop())
	s.Headers = protocol.Headers{RequestID: requestIDHeader}
	s.Clock = walltime.New()
	s.Backends = http1.NewClient()
	s.Jobs = batch.NewJobStore(store, 1<<20)
	s.StoreReachable = func() bool { return storeReachable }
	s.Codec.Job = func(_ []byte, add func(*batch.Item)) (*batch.Job, error) {
		add(&batch.Item{ID: "i"})
		return &batch.Job{}, nil
	}
	if peer != nil {
		listener := httptest.NewServer(peer)
		t.Cleanup(listener.Close)
		s.Directory.Reset([]kv.Item{{Key: directory.Prefix + "peer", Value: []byte(listener.Listener.Addr().String() + " zone")}})
	}
	return s
}

// respondWith returns a peer that responds to a request with a status.
func respondWith(status int) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		rw.Header().Set(requestIDHeader, r.Header.Get(requestIDHeader))
		rw.WriteHeader(status)
	}
}

// loseConnection is a peer that is killed after it has received a request.
func loseConnection(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// respondToOther is a peer that responds to another request.
func respondToOther(rw http.ResponseWriter, _ *http.Request) {
	rw.Header().Set(requestIDHeader, "other")
	rw.WriteHeader(http.StatusServiceUnavailable)
}

// breakOff is a peer that is killed while it responds.
func breakOff(rw http.ResponseWriter, r *http.Request) {
	rw.Header().Set("Content-Length", strconv.Itoa(10))
	respondWith(http.StatusServiceUnavailable)(rw, r)
	panic(http.ErrAbortHandler)
}

// TestRefusedJobCalls guards against a call about a job that is refused, which promises that it
// has no effect, although a peer or the store may have carried it out.
func TestRefusedJobCalls(t *testing.T) {
	refused, unknown := []error{kv.ErrRefused}, []error{kv.ErrOutcomeUnknown}
	tests := []struct {
		name           string
		storeReachable bool
		storeErrors    []error
		peer           http.HandlerFunc
		want           int
	}{
		{"no peer", false, refused, nil, http.StatusServiceUnavailable},
		{"peer refuses", false, refused, respondWith(http.StatusServiceUnavailable), http.StatusServiceUnavailable},
		{"peer refuses for its limits", false, refused, respondWith(http.StatusTooManyRequests), http.StatusTooManyRequests},
		{"peer is killed", false, refused, loseConnection, http.StatusGatewayTimeout},
		{"peer is killed, asked after the store", true, refused, loseConnection, http.StatusGatewayTimeout},
		{"peer is killed while it responds", false, refused, breakOff, http.StatusGatewayTimeout},
		{"peer does not know the outcome", false, refused, respondWith(http.StatusGatewayTimeout), http.StatusGatewayTimeout},
		{"peer fails", false, refused, respondWith(http.StatusInternalServerError), http.StatusGatewayTimeout},
		{"peer responds to another request", false, refused, respondToOther, http.StatusGatewayTimeout},
		{"write without response, peer refuses", true, unknown, respondWith(http.StatusServiceUnavailable), http.StatusGatewayTimeout},
		{"write without response, peer refuses for its limits", true, unknown, respondWith(http.StatusTooManyRequests), http.StatusGatewayTimeout},
		{"write without response, then refused", true, []error{kv.ErrOutcomeUnknown, kv.ErrRefused}, nil, http.StatusGatewayTimeout},
	}
	calls := []struct {
		name   string
		method string
		serve  func(s *Server, c *app.RequestContext, r *callerRequest)
	}{
		{"submission", http.MethodPost, func(s *Server, c *app.RequestContext, r *callerRequest) { s.submitJob(t.Context(), c, r) }},
		{"end", http.MethodDelete, func(s *Server, c *app.RequestContext, r *callerRequest) {
			if s.StoreReachable() || !s.relay(t.Context(), c, r) {
				s.serveJobEnd(t.Context(), c, r, jobID)
			}
		}},
	}
	for _, call := range calls {
		for _, tt := range tests {
			t.Run(call.name+"/"+tt.name, func(t *testing.T) {
				t.Parallel()
				client := kvtest.New(1, kvtest.Faults{}).Client()
				if call.method == http.MethodDelete {
					require.NoError(t, batch.NewJobStore(client, 1<<20).Submit(t.Context(), &batch.Job{ID: jobID, Customer: customer}))
				}
				s := newJobServer(t, &failingStore{client, tt.storeErrors}, tt.storeReachable, tt.peer)
				c := &app.RequestContext{}
				c.Request.Header.Set(requestIDHeader, jobID)
				now := time.Now()
				call.serve(s, c, &callerRequest{
					receivedAt: now, deadline: now.Add(5 * time.Second), method: call.method, id: jobID, customer: customer,
					requestURI: "/jobs/j", path: "/jobs/j", host: "host", route: &routetable.Route{Name: "jobs", Kind: routetable.Rollout},
				})
				require.Equal(t, tt.want, c.Response.StatusCode())
				if tt.want == http.StatusGatewayTimeout {
					require.Empty(t, c.Response.Header.Get("Retry-After"))
				}
			})
		}
	}
}

// TestDenialByPeer guards against a caller that is told that its route or key does not exist since
// a peer, which gets the call while the store is away, has an older configuration.
func TestDenialByPeer(t *testing.T) {
	tests := []struct {
		name   string
		method string
		status int
		want   int
	}{
		{"submission, route unknown", http.MethodPost, http.StatusNotFound, http.StatusAccepted},
		{"submission, key unknown", http.MethodPost, http.StatusUnauthorized, http.StatusAccepted},
		{"submission, not allowed", http.MethodPost, http.StatusForbidden, http.StatusAccepted},
		{"submission, too large", http.MethodPost, http.StatusRequestEntityTooLarge, http.StatusRequestEntityTooLarge},
		{"read, key unknown", http.MethodGet, http.StatusUnauthorized, http.StatusAccepted},
		{"read, job unknown", http.MethodGet, http.StatusNotFound, http.StatusNotFound},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			asked := 0
			s := newJobServer(t, kvtest.New(1, kvtest.Faults{}).Client(), false, func(rw http.ResponseWriter, r *http.Request) {
				asked++
				if asked == 1 {
					respondWith(tt.status)(rw, r)
					return
				}
				respondWith(http.StatusAccepted)(rw, r)
			})
			address := s.Directory.Peers("", func(string) bool { return true })[0]
			s.Directory.Reset([]kv.Item{
				{Key: directory.Prefix + "peer-0", Value: []byte(address + " zone")}, {Key: directory.Prefix + "peer-1", Value: []byte(address + " zone")},
			})
			c := &app.RequestContext{}
			now := time.Now()
			r := &callerRequest{
				receivedAt: now, deadline: now.Add(5 * time.Second), method: tt.method, id: jobID, customer: customer,
				requestURI: "/jobs/j", path: "/jobs/j", host: "host", route: &routetable.Route{Name: "jobs", Kind: routetable.Rollout},
			}
			require.True(t, s.relay(t.Context(), c, r))
			require.Equal(t, tt.want, c.Response.StatusCode())
		})
	}
}

// TestRefusedResubmission guards against a job that is refused, which promises that no part of it
// runs, although an earlier attempt at the same instance was or may have been accepted.
func TestRefusedResubmission(t *testing.T) {
	tests := []struct {
		name     string
		reached  bool
		peer     http.HandlerFunc
		first    int
		customer string
		want     int
	}{
		{"peer was killed", false, loseConnection, http.StatusGatewayTimeout, customer, http.StatusGatewayTimeout},
		{"accepted", true, nil, http.StatusAccepted, customer, http.StatusGatewayTimeout},
		{"accepted by a peer", false, respondWith(http.StatusAccepted), http.StatusAccepted, customer, http.StatusGatewayTimeout},
		{"refused", false, nil, http.StatusServiceUnavailable, customer, http.StatusServiceUnavailable},
		{"job of another customer", true, nil, http.StatusAccepted, "b", http.StatusServiceUnavailable},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			store := &failingStore{Store: kvtest.New(1, kvtest.Faults{}).Client()}
			if !tt.reached {
				store.errs = []error{kv.ErrRefused}
			}
			s := newJobServer(t, store, tt.reached, tt.peer)
			submit := func(customer string) int {
				c := &app.RequestContext{}
				now := time.Now()
				s.submitJob(t.Context(), c, &callerRequest{
					receivedAt: now, deadline: now.Add(5 * time.Second), method: http.MethodPost, id: jobID, customer: customer,
					requestURI: "/jobs/j", path: "/jobs/j", host: "host", route: &routetable.Route{Name: "jobs", Kind: routetable.Rollout},
				})
				return c.Response.StatusCode()
			}
			require.Equal(t, tt.first, submit(customer))
			store.errs = []error{kv.ErrRefused}
			s.Directory.Reset(nil)
			require.Equal(t, tt.want, submit(tt.customer))
		})
	}
}

// TestSubmissions guards against jobs that are remembered without a limit.
func TestSubmissions(t *testing.T) {
	var s submissions
	now := time.Now()
	for i := range 2 * maxSubmissions {
		s.add(submission{customer, strconv.Itoa(i)}, now)
	}
	require.Len(t, s.until, maxSubmissions)
	last := submission{customer, strconv.Itoa(2*maxSubmissions - 1)}
	require.True(t, s.has(last, now))
	require.False(t, s.has(last, now.Add(submissionMemory)))
	s.add(submission{"b", "j"}, now.Add(2*submissionMemory))
	require.Len(t, s.until, 1, "expired ones are kept")
}

// TestRefusalAfterAttempt guards against a refusal, which promises that a request has not run,
// of one that may have run at a peer before.
func TestRefusalAfterAttempt(t *testing.T) {
	tests := []struct {
		name       string
		mayHaveRun bool
		status     int
		want       int
	}{
		{"no attempt", false, http.StatusServiceUnavailable, http.StatusServiceUnavailable},
		{"no room", true, http.StatusServiceUnavailable, http.StatusBadGateway},
		{"limits", true, http.StatusTooManyRequests, http.StatusBadGateway},
		{"out of time", true, http.StatusGatewayTimeout, http.StatusGatewayTimeout},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := &app.RequestContext{}
			newGateServer(zap.NewNop()).respondError(c, &callerRequest{mayHaveRun: tt.mayHaveRun}, tt.status, time.Second, "")
			require.Equal(t, tt.want, c.Response.StatusCode())
			require.Equal(t, isRefusal(tt.want), len(c.Response.Header.Peek("Retry-After")) > 0)
		})
	}
}
