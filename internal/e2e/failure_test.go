package e2e

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"cactusspoke/internal/lab"
	"cactusspoke/pkg/client"

	"github.com/stretchr/testify/require"
)

// TestBackendFaults checks the handling of failing backend servers: truncated streams,
// mismatched and lost answers, leaving servers and requests that crash a server.
func TestBackendFaults(t *testing.T) {
	c := startCluster(t)
	engines := []string{"route-llm-0", "route-llm-1", "route-llm-2"}
	stream := client.NewCall("POST", "/v1/chat/completions",
		[]byte(`{"model":"route-llm","stream":true,"max_tokens":20,"messages":[{"role":"user","content":"break me"}]}`))

	t.Run("a broken stream is reported as truncated", func(t *testing.T) {
		for _, e := range engines {
			c.setFaults(e, `{"cut-streams":1}`)
		}
		caller, err := client.New([]string{c.addresses["entry-0"]}, c.keys["clinic"], "")
		require.NoError(t, err)
		events := 0
		err = caller.Stream(t.Context(), stream, func([]byte) error { events++; return nil })
		require.ErrorIs(t, err, client.ErrTruncated)
		require.Positive(t, events)
		for _, e := range engines {
			c.setFaults(e, `{"cut-streams":0}`)
		}
	})

	t.Run("an answer to another request never reaches the caller", func(t *testing.T) {
		for _, e := range engines {
			c.setFaults(e, `{"wrong-echo":1}`)
		}
		for i := range 6 {
			a := c.chat(fmt.Sprintf("entry-%d", i%3), "clinic")
			require.NotContains(t, string(a.body), "crossed")
			require.Contains(t, []int{200, 502}, a.status)
		}
	})

	t.Run("a non-idempotent request is not resent after a mismatched answer", func(t *testing.T) {
		for _, s := range []string{"returns-app-0", "returns-app-1"} {
			c.setFaults(s, `{"wrong-echo":1}`)
		}
		a := c.book("entry-0", "clinic", "crossed-1")
		require.Equal(t, "backend-failed", a.errorKind())
		require.Equal(t, "unknown", a.header.Get("X-Ran"))
		a = c.book("entry-1", "clinic", "crossed-1")
		require.Equal(t, "already-run", a.errorKind())
		require.Equal(t, 1, c.bookingRuns("crossed-1"))
		for _, s := range []string{"returns-app-0", "returns-app-1"} {
			c.setFaults(s, `{"wrong-echo":0}`)
		}
	})

	t.Run("a request to a plain service is not rerun after a lost answer", func(t *testing.T) {
		for _, s := range []string{"returns-app-0", "returns-app-1"} {
			c.setFaults(s, `{"lose-answers":1}`)
		}
		for i := range 4 {
			a := c.book(fmt.Sprintf("entry-%d", i%3), "clinic", "lost-1")
			require.NotEqual(t, 200, a.status)
			require.NotEqual(t, "no", a.header.Get("X-Ran"), "the request did run")
		}
		require.Equal(t, 1, c.bookingRuns("lost-1"))
		for _, s := range []string{"returns-app-0", "returns-app-1"} {
			c.setFaults(s, `{"lose-answers":0}`)
		}
	})

	t.Run("a leaving server receives no new requests", func(t *testing.T) {
		a := c.send("POST", "http://"+c.addresses["instances"]+lab.PathLeaving+"?name=returns-app-1", "", nil)
		require.Equal(t, 200, a.status)
		c.eventually("all instances list the server as leaving", func() bool {
			for i := range 3 {
				a := c.send("GET", c.url(fmt.Sprintf("entry-%d-operators", i), "/v1/status"), "", nil)
				if !reportsLeaving(a.body, "returns-app-1") {
					return false
				}
			}
			return true
		})
		before := c.distinctRuns("returns-app-1")
		for i := range 30 {
			a := c.send("GET", c.url(fmt.Sprintf("entry-%d", i%3), fmt.Sprintf("/v1/services/returns-app/slots/%d", i)), "", nil)
			require.Equal(t, 200, a.status)
		}
		require.Equal(t, before, c.distinctRuns("returns-app-1"))
	})

	t.Run("a request that crashes servers is quarantined", func(t *testing.T) {
		body := []byte(`{"model":"route-llm","max_tokens":4,"messages":[{"role":"user","content":"poison-the-engine"}]}`)
		kinds := map[string]int{}
		for i := range 6 {
			a := c.send("POST", c.url(fmt.Sprintf("entry-%d", i%3), "/v1/chat/completions"), c.keys["clinic"], body)
			kinds[a.errorKind()]++
			time.Sleep(time.Second)
		}
		require.Positive(t, kinds["quarantined"], "%v", kinds)
		require.Equal(t, 200, c.chat("entry-1", "clinic").status, "another engine still serves other requests")
	})

	require.Empty(t, c.violations())
}

// reportsLeaving reports whether a status response lists the server as leaving.
func reportsLeaving(status []byte, name string) bool {
	var wire struct {
		Servers []struct {
			Name    string `json:"name"`
			Leaving bool   `json:"leaving"`
		} `json:"backend-servers"`
	}
	_ = json.Unmarshal(status, &wire)
	for _, s := range wire.Servers {
		if s.Name == name {
			return s.Leaving
		}
	}
	return false
}

// distinctRuns returns how many different requests the server has run.
func (c *cluster) distinctRuns(server string) int {
	var s struct {
		Runs map[string]int `json:"runs"`
	}
	c.readSeen(server, &s)
	return len(s.Runs)
}

// TestStoreFaults checks the handling of lost answers, conflicts and outages of the
// key-value store.
func TestStoreFaults(t *testing.T) {
	c := startCluster(t)
	settings := c.settingsPath("entry-0")

	t.Run("after lost store answers, an edit is applied once and a claimed request runs at most once", func(t *testing.T) {
		c.setFaults("store", `{"lose-answers":6}`)
		out := c.mustRun("profile", "edit", "--settings", settings, "--set", "queue-wait=3s", "returns-app-profile")
		require.Contains(t, out, "edit 2 accepted")
		c.setFaults("store", `{"lose-answers":6}`)
		a := c.book("entry-0", "clinic", "lossy")
		require.Contains(t, []int{200, 503}, a.status, string(a.body))
		c.setFaults("store", `{"lose-answers":0}`)
		for i := range 3 {
			c.book(fmt.Sprintf("entry-%d", i), "clinic", "lossy")
		}
		require.LessOrEqual(t, c.bookingRuns("lossy"), 1)
	})

	t.Run("concurrent edits: one is accepted, the others get a conflict", func(t *testing.T) {
		out, err := c.runCLI("profile", "edit", "--settings", settings, "--against", "1", "--set", "queue-length=9", "returns-app-profile")
		require.Error(t, err)
		require.Contains(t, out, "conflict: the edit was made against edit 1, but edit 2 stands")
		require.Contains(t, out, `wanted:    "queue-length": 9`)
		results := make(chan string, 4)
		for i := range 4 {
			go func() {
				out, _ := c.runCLI("profile", "edit", "--settings", settings, "--against", "2", "--set", fmt.Sprintf("queue-length=%d", 50+i), "returns-app-profile")
				results <- out
			}()
		}
		accepted := 0
		for range 4 {
			if strings.Contains(<-results, "edit 3 accepted") {
				accepted++
			}
		}
		require.Equal(t, 1, accepted)
		require.Contains(t, c.mustRun("profile", "history", "--settings", settings, "returns-app-profile"), `"edit":3`)
	})

	t.Run("a profile can end running requests of a withdrawn key", func(t *testing.T) {
		c.mustRun("profile", "edit", "--settings", settings, "--set", "on-withdrawal=end", "route-llm-profile")
		key := strings.Fields(c.mustRun("key", "grant", "--settings", settings, "--customer", "caterer"))[0]
		c.keys["extra"] = key
		c.eventually("entry-1 takes the key", func() bool { return c.chat("entry-1", "extra").status == 200 })
		caller, err := client.New([]string{c.addresses["entry-1"]}, key, "")
		require.NoError(t, err)
		call := client.NewCall("POST", "/v1/chat/completions",
			[]byte(`{"model":"route-llm","stream":true,"max_tokens":20000,"messages":[{"role":"user","content":"without end"}]}`))
		last := ""
		var withdraw sync.Once
		err = caller.Stream(t.Context(), call, func(data []byte) error {
			last = string(data)
			withdraw.Do(func() { c.mustRun("key", "withdraw", "--settings", settings, "--customer", "caterer", key) })
			return nil
		})
		require.ErrorIs(t, err, client.ErrTruncated)
		require.Contains(t, last, `"kind":"withdrawn-while-running"`)
		require.Contains(t, last, `"ran":"unknown"`)
	})

	t.Run("store outage: other requests are served, claims are refused as not run, a withdrawal takes effect", func(t *testing.T) {
		c.setFaults("store", `{"frozen":true}`)
		require.Equal(t, 200, c.chat("entry-0", "caterer").status)
		a := c.book("entry-0", "clinic", "outage")
		require.Equal(t, "store-unavailable", a.errorKind(), string(a.body))
		require.Equal(t, "no", a.header.Get("X-Ran"))
		require.Zero(t, c.bookingRuns("outage"))
		out, err := c.runCLI("key", "withdraw", "--settings", settings, "--customer", "clinic", c.keys["clinic"])
		require.Error(t, err)
		require.Contains(t, out, "denied by all instances in touch")
		for i := range 3 {
			entry := fmt.Sprintf("entry-%d", i)
			c.eventually(entry+" refuses", func() bool { return c.chat(entry, "clinic").errorKind() == "key-withdrawn" })
		}
		require.Equal(t, 200, c.chat("entry-2", "caterer").status)
		c.setFaults("store", `{"frozen":false}`)
		c.eventually("the withdrawal is stored", func() bool {
			_, err := c.runCLI("key", "withdraw", "--settings", settings, "--customer", "clinic", c.keys["clinic"])
			return err == nil
		})
	})

	t.Run("store unreachable: the command prints one line and fails", func(t *testing.T) {
		c.kill("store")
		out, err := c.runCLI("profile", "get", "--settings", settings, "returns-app-profile")
		require.Error(t, err)
		require.Len(t, strings.Split(strings.TrimSpace(out), "\n"), 1, out)
	})

	require.Empty(t, c.violations())
}

// TestProcessFaults checks that entry instances handle pauses, isolation, shutdown,
// crashes and invalid settings.
func TestProcessFaults(t *testing.T) {
	c := startCluster(t)

	t.Run("a paused duty holder sends no orders after its successor takes over", func(t *testing.T) {
		c.setFaults("orders", `{"ignore-epochs":true}`)
		c.setFaults("usage", `{"ignore-epochs":true}`)
		for range 2 {
			var holder string
			c.eventually("orders has a holder", func() bool {
				holder = c.dutyHolder("orders")
				return holder != ""
			})
			c.signal(holder, syscall.SIGSTOP)
			c.eventually("another instance takes over", func() bool {
				other := c.dutyHolderExcept("orders", holder)
				return other != "" && other != holder
			})
			c.signal(holder, syscall.SIGCONT)
			time.Sleep(2 * time.Second)
		}
		for _, name := range []string{"orders", "usage"} {
			var s struct {
				Violations []string `json:"violations"`
			}
			c.readSeen(name, &s)
			require.Empty(t, s.Violations, name)
		}
	})

	t.Run("an isolated instance refuses requests with a key until it reconnects", func(t *testing.T) {
		paused := []string{"store", "entry-0", "entry-1"}
		for _, name := range paused {
			c.signal(name, syscall.SIGSTOP)
		}
		c.eventually("entry-2 refuses", func() bool { return c.chat("entry-2", "clinic").errorKind() == "cut-off" })
		open := c.send("GET", c.url("entry-2", "/v1/services/returns-app/slots/today"), "", nil)
		require.Equal(t, 200, open.status, "a public route needs no key")
		for _, name := range paused {
			c.signal(name, syscall.SIGCONT)
		}
		c.eventually("entry-2 serves again", func() bool { return c.chat("entry-2", "clinic").status == 200 })
	})

	t.Run("a key withdrawn while an instance is paused is refused after it resumes", func(t *testing.T) {
		granted := c.mustRun("key", "grant", "--settings", c.settingsPath("entry-0"), "--customer", "caterer")
		c.keys["extra"] = strings.Fields(granted)[0]
		c.eventually("entry-1 takes the key", func() bool { return c.chat("entry-1", "extra").status == 200 })
		c.signal("entry-1", syscall.SIGSTOP)
		c.mustRun("key", "withdraw", "--settings", c.settingsPath("entry-0"), "--customer", "caterer", c.keys["extra"])
		time.Sleep(6 * time.Second)
		c.signal("entry-1", syscall.SIGCONT)
		c.eventually("entry-1 refuses", func() bool { return c.chat("entry-1", "extra").errorKind() == "key-withdrawn" })
	})

	t.Run("a graceful shutdown interrupts no stream", func(t *testing.T) {
		caller, err := client.New([]string{c.addresses["entry-2"]}, c.keys["clinic"], "")
		require.NoError(t, err)
		call := client.NewCall("POST", "/v1/chat/completions",
			[]byte(`{"model":"route-llm","stream":true,"max_tokens":400,"messages":[{"role":"user","content":"a long round"}]}`))
		var group sync.WaitGroup
		streamErrs := make(chan error, 20)
		started := make(chan struct{}, 20)
		for range 20 {
			group.Go(func() {
				first := true
				streamErrs <- caller.Stream(t.Context(), call, func([]byte) error {
					if first {
						started <- struct{}{}
						first = false
					}
					return nil
				})
			})
		}
		for range 20 {
			<-started
		}
		c.signal("entry-2", syscall.SIGTERM)
		group.Wait()
		for range 20 {
			require.NoError(t, <-streamErrs)
		}
		require.NoError(t, c.processes["entry-2"].Wait())
		delete(c.processes, "entry-2")
		require.Equal(t, 200, c.chat("entry-0", "clinic").status)
	})

	t.Run("a training step completes after its entry instance crashes", func(t *testing.T) {
		c.startProcess("entry-2")
		c.eventually("entry-2 is back", func() bool { return c.chat("entry-2", "clinic").status == 200 })
		trainer, err := lab.NewTrainer(lab.TrainerOptions{
			Entries: []string{c.addresses["entry-0"], c.addresses["entry-1"], c.addresses["entry-2"]},
			Key:     c.keys["caterer"], Service: "route-llm", Weights: c.addresses["weight-store"],
			Steps: 3, Groups: 6, Samples: 4, MaxTokens: 300, FirstStep: 50,
		})
		require.NoError(t, err)
		results := make(chan lab.TrainerResult, 1)
		errs := make(chan error, 1)
		go func() {
			ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
			defer cancel()
			result, err := trainer.Run(ctx)
			results <- result
			errs <- err
		}()
		var driver string
		c.eventually("a step is open", func() bool {
			driver = c.stepDriver()
			return driver != ""
		})
		c.kill(driver)
		time.Sleep(500 * time.Millisecond)
		c.startProcess(driver)
		result := <-results
		require.NoError(t, <-errs)
		require.Equal(t, 3, result.Steps)
		require.Zero(t, result.DeliveredTwice)
		require.Zero(t, result.TooOld)
	})

	t.Run("invalid settings and an address in use are reported", func(t *testing.T) {
		data, err := os.ReadFile(c.settingsPath("entry-0"))
		require.NoError(t, err)
		broken := strings.Replace(string(data), `"failure-domain": "a",`, `"failure-domian": "a",`, 1)
		path := filepath.Join(c.folder, "broken.json")
		require.NoError(t, os.WriteFile(path, []byte(broken), 0o600))
		out, err := c.runCLI("run", "--settings", path)
		require.Error(t, err)
		require.Contains(t, out, "failure-domian: unknown field")
		require.Contains(t, out, "failure-domain: is missing")
		out, err = c.runCLI("run", "--settings", c.settingsPath("entry-0"))
		require.Error(t, err)
		require.Contains(t, out, "callers.address is not free")
		require.Len(t, strings.Split(strings.TrimSpace(out), "\n"), 1, out)
	})

	require.Empty(t, c.violations())
}

// stepDriver returns an entry instance that has a step open, or an empty string.
func (c *cluster) stepDriver() string {
	for name := range c.processes {
		if !strings.HasPrefix(name, "entry-") {
			continue
		}
		a := c.send("GET", c.url(name+"-operators", "/v1/status"), "", nil)
		if a.status == 200 && !strings.Contains(string(a.body), `"open-steps":0`) {
			return name
		}
	}
	return ""
}

// dutyHolder returns an entry instance that reports that it holds the duty, or an empty
// string.
func (c *cluster) dutyHolder(duty string) string { return c.dutyHolderExcept(duty, "") }

// dutyHolderExcept is like dutyHolder, but does not query the excluded instance.
func (c *cluster) dutyHolderExcept(duty, excluded string) string {
	for name := range c.processes {
		if !strings.HasPrefix(name, "entry-") || name == excluded {
			continue
		}
		a := c.send("GET", c.url(name+"-operators", "/v1/status"), "", nil)
		var s struct {
			Duties []struct {
				Name    string `json:"name"`
				Holding bool   `json:"holding"`
			} `json:"duties"`
		}
		if errors.Join(a.err, json.Unmarshal(a.body, &s)) != nil {
			continue
		}
		for _, d := range s.Duties {
			if d.Name == duty && d.Holding {
				return name
			}
		}
	}
	return ""
}

// TestDomainReclaimed marks the backend servers of a failure domain as leaving under
// load, drains an entry instance at the same time and kills the servers 4 s later.
func TestDomainReclaimed(t *testing.T) {
	c := startCluster(t)
	w, err := lab.ReadWorkload("../../workloads/demo.json")
	require.NoError(t, err)
	entries := []string{c.addresses["entry-0"], c.addresses["entry-1"], c.addresses["entry-2"]}
	load, err := lab.NewLoad(lab.LoadOptions{Workload: w, Entries: entries, Keys: c.keys, Duration: 12 * time.Second, Scale: 1.5, Seed: 3})
	require.NoError(t, err)
	results := make(chan lab.LoadResult, 1)
	go func() { results <- load.Run(t.Context()) }()
	time.Sleep(3 * time.Second)
	reclaimed := []string{"route-llm-2", "returns-app-1"}
	for _, name := range reclaimed {
		a := c.send("POST", "http://"+c.addresses["instances"]+lab.PathLeaving+"?name="+name, "", nil)
		require.Equal(t, 200, a.status)
	}
	require.Contains(t, c.mustRun("drain", "--settings", c.settingsPath("entry-2")), "shutting down")
	time.Sleep(4 * time.Second)
	for _, name := range reclaimed {
		c.kill(name)
	}
	result := <-results
	require.Zero(t, result.RanTwice)
	for _, customer := range result.Customers {
		require.Zero(t, customer.Outcomes["truncated"], "%v", customer.Outcomes)
		require.Zero(t, customer.Outcomes["backend-failed"], "%v", customer.Outcomes)
	}
	require.GreaterOrEqual(t, result.Completed, result.Sent*95/100, "%+v", result)
	require.NoError(t, c.processes["entry-2"].Wait())
	delete(c.processes, "entry-2")
	require.Empty(t, c.violations())
}
