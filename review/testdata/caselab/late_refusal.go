package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sort"
	"sync"
	"time"
)

const (
	crashTime   = 3 * time.Second
	bookingKey  = "2b9wu3fexd9dnn2ctnfz"
	tenant      = "huka270"
	otherTenant = "puhu251"
	otherKey    = "s989anu6wsjnbanfqasn"
)

// config returns the operator's configuration.
func config(version int, routes ...map[string]any) map[string]any {
	services := map[string]bool{}
	list := []map[string]any{}
	for _, r := range routes {
		if name := r["Service"].(string); !services[name] {
			services[name] = true
			list = append(list, map[string]any{"Name": name, "HealthPath": "/health", "MaxConns": 100, "Protocol": "h1", "Tls": false})
		}
	}
	return map[string]any{
		"Version": version, "Routes": routes, "Services": list,
		"Limits":  map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 33554432, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
		"Tenants": []map[string]any{{"Name": tenant, "ApiKeys": []string{bookingKey}}, {"Name": otherTenant, "ApiKeys": []string{otherKey}}},
	}
}

func route(name, prefix, kind, service string, attempts, timeoutMS, goalMS int) map[string]any {
	return map[string]any{
		"Name": name, "Host": host, "Prefix": prefix, "Kind": kind, "TimeoutMs": timeoutMS, "GoalMs": goalMS, "Priority": 2,
		"Service": service, "MaxAttempts": attempts, "Public": false,
	}
}

// startWorkers starts n workers of a service, a few in each zone.
func (d *deployment) startWorkers(n int, service string, slots int, work time.Duration, ran *runs) []*worker {
	var out []*worker
	for i := range n {
		w := &worker{d: d, id: fmt.Sprintf("i-%s-%d", service, i), service: service, zone: zones[i%len(zones)], slots: slots, work: work, runs: ran}
		out = append(out, w)
		w.start()
	}
	return out
}

// Doses of the disruption: the largest that the pages' small sites have for second answers
// ("garble", "extra late"): 0.6 of the workers, 0.03 of their answers, for 5 s.
const (
	garbledWorkers = 3 // of 5
	garbledShare   = 0.03
	garbledTime    = 5 * time.Second
	bookers        = 24
)

// lateRefusal sends bookings, which may run once at most, to workers that are full at
// times. Some workers send a second copy of some answers, late.
func lateRefusal(d *deployment) []string {
	d.store.Put("op/config", config(7, route("r-hold", "/hold/", "unsafe", "booth", 4, 1500, 150)))
	ran := &runs{}
	workers := d.startWorkers(5, "booth", 2, 25*time.Millisecond, ran)
	d.startSchedulers(3)
	d.startEntries(3)
	c := newClient(3 * time.Second)
	d.waitReady(func(p *process) bool {
		return c.send(http.MethodPost, d.front(p), "/hold/warm", bookingKey, fmt.Sprintf("warm-%x", rand.Uint64()), []byte("{}")).status == http.StatusOK
	})
	time.Sleep(contactTime)

	var mu sync.Mutex
	seconds := 0
	until := time.Now().Add(garbledTime)
	random := rand.New(rand.NewPCG(7, 7))
	if d.trouble {
		for _, w := range workers[:garbledWorkers] {
			w.second = func() bool {
				mu.Lock()
				defer mu.Unlock()
				if time.Now().After(until) || random.Float64() >= garbledShare {
					return false
				}
				seconds++
				return true
			}
		}
	}
	answers := map[string]int{}
	var group sync.WaitGroup
	for b := range bookers {
		group.Go(func() {
			for n := 0; time.Now().Before(until); n++ {
				id := fmt.Sprintf("b%02d-%05d", b, n)
				p := d.entries[rand.N(len(d.entries))]
				a := c.send(http.MethodPost, d.front(p), "/hold/"+id, bookingKey, id, []byte(`{"slot":1}`), "X-Deadline-Ms", "1500")
				d.record.add("attempt %s at %s: %d", id, p.name, a.status)
				mu.Lock()
				answers[id] = a.status
				mu.Unlock()
				// A client honours Retry-After up to a third of its time.
				time.Sleep(min(a.retryAfter, 500*time.Millisecond))
			}
		})
	}
	group.Wait()
	time.Sleep(time.Second)

	var broken []string
	byID := ran.byID()
	counts := map[int]int{}
	for id, status := range answers {
		counts[status]++
		list := byID[id]
		for _, x := range list {
			d.record.add("run %s at %s", id, x.worker)
		}
		if len(list) > 1 {
			broken = append(broken, fmt.Sprintf("TWICE: attempt %s ran %d times (%s, %s), answered %d", id, len(list), list[0].worker, list[1].worker, status))
		}
		if (status == 503 || status == 429) && len(list) > 0 {
			broken = append(broken, fmt.Sprintf("REFUSED: attempt %s was answered %d and ran at %s", id, status, list[0].worker))
		}
	}
	sort.Strings(broken)
	d.record.add("attempts by status: %v; second answers: %d", counts, seconds)
	fmt.Printf("attempts by status: %v; second answers: %d\n", counts, seconds)
	return broken
}
