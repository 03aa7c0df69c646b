package node_test

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"cactusspoke/platform"
	"cactusspoke/platform/standin"

	"github.com/stretchr/testify/require"
)

// pathContact is how long after a cut began the callers of a cut instance are served like
// those of the others.
const pathContact = 3 * time.Second

// logDelay is how long a log line may take to be written.
const logDelay = 100 * time.Millisecond

// TestCallersOfCutInstances guards against callers that are not served at instances which
// lost their paths to all servers, while other instances reach them.
func TestCallersOfCutInstances(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name string
		how  standin.Cut
		cut  int
	}{
		{"one hung", standin.Hang, 1},
		{"all but one hung", standin.Hang, 3},
		{"most reset", standin.Reset, 2},
		{"open connections survive", standin.Survive, 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, 4, 1)
			c.putConfig(1, nil)
			c.waitReady()
			cut := c.entries[:tt.cut]
			for _, p := range cut {
				c.network.SetCut(p.settings.Name, tt.how)
			}
			began := time.Now()
			tries, served := 0, 0
			for n := 0; time.Since(began) < pathContact+3*time.Second; n++ {
				p := cut[n%len(cut)]
				path := []string{"/safe/x", "/unsafe/x", "/stream/x"}[n%3]
				headers := map[string]string{platform.Headers().DeadlineMS: "800", "X-Model": model}
				r := c.send(p, http.MethodPost, path, fmt.Sprintf("r-%d", n), key, []byte("body"), headers)
				if time.Since(began) > pathContact {
					tries++
					if r.err == nil && r.status == http.StatusOK {
						served++
						require.Equal(t, fmt.Sprintf("r-%d", n), r.header.Get(platform.Headers().RequestID))
						require.NotEmpty(t, r.header.Get(platform.Headers().Signature))
					}
				}
				time.Sleep(20 * time.Millisecond)
			}
			require.Greater(t, tries, 20)
			require.GreaterOrEqual(t, served, tries-1-tries/50, "of %d first tries", tries)
			c.requireAtMostOnce()
			for _, p := range cut {
				require.Equal(t, http.StatusOK, c.getStatus("http://"+p.settings.ReadyAddress+platform.Paths().Ready))
				c.network.SetCut(p.settings.Name, standin.NoCut)
			}
			c.eventually(func() bool { return c.directly(cut[0], 1) })
			require.True(t, c.directly(cut[0], 30), "requests are relayed although the paths are back")
			c.eventually(func() bool { return strings.Count(c.lookupAddresses(c.entries[3]), ":") == 4 })
		})
	}
}

// TestPathsThatComeAndGo checks that callers of an instance are served while its paths are
// lost and come back by turns, that no request runs more often than it may, and that the
// store gets few writes for it.
func TestPathsThatComeAndGo(t *testing.T) {
	t.Parallel()
	const flaps, halfPeriod = 4, 1200 * time.Millisecond
	c := newCluster(t, 3, 1)
	c.putConfig(1, nil)
	c.waitReady()
	cut := c.entries[0]
	tries, served := 0, 0
	for flap := range 2 * flaps {
		how := []standin.Cut{standin.Hang, standin.NoCut, standin.Reset, standin.NoCut}[flap%4]
		c.network.SetCut(cut.settings.Name, how)
		for began := time.Now(); time.Since(began) < halfPeriod; time.Sleep(30 * time.Millisecond) {
			path := []string{"/safe/x", "/unsafe/x"}[tries%2]
			headers := map[string]string{platform.Headers().DeadlineMS: "800"}
			if c.send(cut, http.MethodPost, path, fmt.Sprintf("r-%d", tries), key, nil, headers).status == http.StatusOK {
				served++
			}
			tries++
		}
	}
	require.GreaterOrEqual(t, 3*served, 2*tries, "%d of %d", served, tries)
	c.requireAtMostOnce()
	writes := strings.Count(cut.out.text(), "directory: lost services announced")
	require.LessOrEqual(t, writes, 2*flaps)
}

// directly sends requests to an instance and reports whether it relayed none.
func (c *cluster) directly(p *process, requests int) bool {
	time.Sleep(logDelay)
	before := c.relayed()
	for n := range requests {
		r := c.send(p, http.MethodPost, "/safe/x", "after-"+strconv.Itoa(n), key, nil, nil)
		require.Equal(c.t, http.StatusOK, r.status)
	}
	time.Sleep(logDelay)
	return before == c.relayed()
}

// relayed returns how many requests reached an entry instance from another one.
func (c *cluster) relayed() int {
	total := 0
	for _, p := range c.entries {
		total += strings.Count(p.out.text(), "request: relayed")
	}
	return total
}

// requireAtMostOnce asserts that no request to an unsafe route ran twice, and no request
// more often than its route allows.
func (c *cluster) requireAtMostOnce() {
	c.t.Helper()
	runs := map[string]int{}
	for _, w := range c.plainServers {
		for _, r := range w.Requests() {
			runs[r.Path+" "+r.ID]++
		}
	}
	for request, n := range runs {
		if strings.HasPrefix(request, "/unsafe/") {
			require.Equal(c.t, 1, n, request)
		} else if !strings.Contains(request, "warm-up") {
			require.LessOrEqual(c.t, n, 2, request)
		}
	}
}
