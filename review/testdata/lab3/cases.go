package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// cases returns, by name, what plays a case and reports whether the rule was broken.
var cases = map[string]func(*lab) bool{
	"large-jobs":  largeJobs,
	"item-bodies": itemBodies,
}

const (
	// largeBody is the length of an item's body in the cases with large bodies. A job of 30 of
	// them has a body of 24 MB; MaxBodyBytes is 32 MiB.
	largeBody = 600_000
	// usualBody is the length of a body at the site boyau-sched.
	usualBody   = 600
	itemsPerJob = 30
	// dueAfter is the time within which all results of a job are due.
	dueAfter = 40 * time.Second
)

// bodyOf returns the body of an item.
func bodyOf(seed, size int) []byte {
	return bytes.Repeat([]byte(fmt.Sprintf("%08d", seed)), size/8)
}

// outputEvents returns the events of an output.
func outputEvents(id string, n int) []string {
	var events []string
	for i := 1; i <= n; i++ {
		events = append(events, fmt.Sprintf("id: %d\ndata: %s-%d\n\n", i, id, i))
	}
	return events
}

// tokensPerEvent is that of the site's engines.
const tokensPerEvent = 57

// lengths are the numbers of events of the outputs of items, in turn. The site's mean is 27.
var lengths = []int{50, 27, 10}

// runItem answers an item with as many events as its client estimates.
func runItem(pause time.Duration) func(*server, http.ResponseWriter, *http.Request, []byte) {
	return func(_ *server, w http.ResponseWriter, r *http.Request, _ []byte) {
		tokens, _ := strconv.Atoi(r.Header.Get("X-Length-Hint"))
		stream(w, r, outputEvents(r.Header.Get("X-Attempt-Id"), tokens/tokensPerEvent), pause)
	}
}

func jobItems(job string, size int) []item {
	var items []item
	for i := range itemsPerJob {
		id := fmt.Sprintf("%s-i%02d", job, i)
		it := newItem(id, "/jobs/1/"+id, fmt.Sprintf("%s-g%d", job, i/4), bodyOf(i, size))
		it.Headers["X-Length-Hint"] = strconv.Itoa(lengths[i%len(lengths)] * tokensPerEvent)
		items = append(items, it)
	}
	return items
}

// deploy starts entries, schedulers and engines, and waits until they work together.
func (l *lab) deploy(entries, schedulers, engines int, answer func(*server, http.ResponseWriter, *http.Request, []byte)) (fronts, holders []*node, workers []*server) {
	l.configure([]route{routeOf("jobs", "/jobs/", "rollout", "sim-lm", route{"DueMs": dueAfter.Milliseconds(), "RetainS": 100}), routeOf("check", "/check/", "safe", "slot-portal", nil)}, []string{"sim-lm"}, []string{"slot-portal"})
	for i := range engines {
		workers = append(workers, l.addServer(fmt.Sprintf("w-%d", i), "sim-lm", zones[i%len(zones)], true, answer))
	}
	for range schedulers {
		holders = append(holders, l.addNode("scheduler", l.storeAt))
	}
	for range entries {
		fronts = append(fronts, l.addNode("entry", l.storeAt))
	}
	l.awaitReady(fronts...)
	l.await("a scheduler holds the duty", 20*time.Second, func() bool { _, held := l.store.Value("cluster/duty/scheduler"); return held })
	return fronts, holders, workers
}

// submitAll submits jobs, several at a time, until each is accepted. It returns those that were.
func (l *lab) submitAll(fronts []*node, jobs []string, size, atOnce int) []string {
	var mu sync.Mutex
	var accepted []string
	var group sync.WaitGroup
	places := make(chan struct{}, atOnce)
	for i, job := range jobs {
		group.Add(1)
		go func() {
			defer group.Done()
			places <- struct{}{}
			defer func() { <-places }()
			items := jobItems(job, size)
			for try := range 20 {
				a := l.submit(i, fronts[(i+try)%len(fronts)], "/jobs/", job, i, items)
				l.note("client: job %s, try %d: %s", job, try+1, a)
				if a.err == nil && a.status == http.StatusAccepted {
					mu.Lock()
					accepted = append(accepted, job)
					mu.Unlock()
					return
				}
				time.Sleep(500 * time.Millisecond)
			}
		}()
	}
	group.Wait()
	return accepted
}

// largeJobs submits three jobs of each tenant, all within the limits of the configuration, and
// checks that no step runs out of time while its items are at no server and the servers are idle.
func largeJobs(l *lab) bool {
	const jobs = 3 * tenants
	size := usualBody
	if l.trouble {
		size = largeBody
	}
	fronts, holders, workers := l.deploy(3, 3, 9, runItem(100*time.Millisecond))
	var names []string
	for i := range jobs {
		names = append(names, fmt.Sprintf("job-%02d", i))
	}
	accepted := l.submitAll(fronts, names, size, 3)
	submittedAt := time.Now()
	l.note("clients: %d of %d jobs are accepted", len(accepted), jobs)
	if len(accepted) < jobs/2 {
		giveUp("too few jobs were accepted")
	}
	idleSince := time.Now()
	for time.Since(submittedAt) < dueAfter {
		time.Sleep(20 * time.Millisecond)
		if l.busy.Load() > 0 {
			idleSince = time.Now()
		}
	}
	idle := time.Since(idleSince)
	stuck := 0
	for i, job := range names {
		if !slices.Contains(accepted, job) {
			continue
		}
		list, err := l.results(i, fronts[i%len(fronts)], job)
		begun, waiting := 0, 0
		for _, it := range jobItems(job, usualBody) {
			if len(ranOf(it.ID, workers...)) > 0 {
				begun++
			} else {
				waiting++
			}
		}
		l.note("client: job %s: %d results of %d (%v), %d items have begun, %d were at no server", job, len(list), itemsPerJob, err, begun, waiting)
		if begun > 0 && waiting > 0 && idle > 5*time.Second {
			stuck++
		}
	}
	for _, n := range append(fronts, holders...) {
		starts, over, peak := n.counts()
		l.note("%s: started %d times, killed %d times for its memory, at most %d MiB of %d", n.name, starts, over, peak>>20, n.memoryMB)
	}
	l.note("servers: idle for the last %.1f s; %d steps ran out of time, in part begun, with items that were at no server", idle.Seconds(), stuck)
	return stuck > 0
}

// itemBodies lets three clients of each tenant read bodies of items of its open job at one entry, while others
// send safe requests to it on connections that they keep. It counts the requests that a server
// runs and whose connection ends without an answer.
func itemBodies(l *lab) bool {
	const jobs, readers, rounds, callers = tenants, 3, 3, 12
	size := usualBody
	if l.trouble {
		size = largeBody
	}
	hang := func(_ *server, _ http.ResponseWriter, r *http.Request, _ []byte) { <-r.Context().Done() }
	plain := func(_ *server, w http.ResponseWriter, r *http.Request, _ []byte) {
		time.Sleep(100 * time.Millisecond)
		w.Header().Set("X-Server-Seal", seal(r.Header.Get("X-Attempt-Id")))
		_, _ = io.WriteString(w, "ok")
	}
	fronts, holders, _ := l.deploy(3, 3, 2, hang)
	var portals []*server
	for i := range 3 {
		portals = append(portals, l.addServer(fmt.Sprintf("p-%d", i), "slot-portal", zones[i], false, plain))
	}
	var names []string
	for i := range jobs {
		names = append(names, fmt.Sprintf("job-%02d", i))
	}
	accepted := l.submitAll(fronts[1:], names, size, 1)
	if len(accepted) < jobs {
		giveUp("%d jobs were accepted", len(accepted))
	}
	l.await("the entry serves", 10*time.Second, func() bool {
		return l.call(fronts[0], http.MethodPost, "/check/1", fmt.Sprintf("warm-%d", time.Now().UnixNano()), nil, nil).status == http.StatusOK
	})
	time.Sleep(3 * time.Second)
	stop := make(chan struct{})
	var lost atomic.Int64
	var group, load sync.WaitGroup
	for i := range callers {
		load.Add(1)
		go func() {
			defer load.Done()
			lost.Add(int64(l.keepCalling(fronts[0], i, stop, portals)))
		}()
	}
	for round := range rounds {
		for i, job := range names {
			for reader := range readers {
				group.Add(1)
				go func() {
					defer group.Done()
					id := fmt.Sprintf("%s-i%02d", job, (7*reader+round+i)%itemsPerJob)
					a := l.callAs(i, fronts[0], http.MethodGet, "/api/items/"+job+"?Id="+id, fmt.Sprintf("b-%d-%d-%s", round, reader, job), nil, nil)
					l.note("client: body of %s: %s, %d bytes", id, a, len(a.body))
				}()
			}
		}
		group.Wait()
		time.Sleep(1500 * time.Millisecond)
	}
	close(stop)
	load.Wait()
	for _, n := range append(fronts, holders...) {
		starts, over, peak := n.counts()
		l.note("%s: started %d times, killed %d times for its memory, at most %d MiB of %d", n.name, starts, over, peak>>20, n.memoryMB)
	}
	l.note("clients: %d requests on kept connections were run and got no answer", lost.Load())
	return lost.Load() > 3
}

// keepCalling sends safe requests on a kept connection until stop is closed. It returns how many
// were run by a server and got no answer, since their connection ended.
func (l *lab) keepCalling(n *node, i int, stop chan struct{}, servers []*server) (lost int) {
	client := &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1}, Timeout: 10 * time.Second}
	for k := 0; ; k++ {
		select {
		case <-stop:
			return lost
		default:
		}
		id := fmt.Sprintf("kept-%d-%d", i, k)
		request, _ := http.NewRequest(http.MethodPost, "http://"+n.front()+"/check/1", strings.NewReader("slot 4"))
		request.Host = host
		request.Header.Set("Authorization", "Bearer "+apiKey(i))
		request.Header.Set("X-Attempt-Id", id)
		request.Header.Set("X-Deadline-Ms", "3000")
		kept := false
		trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { kept = info.Reused }}
		response, err := client.Do(request.WithContext(httptrace.WithClientTrace(request.Context(), trace)))
		if err == nil {
			_, err = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
		}
		if err != nil {
			runs := len(ranOf(id, servers...))
			l.note("client: %s, connection kept %v, run %d times: %v", id, kept, runs, err)
			if kept && runs > 0 {
				lost++
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
}
