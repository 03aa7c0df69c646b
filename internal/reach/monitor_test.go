package reach

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"cactusspoke/internal/telemetry"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
)

// network is a set of servers of one service, of which some cannot be reached.
type network struct {
	mu      sync.Mutex
	servers int
	cut     func(i int) bool
	hangs   bool
	dials   int
	monitor *Monitor
}

func startNetwork(ctx context.Context, servers int) *network {
	n := &network{servers: servers, cut: func(int) bool { return false }}
	n.monitor = NewMonitor(Config{Addresses: n.addresses, Connect: n.connect, Restored: func(string) {}, Metrics: telemetry.NewRegistry(), Log: zap.NewNop()})
	go func() { _ = n.monitor.Run(ctx) }()
	return n
}

func (n *network) addresses(string) []string {
	var out []string
	for i := range n.servers {
		out = append(out, fmt.Sprint(i))
	}
	return out
}

func (n *network) set(cut func(i int) bool, hangs bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut, n.hangs = cut, hangs
}

func (n *network) connect(_ context.Context, address string) error {
	var i int
	_, _ = fmt.Sscan(address, &i)
	n.mu.Lock()
	n.dials++
	cut, hangs := n.cut(i), n.hangs
	n.mu.Unlock()
	var err error
	startedAt := time.Now()
	if cut {
		err = errors.New("unreachable")
		if hangs {
			time.Sleep(300 * time.Millisecond)
		}
	}
	n.monitor.Observer().Dialed(address, time.Since(startedAt), err)
	return err
}

// request sends a request to a server on a kept connection.
func (n *network) request(i int) {
	n.mu.Lock()
	cut := n.cut(i)
	n.mu.Unlock()
	if cut {
		n.monitor.Suspect("service", fmt.Sprint(i))
		return
	}
	n.monitor.Observer().Answered(fmt.Sprint(i), 200, nil)
}

// run sends requests to all servers in turn for some time.
func (n *network) run(d time.Duration) {
	for at := time.Now(); time.Since(at) < d; time.Sleep(50 * time.Millisecond) {
		n.request(int(time.Since(at)/(50*time.Millisecond)) % n.servers)
	}
	synctest.Wait()
}

func (n *network) lost() bool { return n.monitor.Knowledge("service").Lost() }

func all(int) bool  { return true }
func none(int) bool { return false }

// TestPathsLostAndBack checks that the loss of all or most servers is noticed within a
// second, that of a few is none, and that the end is noticed within a second.
func TestPathsLostAndBack(t *testing.T) {
	tests := []struct {
		name    string
		servers int
		cut     func(i int) bool
		hangs   bool
		lost    bool
	}{
		{"all of three, hung", 3, all, true, true},
		{"all of three, refused", 3, all, false, true},
		{"all of twelve, hung", 12, all, true, true},
		{"all but one of twelve", 12, func(i int) bool { return i > 0 }, true, true},
		{"the only one", 1, all, true, true},
		{"one of three", 3, func(i int) bool { return i == 0 }, true, false},
		{"three of twelve", 12, func(i int) bool { return i < 3 }, false, false},
		{"three of twelve, hung", 12, func(i int) bool { return i < 3 }, true, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				n := startNetwork(ctx, test.servers)
				n.run(3 * time.Second)
				require.False(t, n.lost())
				require.Zero(t, n.dials, "no checks while requests succeed")
				n.set(test.cut, test.hangs)
				n.run(time.Second)
				for range 10 {
					require.Equal(t, test.lost, n.lost())
					n.run(500 * time.Millisecond)
				}
				n.set(none, false)
				n.run(time.Second)
				require.False(t, n.lost())
				n.run(announcedTime)
				require.Empty(t, n.monitor.Lost())
			})
		})
	}
}

// TestChecksAreFew checks that instances which lost their paths do not flood the servers
// with connections, also when the cut comes and goes.
func TestChecksAreFew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		n := startNetwork(ctx, 12)
		for i := range 20 {
			cut := all
			if i%2 == 0 {
				cut = none
			}
			n.set(cut, i%3 == 0)
			n.run(500 * time.Millisecond)
		}
		require.LessOrEqual(t, n.dials, 10*(checkedServers+checkedSuspects)*int(time.Second/recheckInterval+1))
		n.set(none, false)
		n.run(3 * time.Second)
		before := n.dials
		n.run(5 * time.Second)
		require.Equal(t, before, n.dials, "no checks after the paths are back")
	})
}

// fromEnvironment returns a number from the environment. Package lab has a function for
// that, but imports this package.
func fromEnvironment(name string, otherwise int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return otherwise
}

// TestSoakPaths draws cuts of all, most or few servers that come, go and overlap. A cut of
// most servers is noticed after a while of traffic, its end as well, a cut of few is never
// taken for one, and checks stay few.
func TestSoakPaths(t *testing.T) {
	// settled is the time after which the state must be known. It is below the time in which
	// callers of a cut instance may go unserved.
	const settled = 2700 * time.Millisecond
	steps := fromEnvironment("SOAK_STEPS", 60)
	for _, seed := range []int{fromEnvironment("SOAK_SEED", 1), 31, 33} {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) { playCuts(t, uint64(seed), steps, settled) })
	}
}

// playCuts draws cuts from a seed. The state must be right settled after a change.
func playCuts(t *testing.T, seed uint64, steps int, settled time.Duration) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		random := rand.New(rand.NewPCG(seed, 0))
		servers := 1 + random.IntN(12)
		n := startNetwork(ctx, servers)
		started := time.Now()
		for range steps {
			down := []int{0, 0, servers / 4, servers, servers, servers - servers/6}[random.IntN(6)]
			n.set(func(i int) bool { return i < down }, random.IntN(2) == 0)
			n.run(time.Duration(random.IntN(2000)) * time.Millisecond)
			if random.IntN(3) == 0 {
				n.run(settled)
				lost := n.lost()
				require.Equal(t, down > servers/4, lost, "%d of %d servers cut, seed %d, known: %+v", down, servers, seed, n.monitor.Knowledge("service"))
			}
		}
		perSecond := float64(checkedServers+checkedSuspects) / (recheckInterval / 2).Seconds()
		cancel()
		time.Sleep(time.Second) // checks that hang end
		require.LessOrEqual(t, float64(n.dials), perSecond*time.Since(started).Seconds()+checkedServers+checkedSuspects)
	})
}
