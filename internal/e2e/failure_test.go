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

// TestBackendFaults brings about the failures of backend servers.
func TestBackendFaults(t *testing.T) {
	c := start(t)
	engines := []string{"route-llm-0", "route-llm-1", "route-llm-2"}
	stream := client.NewCall("POST", "/v1/chat/completions",
		[]byte(`{"model":"route-llm","stream":true,"max_tokens":20,"messages":[{"role":"user","content":"break me"}]}`))

	t.Run("a broken stream is seen as truncated", func(t *testing.T) {
		for _, e := range engines {
			c.fault(e, `{"cut-streams":1}`)
		}
		caller, err := client.New([]string{c.addresses["entry-0"]}, c.keys["clinic"], "")
		require.NoError(t, err)
		events := 0
		err = caller.Stream(t.Context(), stream, func([]byte) error { events++; return nil })
		require.ErrorIs(t, err, client.ErrTruncated)
		require.Positive(t, events)
		for _, e := range engines {
			c.fault(e, `{"cut-streams":0}`)
		}
	})

	t.Run("a crossed answer never reaches the caller", func(t *testing.T) {
		for _, e := range engines {
			c.fault(e, `{"wrong-echo":1}`)
		}
		for i := range 6 {
			a := c.chat(fmt.Sprintf("entry-%d", i%3), "clinic")
			require.NotContains(t, string(a.body), "crossed")
			require.Contains(t, []int{200, 502}, a.status)
		}
	})

	t.Run("a non-idempotent call is not sent again after a crossed answer", func(t *testing.T) {
		for _, s := range []string{"returns-app-0", "returns-app-1"} {
			c.fault(s, `{"wrong-echo":1}`)
		}
		a := c.book("entry-0", "clinic", "crossed-1")
		require.Equal(t, "backend-failed", a.kind())
		require.Equal(t, "unknown", a.header.Get("X-Ran"))
		a = c.book("entry-1", "clinic", "crossed-1")
		require.Equal(t, "already-run", a.kind())
		require.Equal(t, 1, c.runs("crossed-1"))
		for _, s := range []string{"returns-app-0", "returns-app-1"} {
			c.fault(s, `{"wrong-echo":0}`)
		}
	})

	t.Run("a lost answer of a plain service is not run again", func(t *testing.T) {
		for _, s := range []string{"returns-app-0", "returns-app-1"} {
			c.fault(s, `{"lose-answers":1}`)
		}
		for i := range 4 {
			a := c.book(fmt.Sprintf("entry-%d", i%3), "clinic", "lost-1")
			require.NotEqual(t, 200, a.status)
			require.NotEqual(t, "no", a.header.Get("X-Ran"), "it did run")
		}
		require.Equal(t, 1, c.runs("lost-1"))
		for _, s := range []string{"returns-app-0", "returns-app-1"} {
			c.fault(s, `{"lose-answers":0}`)
		}
	})

	t.Run("a leaving server gets no new work", func(t *testing.T) {
		mark := c.send("POST", "http://"+c.addresses["instances"]+lab.PathLeaving+"?name=returns-app-1", "", nil)
		require.Equal(t, 200, mark.status)
		c.eventually("all instances know", func() bool {
			for i := range 3 {
				a := c.send("GET", c.url(fmt.Sprintf("entry-%d-operators", i), "/v1/status"), "", nil)
				if !leavingKnown(a.body, "returns-app-1") {
					return false
				}
			}
			return true
		})
		before := c.runCount("returns-app-1")
		for i := range 30 {
			a := c.send("GET", c.url(fmt.Sprintf("entry-%d", i%3), fmt.Sprintf("/v1/services/returns-app/slots/%d", i)), "", nil)
			require.Equal(t, 200, a.status)
		}
		require.Equal(t, before, c.runCount("returns-app-1"))
	})

	t.Run("a request that crashes servers is quarantined", func(t *testing.T) {
		body := []byte(`{"model":"route-llm","max_tokens":4,"messages":[{"role":"user","content":"poison-the-engine"}]}`)
		kinds := map[string]int{}
		for i := range 6 {
			a := c.send("POST", c.url(fmt.Sprintf("entry-%d", i%3), "/v1/chat/completions"), c.keys["clinic"], body)
			kinds[a.kind()]++
			time.Sleep(time.Second)
		}
		require.Positive(t, kinds["quarantined"], "%v", kinds)
		require.Equal(t, 200, c.chat("entry-1", "clinic").status, "a third engine is left for the innocent")
	})

	require.Empty(t, c.violations())
}

func leavingKnown(status []byte, name string) bool {
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

func (c *cluster) runCount(server string) int {
	var s struct {
		Runs map[string]int `json:"runs"`
	}
	c.seen(server, &s)
	return len(s.Runs)
}

// TestStoreFaults brings about the failures of the key-value service.
func TestStoreFaults(t *testing.T) {
	c := start(t)
	settings := c.settings("entry-0")

	t.Run("lost answers: an edit is made once and claims run once", func(t *testing.T) {
		c.fault("store", `{"lose-answers":6}`)
		out := c.must("profile", "edit", "--settings", settings, "--set", "queue-wait=3s", "returns-app-profile")
		require.Contains(t, out, "edit 2 accepted")
		c.fault("store", `{"lose-answers":6}`)
		a := c.book("entry-0", "clinic", "lossy")
		require.Contains(t, []int{200, 503}, a.status, string(a.body))
		c.fault("store", `{"lose-answers":0}`)
		for i := range 3 {
			c.book(fmt.Sprintf("entry-%d", i), "clinic", "lossy")
		}
		require.LessOrEqual(t, c.runs("lossy"), 1)
	})

	t.Run("racing operators: one wins, the other gets a conflict", func(t *testing.T) {
		out, err := c.command("profile", "edit", "--settings", settings, "--against", "1", "--set", "queue-length=9", "returns-app-profile")
		require.Error(t, err)
		require.Contains(t, out, "conflict: the edit was made against edit 1, but edit 2 stands")
		require.Contains(t, out, `wanted:    "queue-length": 9`)
		results := make(chan string, 4)
		for i := range 4 {
			go func() {
				out, _ := c.command("profile", "edit", "--settings", settings, "--against", "2", "--set", fmt.Sprintf("queue-length=%d", 50+i), "returns-app-profile")
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
		require.Contains(t, c.must("profile", "history", "--settings", settings, "returns-app-profile"), `"edit":3`)
	})

	t.Run("a profile may end running work of a withdrawn key", func(t *testing.T) {
		c.must("profile", "edit", "--settings", settings, "--set", "on-withdrawal=end", "route-llm-profile")
		key := strings.Fields(c.must("key", "grant", "--settings", settings, "--customer", "caterer"))[0]
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
			withdraw.Do(func() { c.must("key", "withdraw", "--settings", settings, "--customer", "caterer", key) })
			return nil
		})
		require.ErrorIs(t, err, client.ErrTruncated)
		require.Contains(t, last, `"kind":"withdrawn-while-running"`)
		require.Contains(t, last, `"ran":"unknown"`)
	})

	t.Run("an outage: serving goes on, what needs the store says not run, a withdrawal holds", func(t *testing.T) {
		c.fault("store", `{"frozen":true}`)
		require.Equal(t, 200, c.chat("entry-0", "caterer").status)
		a := c.book("entry-0", "clinic", "outage")
		require.Equal(t, "store-unavailable", a.kind(), string(a.body))
		require.Equal(t, "no", a.header.Get("X-Ran"))
		require.Zero(t, c.runs("outage"))
		out, err := c.command("key", "withdraw", "--settings", settings, "--customer", "clinic", c.keys["clinic"])
		require.Error(t, err)
		require.Contains(t, out, "denied by all instances in touch")
		for i := range 3 {
			entry := fmt.Sprintf("entry-%d", i)
			c.eventually(entry+" refuses", func() bool { return c.chat(entry, "clinic").kind() == "key-withdrawn" })
		}
		require.Equal(t, 200, c.chat("entry-2", "caterer").status)
		c.fault("store", `{"frozen":false}`)
		c.eventually("the store takes the withdrawal", func() bool {
			_, err := c.command("key", "withdraw", "--settings", settings, "--customer", "clinic", c.keys["clinic"])
			return err == nil
		})
	})

	t.Run("the store is gone: one clear sentence and an exit code", func(t *testing.T) {
		c.kill("store")
		out, err := c.command("profile", "get", "--settings", settings, "returns-app-profile")
		require.Error(t, err)
		require.Len(t, strings.Split(strings.TrimSpace(out), "\n"), 1, out)
	})

	require.Empty(t, c.violations())
}

// TestProcessFaults brings about the failures of entry instances.
func TestProcessFaults(t *testing.T) {
	c := start(t)

	t.Run("a paused holder gives no order beside its successor", func(t *testing.T) {
		c.fault("orders", `{"ignore-epochs":true}`)
		c.fault("usage", `{"ignore-epochs":true}`)
		for range 2 {
			var holder string
			c.eventually("orders has a holder", func() bool {
				holder = c.holder("orders")
				return holder != ""
			})
			c.signal(holder, syscall.SIGSTOP)
			c.eventually("another takes over", func() bool {
				other := c.holderExcept("orders", holder)
				return other != "" && other != holder
			})
			c.signal(holder, syscall.SIGCONT)
			time.Sleep(2 * time.Second)
		}
		for _, name := range []string{"orders", "usage"} {
			var s struct {
				Violations []string `json:"violations"`
			}
			c.seen(name, &s)
			require.Empty(t, s.Violations, name)
		}
	})

	t.Run("an instance that is cut off refuses keyed requests, and recovers", func(t *testing.T) {
		frozen := []string{"store", "entry-0", "entry-1"}
		for _, name := range frozen {
			c.signal(name, syscall.SIGSTOP)
		}
		c.eventually("entry-2 refuses", func() bool { return c.chat("entry-2", "clinic").kind() == "cut-off" })
		open := c.send("GET", c.url("entry-2", "/v1/services/returns-app/slots/today"), "", nil)
		require.Equal(t, 200, open.status, "a route open to all needs no key")
		for _, name := range frozen {
			c.signal(name, syscall.SIGCONT)
		}
		c.eventually("entry-2 serves again", func() bool { return c.chat("entry-2", "clinic").status == 200 })
	})

	t.Run("a key withdrawn while an instance was frozen does not work there", func(t *testing.T) {
		granted := c.must("key", "grant", "--settings", c.settings("entry-0"), "--customer", "caterer")
		c.keys["extra"] = strings.Fields(granted)[0]
		c.eventually("entry-1 takes the key", func() bool { return c.chat("entry-1", "extra").status == 200 })
		c.signal("entry-1", syscall.SIGSTOP)
		c.must("key", "withdraw", "--settings", c.settings("entry-0"), "--customer", "caterer", c.keys["extra"])
		time.Sleep(6 * time.Second)
		c.signal("entry-1", syscall.SIGCONT)
		c.eventually("entry-1 refuses", func() bool { return c.chat("entry-1", "extra").kind() == "key-withdrawn" })
	})

	t.Run("a graceful stop cuts off no stream", func(t *testing.T) {
		caller, err := client.New([]string{c.addresses["entry-2"]}, c.keys["clinic"], "")
		require.NoError(t, err)
		call := client.NewCall("POST", "/v1/chat/completions",
			[]byte(`{"model":"route-llm","stream":true,"max_tokens":400,"messages":[{"role":"user","content":"a long round"}]}`))
		var group sync.WaitGroup
		ends := make(chan error, 20)
		began := make(chan struct{}, 20)
		for range 20 {
			group.Go(func() {
				first := true
				ends <- caller.Stream(t.Context(), call, func([]byte) error {
					if first {
						began <- struct{}{}
						first = false
					}
					return nil
				})
			})
		}
		for range 20 {
			<-began
		}
		c.signal("entry-2", syscall.SIGTERM)
		group.Wait()
		for range 20 {
			require.NoError(t, <-ends)
		}
		require.NoError(t, c.running["entry-2"].Wait())
		delete(c.running, "entry-2")
		require.Equal(t, 200, c.chat("entry-0", "clinic").status)
	})

	t.Run("a trainer's step survives the death of its entry instance", func(t *testing.T) {
		c.startProcess("entry-2")
		c.eventually("entry-2 is back", func() bool { return c.chat("entry-2", "clinic").status == 200 })
		trainer, err := lab.NewTrainer(lab.TrainerOptions{
			Entries: []string{c.addresses["entry-0"], c.addresses["entry-1"], c.addresses["entry-2"]},
			Key:     c.keys["caterer"], Service: "route-llm", Weights: c.addresses["weight-store"],
			Steps: 3, Groups: 6, Samples: 4, MaxTokens: 300, FirstStep: 50,
		})
		require.NoError(t, err)
		done := make(chan lab.TrainerResult, 1)
		failed := make(chan error, 1)
		go func() {
			ctx, cancel := context.WithTimeout(t.Context(), waitLimit)
			defer cancel()
			result, err := trainer.Run(ctx)
			done <- result
			failed <- err
		}()
		var driver string
		c.eventually("a step is open", func() bool {
			driver = c.driver()
			return driver != ""
		})
		c.kill(driver)
		time.Sleep(500 * time.Millisecond)
		c.startProcess(driver)
		result := <-done
		require.NoError(t, <-failed)
		require.Equal(t, 3, result.Steps)
		require.Zero(t, result.DeliveredTwice)
		require.Zero(t, result.TooOld)
	})

	t.Run("wrong settings end in one sentence", func(t *testing.T) {
		data, err := os.ReadFile(c.settings("entry-0"))
		require.NoError(t, err)
		broken := strings.Replace(string(data), `"failure-domain": "a",`, `"failure-domian": "a",`, 1)
		path := filepath.Join(c.folder, "broken.json")
		require.NoError(t, os.WriteFile(path, []byte(broken), 0o600))
		out, err := c.command("run", "--settings", path)
		require.Error(t, err)
		require.Contains(t, out, "failure-domian: unknown field")
		require.Contains(t, out, "failure-domain: is missing")
		out, err = c.command("run", "--settings", c.settings("entry-0"))
		require.Error(t, err)
		require.Contains(t, out, "callers.address is not free")
		require.Len(t, strings.Split(strings.TrimSpace(out), "\n"), 1, out)
	})

	require.Empty(t, c.violations())
}

// driver returns an instance that has a step open.
func (c *cluster) driver() string {
	for name := range c.running {
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

// holder returns the instance that says it holds a duty.
func (c *cluster) holder(duty string) string { return c.holderExcept(duty, "") }

func (c *cluster) holderExcept(duty, frozen string) string {
	for name := range c.running {
		if !strings.HasPrefix(name, "entry-") || name == frozen {
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

// TestDomainReclaimed takes a whole failure domain away under load, with a
// second of notice, and stops an entry instance at the same time.
func TestDomainReclaimed(t *testing.T) {
	c := start(t)
	w, err := lab.ReadWorkload("../../workloads/demo.json")
	require.NoError(t, err)
	entries := []string{c.addresses["entry-0"], c.addresses["entry-1"], c.addresses["entry-2"]}
	load, err := lab.NewLoad(lab.LoadOptions{Workload: w, Entries: entries, Keys: c.keys, Duration: 12 * time.Second, Scale: 1.5, Seed: 3})
	require.NoError(t, err)
	done := make(chan lab.LoadResult, 1)
	go func() { done <- load.Run(t.Context()) }()
	time.Sleep(3 * time.Second)
	gone := []string{"route-llm-2", "returns-app-1"}
	for _, name := range gone {
		a := c.send("POST", "http://"+c.addresses["instances"]+lab.PathLeaving+"?name="+name, "", nil)
		require.Equal(t, 200, a.status)
	}
	require.Contains(t, c.must("drain", "--settings", c.settings("entry-2")), "shutting down")
	time.Sleep(4 * time.Second)
	for _, name := range gone {
		c.kill(name)
	}
	result := <-done
	require.Zero(t, result.RanTwice)
	for _, customer := range result.Customers {
		require.Zero(t, customer.Outcomes["truncated"], "%v", customer.Outcomes)
		require.Zero(t, customer.Outcomes["backend-failed"], "%v", customer.Outcomes)
	}
	require.GreaterOrEqual(t, result.Completed, result.Sent*95/100, "%+v", result)
	require.NoError(t, c.running["entry-2"].Wait())
	delete(c.running, "entry-2")
	require.Empty(t, c.violations())
}
