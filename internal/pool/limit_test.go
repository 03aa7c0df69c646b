package pool_test

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"cactusspoke/internal/kv"
	"cactusspoke/internal/pool"
	"cactusspoke/internal/protocol"
	"cactusspoke/internal/ratelimit"
	"cactusspoke/internal/telemetry"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
)

var headers = protocol.Headers{RequestID: "Id", RateLimit: "Limit"}

// newPool returns a pool of two servers of one service, "a" and "b", whose addresses are
// their ids.
func newPool() *pool.Pool {
	decode := func(key string, value []byte) (pool.Server, error) {
		return pool.Server{ID: key, Service: "plain", Address: key, Slots: 4, Draining: string(value) == "draining", Born: 1}, nil
	}
	p := pool.New(decode, zap.NewNop(), func() {})
	p.Reset([]kv.Item{{Key: "a"}, {Key: "b"}})
	return p
}

// answer passes a response of a server to the pool.
func answer(p *pool.Pool, address, id, limit string) {
	header := http.Header{}
	for name, value := range map[string]string{headers.RequestID: id, headers.RateLimit: limit} {
		if value != "" {
			header.Set(name, value)
		}
	}
	pool.NewObserver(func() *pool.Pool { return p }, headers, telemetry.NewRegistry(), false).Answered(address, http.StatusOK, header)
}

// acquirable returns how many requests the pool hands out now, up to ten.
func acquirable(p *pool.Pool) int {
	n := 0
	for n < 10 {
		handle, ok := p.Acquire("plain", "", func(pool.Server, int) bool { return true })
		if !ok {
			return n
		}
		handle.Release(pool.Served)
		n++
	}
	return n
}

// TestLimitBeginsAndEnds checks which responses begin and end a limit.
func TestLimitBeginsAndEnds(t *testing.T) {
	tests := []struct {
		name    string
		id      string
		limit   string
		limited bool
	}{
		{"a response names another limit", "r-2", "3", true},
		{"a response names none", "r-2", "", false},
		{"a report names none", "", "", true},
		{"an unreadable limit", "r-2", "many", true},
		{"a negative limit", "r-2", "-1", true},
		{"an endless limit", "r-2", "Inf", true},
		{"a very high limit", "r-2", "1e300", true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newPool()
				answer(p, "a", "r-1", "2")
				require.Contains(t, p.Limits(), "a")
				answer(p, "a", tt.id, tt.limit)
				require.Equal(t, tt.limited, len(p.Limits()) == 1)
				require.Equal(t, 10, acquirable(p), "the other server has no limit")
			})
		})
	}
}

// TestRampAfterLimit asserts that a server whose limit ended does not get all requests at
// once, and soon as many as any other.
func TestRampAfterLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPool()
		answer(p, "b", "r-1", "0")
		answer(p, "a", "r-1", "1")
		time.Sleep(time.Minute)
		require.Equal(t, 1, acquirable(p))
		answer(p, "a", "r-2", "")
		require.LessOrEqual(t, acquirable(p), 1)
		time.Sleep(time.Second)
		require.LessOrEqual(t, acquirable(p), 3)
		time.Sleep(ratelimit.RampTime)
		require.Equal(t, 10, acquirable(p))
	})
}

// TestReserve checks that requests wait for the soonest server, in turn, and are not
// admitted when they would begin too late.
func TestReserve(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPool()
		answer(p, "a", "r-1", "1")
		answer(p, "b", "r-1", "0.5")
		require.Zero(t, acquirable(p), "a request was just answered by each")
		reserve := func(within time.Duration) (*pool.Handle, time.Duration) {
			return p.Reserve("plain", func(pool.Server) bool { return true }, time.Now().Add(within))
		}
		first, wait := reserve(3 * time.Second)
		require.Equal(t, "a", first.Server().ID)
		require.Equal(t, time.Second, wait)
		none, wait := reserve(1500 * time.Millisecond)
		require.Nil(t, none)
		require.Equal(t, 2*time.Second, wait)
		second, _ := reserve(3 * time.Second)
		time.Sleep(2 * time.Second)
		require.True(t, second.Usable())
		p.Apply([]kv.Item{{Key: second.Server().ID, Value: []byte("draining")}})
		require.False(t, second.Usable(), "a server that is draining gets no request that waited")
	})
}

// TestPublishedLimits checks when a limit that another process published applies.
func TestPublishedLimits(t *testing.T) {
	tests := []struct {
		name    string
		prepare func(p *pool.Pool)
		born    int64
		limited bool
	}{
		{"no answer yet", func(*pool.Pool) {}, 1, true},
		{"of another start of the server", func(*pool.Pool) {}, 2, false},
		{"its own answer named none just now", func(p *pool.Pool) { answer(p, "a", "r-1", "") }, 1, false},
		{"its own answer is old", func(p *pool.Pool) {
			answer(p, "a", "r-1", "")
			time.Sleep(time.Minute)
		}, 1, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newPool()
				tt.prepare(p)
				p.SeedLimits(map[string]pool.PublishedLimit{"a": {Born: tt.born, PerSecond: 2}})
				require.Equal(t, tt.limited, len(p.Limits()) == 1)
			})
		})
	}
	t.Run("a server that is registered later", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			p := newPool()
			p.SeedLimits(map[string]pool.PublishedLimit{"c": {Born: 1, PerSecond: 2}})
			p.Apply([]kv.Item{{Key: "c"}})
			require.Contains(t, p.Limits(), "c")
		})
	})
}

// TestReusedAddress asserts that answers from an address that another server has taken
// count for that one.
func TestReusedAddress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		decode := func(key string, value []byte) (pool.Server, error) {
			return pool.Server{ID: key, Service: "plain", Address: "shared", Slots: 4, Born: int64(len(value))}, nil
		}
		p := pool.New(decode, zap.NewNop(), func() {})
		p.Reachable(true)
		time.Sleep(time.Minute)
		p.Apply([]kv.Item{{Key: "new", Value: []byte("22")}, {Key: "old", Value: []byte("1")}})
		answer(p, "shared", "r-1", "2")
		require.Equal(t, map[string]pool.PublishedLimit{"new": {Born: 2, PerSecond: 2}}, p.Limits())
		p.Apply([]kv.Item{{Key: "old", Deleted: true}})
		answer(p, "shared", "r-2", "3")
		require.Equal(t, map[string]pool.PublishedLimit{"new": {Born: 2, PerSecond: 3}}, p.Limits())
		p.Apply([]kv.Item{{Key: "new", Deleted: true}})
		answer(p, "shared", "r-3", "4")
		require.Empty(t, p.Limits())
	})
}
