package replica

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"cactusspoke/internal/http1"
	"cactusspoke/internal/kv"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
)

// fakeRelay serves a fixed table, or what respond writes instead.
type fakeRelay struct {
	address string
	polls   atomic.Int64
}

func newFakeRelay(t *testing.T, respond http.HandlerFunc) *fakeRelay {
	t.Helper()
	r := &fakeRelay{}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		r.polls.Add(1)
		respond(w, request)
	}))
	t.Cleanup(server.CloseClientConnections)
	t.Cleanup(func() { go server.Close() })
	r.address = strings.TrimPrefix(server.URL, "http://")
	return r
}

// goodAnswer is the answer of a relay with one key.
func goodAnswer(age time.Duration) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("after") == "1" {
			time.Sleep(20 * time.Millisecond)
		}
		data, _, _ := encodeUpdate(update{incarnation: "i", age: age, tables: []Changes{{Complete: true, Sequence: 1, At: 5, Items: []kv.Item{{Key: "k", Revision: 5}}}}})
		_, _ = w.Write(data)
	}
}

// TestFollowerLeavesBadRelays asserts that a follower gets the state from another
// relay, or else from the store, if its relay is in trouble.
func TestFollowerLeavesBadRelays(t *testing.T) {
	tests := []struct {
		name string
		bad  http.HandlerFunc
	}{
		{"silent", func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }},
		{"not watching the store", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }},
		{"cut off from the store", goodAnswer(time.Minute)},
		{"another protocol version", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, `{"protocol":2,"tables":[{}]}`) }},
		{"not an answer", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "hello") }},
		{"endless", func(w http.ResponseWriter, r *http.Request) {
			for r.Context().Err() == nil {
				if _, err := io.WriteString(w, strings.Repeat(" ", 4096)); err != nil {
					return
				}
			}
		}},
		{"connection closed", func(w http.ResponseWriter, _ *http.Request) {
			conn, _, _ := w.(http.Hijacker).Hijack()
			_ = conn.Close()
		}},
	}
	for _, tt := range tests {
		for _, withGood := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, another relay %t", tt.name, withGood), func(t *testing.T) {
				t.Parallel()
				other := goodAnswer(0)
				if !withGood {
					other = tt.bad
				}
				bad, good := newFakeRelay(t, tt.bad), newFakeRelay(t, other)
				members := domainMembers("a", minFollowedDomain)
				self := Member{Name: "self", FailureDomain: "a"}
				relays := MakePlan(self, members).Relays
				for i := range members {
					switch members[i].Name {
					case relays[0].Name:
						members[i].Address = bad.address
					case relays[1].Name:
						members[i].Address = good.address
					}
				}
				table := NewTable(newRecordingView(), NewSignal())
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				var once sync.Once
				watched := make(chan struct{})
				f := NewFollower(Config{
					Self: self, Members: func() []Member { return members }, Tables: []*Table{table}, StoreReachable: func() bool { return true },
					Watch: func(ctx context.Context) {
						once.Do(func() { close(watched) })
						table.ResetAt([]kv.Item{{Key: "k", Revision: 5}}, 5)
						<-ctx.Done()
					},
					Client: http1.NewClient(), Log: zap.NewNop(),
				})
				startedAt := time.Now()
				go func() { _ = f.Run(ctx) }()
				require.Eventually(t, func() bool { return len(table.Items()) == 1 }, 10*time.Second, 5*time.Millisecond)
				if withGood {
					require.Less(t, time.Since(startedAt), 2*time.Second)
					// What a relay that is cut off still has is merged before the next one is polled.
					require.Eventually(t, func() bool { return good.polls.Load() > 0 }, 2*time.Second-time.Since(startedAt), 5*time.Millisecond)
					return
				}
				<-watched
				require.Eventually(t, f.Direct, time.Second, 5*time.Millisecond)
			})
		}
	}
}

// TestFollowerInOutage asserts that a follower does not watch the store while neither
// its relays nor it can reach the store.
func TestFollowerInOutage(t *testing.T) {
	relay := newFakeRelay(t, goodAnswer(time.Minute))
	members := domainMembers("a", minFollowedDomain)
	for i := range members {
		members[i].Address = relay.address
	}
	f := NewFollower(Config{
		Self: Member{Name: "self", FailureDomain: "a"}, Members: func() []Member { return members }, Tables: []*Table{NewTable(newRecordingView(), NewSignal())},
		StoreReachable: func() bool { return false }, Watch: func(context.Context) { t.Error("the follower watches the store") },
		Client: http1.NewClient(), Log: zap.NewNop(),
	})
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	require.Error(t, f.Run(ctx))
	require.Positive(t, relay.polls.Load())
}

// TestCodec checks messages with and without compression, and invalid ones.
func TestCodec(t *testing.T) {
	for _, size := range []int{10, 100_000} {
		in := update{incarnation: "x", age: 5 * time.Millisecond, tables: []Changes{
			{Complete: true, Sequence: 7, At: 9, Items: []kv.Item{{Key: "k", Value: []byte(strings.Repeat("v", size)), Revision: 3}}},
			{Sequence: 1, At: 2, Items: []kv.Item{{Key: "gone", Revision: 4, Deleted: true}}},
		}}
		data, packed, err := encodeUpdate(in)
		require.NoError(t, err)
		require.Equal(t, size > minPackedBytes, packed)
		require.Less(t, len(data), 4*minPackedBytes)
		out, err := decodeUpdate(data, packed, 2)
		require.NoError(t, err)
		require.Equal(t, in, out)
		_, err = decodeUpdate(data, packed, 1)
		require.ErrorContains(t, err, "2 tables instead of 1")
	}
}

// TestUpdateOfProductionVersion guards against a format that the version in production, whose
// instances run beside new ones during an upgrade, does not write. The file is what an entry
// instance of that version answered to a poll.
func TestUpdateOfProductionVersion(t *testing.T) {
	data, err := os.ReadFile("testdata/update-daa3440.json")
	require.NoError(t, err)
	u, err := decodeUpdate(data, false, 2)
	require.NoError(t, err)
	require.NotEmpty(t, u.incarnation)
	keys := map[string]bool{}
	for _, table := range u.tables {
		require.True(t, table.Complete)
		for _, item := range table.Items {
			require.NotEmpty(t, item.Value)
			require.Positive(t, item.Revision)
			keys[item.Key] = true
		}
	}
	require.True(t, keys["op/config"] && keys["cluster/entry/entry-0"], "%v", keys)
	// What this version writes has the same fields.
	again, packed, err := encodeUpdate(u)
	require.NoError(t, err)
	require.False(t, packed)
	require.JSONEq(t, string(data), string(again))
}

// FuzzDecodeUpdate checks that no message of a relay makes its follower panic.
func FuzzDecodeUpdate(f *testing.F) {
	data, _, _ := encodeUpdate(update{incarnation: "x", tables: []Changes{{Items: []kv.Item{{Key: "k", Revision: 1}}}}})
	f.Add(data, false)
	f.Add([]byte("{"), true)
	f.Fuzz(func(t *testing.T, data []byte, packed bool) {
		u, err := decodeUpdate(data, packed, 1)
		require.True(t, err != nil || len(u.tables) == 1)
	})
}

// TestRefusedRelay asserts that a relay at whose address nothing listens is left at
// once.
func TestRefusedRelay(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, l.Close())
	f := NewFollower(Config{Tables: []*Table{NewTable(newRecordingView(), NewSignal())}, Client: http1.NewClient(), Log: zap.NewNop()})
	startedAt := time.Now()
	f.poll(t.Context(), Member{Name: "r", Address: l.Addr().String()})
	require.Less(t, time.Since(startedAt), pollWait)
	_, ok := f.chooseRelay(Plan{Relays: []Member{{Address: l.Addr().String()}}}, time.Now())
	require.False(t, ok)
}
