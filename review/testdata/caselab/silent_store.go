package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"syscall"
	"time"
)

const (
	// configApplyTime is ConfigApplyMs.
	configApplyTime = 2 * time.Second
	freezeTime      = 2 * time.Second
	silenceTime     = 3 * time.Second
	watchedTime     = 12 * time.Second
	newKey          = "x7tq0c4m2vbn8ls5wj3k"
)

// silentStore freezes an entry instance for a moment, in which the configuration changes, and
// makes the platform's store silent as it wakes. Once both are sound again, the operator takes
// a key away and adds another.
func silentStore(d *deployment) []string {
	check := route("r-check", "/check/", "safe", "portal", 4, 1500, 150)
	configWith := func(version int, keys ...string) map[string]any {
		c := config(version, check)
		c["Tenants"] = []map[string]any{{"Name": tenant, "ApiKeys": keys}}
		return c
	}
	d.store.Put("op/config", configWith(7, bookingKey, otherKey))
	ran := &runs{}
	d.startWorkers(3, "portal", 6, 25*time.Millisecond, ran)
	d.startSchedulers(3)
	d.startEntries(3)
	c := newClient(3 * time.Second)
	d.waitReady(func(p *process) bool {
		return c.send(http.MethodPost, d.front(p), "/check/warm", bookingKey, fmt.Sprintf("warm-%x", rand.Uint64()), []byte("{}")).status == http.StatusOK
	})
	time.Sleep(contactTime)

	frozen := d.entries[0]
	if d.trouble {
		d.record.add("%s freezes", frozen.name)
		_ = frozen.cmd.Process.Signal(syscall.SIGSTOP)
	}
	time.Sleep(freezeTime / 4)
	d.store.Put("op/config", configWith(9, bookingKey, otherKey))
	d.record.add("configuration 9 acknowledged: nothing but its version is new")
	time.Sleep(freezeTime / 2)
	if d.trouble {
		d.record.add("the store falls silent")
		d.store.SetUnresponsive(0, true)
	}
	time.Sleep(freezeTime / 4)
	if d.trouble {
		_ = frozen.cmd.Process.Signal(syscall.SIGCONT)
		d.record.add("%s wakes", frozen.name)
	}
	time.Sleep(silenceTime - freezeTime/4)
	d.store.SetUnresponsive(0, false)
	d.record.add("the store is back")
	time.Sleep(2 * contactTime)

	d.store.Put("op/config", configWith(12, newKey, otherKey))
	acknowledged := time.Now()
	d.record.add("configuration 12 acknowledged: key %s taken away, key %s added", bookingKey, newKey)
	var broken []string
	count, lastAt := map[string]int{}, map[string]time.Duration{}
	for n := 0; time.Since(acknowledged) < watchedTime; n++ {
		for _, p := range d.entries {
			for _, key := range []string{bookingKey, newKey} {
				id := fmt.Sprintf("k%05d-%s-%s", n, p.name, key[:4])
				sentAt := time.Since(acknowledged)
				a := c.send(http.MethodPost, d.front(p), "/check/"+id, key, id, []byte("{}"), "X-Deadline-Ms", "1500")
				d.record.add("attempt %s with key %s: %d", id, key, a.status)
				what := ""
				switch {
				case sentAt <= configApplyTime:
				case key == bookingKey && len(ran.byID()[id]) > 0:
					what = "a request with a key that was taken away ran"
				case key == newKey && a.status == http.StatusUnauthorized:
					what = "a request with a key that was added got 401"
				}
				if what == "" {
					continue
				}
				count[what]++
				if count[what] == 1 {
					broken = append(broken, fmt.Sprintf("CONFIG: %v after the acknowledgement of configuration 12, %s at %s", sentAt.Round(time.Millisecond), what, p.name))
				}
				lastAt[what] = sentAt
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
	for what, n := range count {
		fmt.Printf("%s: %d times, last %v after the acknowledgement\n", what, n, lastAt[what].Round(time.Millisecond))
	}
	return broken
}
