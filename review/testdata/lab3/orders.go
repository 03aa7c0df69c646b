package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() {
	cases["relayed-twice"] = relayedTwice
	cases["late-configuration"] = lateConfiguration
	cases["line-feeds"] = lineFeeds
	cases["software"] = softwareVersions
}

// relayedTwice sends unsafe requests to an entry that is cut off from all servers, so that it
// passes them to its peers. The servers answer that the slot is taken.
func relayedTwice(l *lab) bool {
	conflict := func(_ *server, w http.ResponseWriter, _ *http.Request, _ []byte) {
		w.WriteHeader(http.StatusConflict) // only a 2xx needs the seal
		_, _ = io.WriteString(w, "the slot is taken")
	}
	l.configure([]route{routeOf("book", "/book/", "unsafe", "slot-portal", route{"TimeoutMs": 3000})}, nil, []string{"slot-portal"})
	var workers []*server
	for i := range 3 {
		workers = append(workers, l.addServer(fmt.Sprintf("w-%d", i), "slot-portal", zones[i], false, conflict))
	}
	l.addNode("scheduler", l.storeAt)
	l.addNode("scheduler", l.storeAt)
	var fronts []*node
	var all []*paths
	for i := range 3 {
		p := newPaths(fmt.Sprintf("%s.%d", l.network, 101+i), l.storeAt)
		all = append(all, p)
		fronts = append(fronts, l.addNode("entry", p.storeAt))
	}
	l.awaitReady(fronts...)
	for i, n := range fronts {
		l.await(n.name+" serves", 15*time.Second, func() bool {
			return l.call(n, http.MethodPost, "/book/1", fmt.Sprintf("warm-%d-%d", i, time.Now().UnixNano()), nil, nil).status == http.StatusConflict
		})
	}
	time.Sleep(3 * time.Second)
	if l.trouble {
		all[0].cut()
		l.note("%s is partitioned from all servers", fronts[0].name)
	}
	broken := false
	for i := range 10 {
		id := fmt.Sprintf("booking-%d", i)
		a := l.call(fronts[0], http.MethodPost, "/book/7", id, []byte("van 3, booth 7"), map[string]string{"X-Deadline-Ms": "3000"})
		runs := len(ranOf(id, workers...))
		l.note("client: %s: %s, run %d times", id, a, runs)
		refused := a.status == http.StatusServiceUnavailable || a.status == http.StatusTooManyRequests
		broken = broken || runs > 1 || runs > 0 && refused
		time.Sleep(200 * time.Millisecond)
	}
	return broken
}

// lateConfiguration adds one route after the other and submits a job to each as soon as an entry
// serves it, while the store ends watches that have waited for about a second. The first run of
// each item fails.
func lateConfiguration(l *lab) bool {
	const items, attempts = 4, 3 // MaxAttempts
	var mu sync.Mutex
	answered500 := map[string]int{}
	engine := func(_ *server, w http.ResponseWriter, r *http.Request, _ []byte) {
		id := r.Header.Get("X-Attempt-Id")
		mu.Lock()
		first := answered500[id] == 0
		if first {
			answered500[id]++
		}
		mu.Unlock()
		if first {
			w.Header().Set("X-Server-Seal", seal(id))
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		stream(w, r, outputEvents(id, 5), 2*time.Millisecond)
	}
	plain := func(_ *server, w http.ResponseWriter, r *http.Request, _ []byte) {
		w.Header().Set("X-Server-Seal", seal(r.Header.Get("X-Attempt-Id")))
		_, _ = io.WriteString(w, "ok")
	}
	routes := []route{routeOf("jobs", "/jobs/", "rollout", "sim-lm", nil), routeOf("check", "/check/", "safe", "slot-portal", nil)}
	l.configure(routes, []string{"sim-lm"}, []string{"slot-portal"})
	for i := range 3 {
		l.addServer(fmt.Sprintf("w-%d", i), "sim-lm", zones[i], true, engine)
		l.addServer(fmt.Sprintf("p-%d", i), "slot-portal", zones[i], false, plain)
	}
	store := newProxy("127.0.0.1", l.storeAt)
	l.addNode("scheduler", store.address)
	l.addNode("scheduler", store.address)
	fronts := []*node{l.addNode("entry", store.address), l.addNode("entry", store.address), l.addNode("entry", store.address)}
	l.awaitReady(fronts...)
	for i, n := range fronts {
		l.await(n.name+" serves", 15*time.Second, func() bool {
			return l.call(n, http.MethodPost, "/check/1", fmt.Sprintf("warm-%d-%d", i, time.Now().UnixNano()), nil, nil).status == http.StatusOK
		})
	}
	time.Sleep(2 * time.Second)
	if l.trouble {
		go store.limitWatches()
	}
	accepted, early := 0, 0
	for round := 0; time.Since(l.startedAt) < 95*time.Second; round++ {
		time.Sleep(time.Duration(700+rand.IntN(400)) * time.Millisecond)
		prefix, job := fmt.Sprintf("/added-%d/", round), fmt.Sprintf("step-%d", round)
		current := append(slices.Clone(routes),
			routeOf(fmt.Sprintf("jobs-%d", round), prefix, "rollout", "sim-lm", route{"DueMs": 7500, "RetainS": 40}),
			routeOf(fmt.Sprintf("check-%d", round), "/serves"+prefix, "safe", "slot-portal", nil))
		l.configure(current, []string{"sim-lm"}, []string{"slot-portal"})
		at := l.firstServing(fronts, "/serves"+prefix)
		var list []item
		for i := range items {
			id := fmt.Sprintf("%s-i%d", job, i)
			list = append(list, newItem(id, prefix+id, fmt.Sprintf("%s-g", job), bodyOf(i, usualBody)))
		}
		a := l.submit(0, at, prefix, job, round, list)
		l.note("client: job %s at %s: %s", job, at.name, a)
		if a.status != http.StatusAccepted {
			continue
		}
		accepted++
		var found []result
		for until := time.Now().Add(4 * time.Second); len(found) < items && time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
			found, _ = l.results(0, at, job)
		}
		for _, r := range found {
			mu.Lock()
			failures := answered500[r.ID]
			mu.Unlock()
			l.note("client: result of %s: %s after %d answers of 500", r.ID, r.State, failures)
			if r.State == "dead_letter" && failures < attempts {
				early++
			}
		}
	}
	l.note("store: %d waiting watches were cut", store.cuts())
	l.note("clients: %d jobs were accepted; %d items are dead_letter before %d answers of 500", accepted, early, attempts)
	return early > 0
}

// firstServing returns the first entry that serves a path.
func (l *lab) firstServing(fronts []*node, path string) *node {
	found := make(chan *node, len(fronts))
	until := time.Now().Add(5 * time.Second)
	for _, n := range fronts {
		go func() {
			for time.Now().Before(until) && len(found) == 0 {
				if l.call(n, http.MethodPost, path+"1", fmt.Sprintf("check-%s-%d", n.name, time.Now().UnixNano()), nil, nil).status == http.StatusOK {
					found <- n
					return
				}
				time.Sleep(5 * time.Millisecond)
			}
		}()
	}
	select {
	case n := <-found:
		return n
	case <-time.After(6 * time.Second):
		giveUp("no entry serves %s", path)
		return nil
	}
}

// lineFeeds runs items whose events hold line feeds, as text/event-stream allows.
func lineFeeds(l *lab) bool {
	// tokens are the data of the events.
	tokens := []string{"def f(x):", "\n    return x", "\n", "\n\nprint(f(1))", "a\n\nb"}
	if !l.trouble {
		tokens = []string{"def f(x):", "    return x", "-", "print(f(1))", "a-b"}
	}
	var events []string
	for i, token := range tokens {
		event := fmt.Sprintf("id: %d\n", i+1)
		for _, line := range strings.Split(token, "\n") {
			event += "data: " + line + "\n"
		}
		events = append(events, event+"\n")
	}
	answer := func(_ *server, w http.ResponseWriter, r *http.Request, _ []byte) {
		stream(w, r, events, 5*time.Millisecond)
	}
	fronts, _, _ := l.deploy(2, 2, 2, answer)
	items := []item{newItem("episode-1", "/jobs/1/a", "g", []byte("1")), newItem("episode-2", "/jobs/1/b", "g", []byte("2"))}
	a := l.submit(0, fronts[0], "/jobs/", "step-1", 1, items)
	l.note("client: job step-1: %s", a)
	if a.status != http.StatusAccepted {
		giveUp("the job was not accepted")
	}
	var found []result
	for until := time.Now().Add(20 * time.Second); len(found) < len(items) && time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		found, _ = l.results(0, fronts[1], "step-1")
	}
	if len(found) < len(items) {
		giveUp("the job is not complete")
	}
	want := strings.Join(tokens, "\n")
	l.note("engine: the data of the events, separated by line feeds: %q", want)
	broken := false
	for _, r := range found {
		l.note("client: result of %s: %s, output %q", r.ID, r.State, r.Output)
		broken = broken || r.State == "completed" && r.Output != want
	}
	return broken
}

// softwareVersions lets the last server of an old software version crash and start again in
// place, with the version of the others, while clients read streams that it began.
func softwareVersions(l *lab) bool {
	const servers, clients, total = 9, 60, 60
	answer := func(s *server, w http.ResponseWriter, r *http.Request, _ []byte) {
		s.mu.Lock()
		software := s.software
		s.mu.Unlock()
		var events []string
		for i := 1; i <= total; i++ {
			events = append(events, fmt.Sprintf("id: %d\ndata: %s %d\n\n", i, software, i))
		}
		stream(w, r, events, 80*time.Millisecond)
	}
	l.configure([]route{routeOf("chat", "/chat/", "streaming", "sim-lm", route{"Resumable": true, "TimeoutMs": 12000})}, []string{"sim-lm"}, nil)
	var workers []*server
	for i := range servers {
		s := l.addServer(fmt.Sprintf("w-%d", i), "sim-lm", zones[i%len(zones)], true, answer)
		if i < servers-1 {
			s.mu.Lock()
			s.software = "2.0"
			s.mu.Unlock()
			s.register()
		}
		workers = append(workers, s)
	}
	l.addNode("scheduler", l.storeAt)
	l.addNode("scheduler", l.storeAt)
	fronts := []*node{l.addNode("entry", l.storeAt), l.addNode("entry", l.storeAt), l.addNode("entry", l.storeAt)}
	l.awaitReady(fronts...)
	time.Sleep(4 * time.Second)
	var group sync.WaitGroup
	var mu sync.Mutex
	mixed, resumed := 0, 0
	for i := range clients {
		group.Add(1)
		go func() {
			defer group.Done()
			versions, tries := l.readStream(fronts, i, total)
			mu.Lock()
			defer mu.Unlock()
			if tries > 1 {
				resumed++
			}
			if len(versions) > 1 {
				mixed++
			}
		}()
	}
	time.Sleep(1500 * time.Millisecond)
	last := workers[servers-1]
	if l.trouble {
		last.crash()
		time.Sleep(300 * time.Millisecond)
		last.mu.Lock()
		last.software = "2.0"
		last.mu.Unlock()
		last.listen(last.address)
		l.note("%s: serves again", last.id)
		time.Sleep(500 * time.Millisecond) // it writes its entry within HeartbeatMs, 1,200
		last.register()
	}
	group.Wait()
	l.note("clients: %d streams were taken up again, %d hold events of two software versions", resumed, mixed)
	return mixed > 2
}

// readStream reads a stream to its end, over several tries, and returns the software versions of
// its events.
func (l *lab) readStream(fronts []*node, i, total int) (versions map[string]bool, tries int) {
	versions = map[string]bool{}
	first, last := fmt.Sprintf("s%02d-1", i), 0
	deadline := time.Now().Add(12 * time.Second)
	for tries = 1; tries <= 10 && time.Now().Before(deadline); tries++ {
		id := fmt.Sprintf("s%02d-%d", i, tries)
		n := fronts[(i+tries)%len(fronts)]
		err := l.readTry(n, id, first, deadline, &last, versions)
		l.note("client: stream %s at %s: %v, has event %d of %d, software %v", id, n.name, err, last, total, versions)
		if err == nil {
			return versions, tries
		}
		time.Sleep(200 * time.Millisecond)
	}
	return versions, tries
}

// readTry reads a stream in one try.
func (l *lab) readTry(n *node, id, first string, deadline time.Time, last *int, versions map[string]bool) error {
	request, err := http.NewRequest(http.MethodPost, "http://"+n.front()+"/chat/1", strings.NewReader("prompt"))
	if err != nil {
		return err
	}
	request.Host = host
	request.Header.Set("Authorization", "Bearer "+apiKey(0))
	request.Header.Set("X-Attempt-Id", id)
	request.Header.Set("X-Model", model)
	request.Header.Set("X-Deadline-Ms", strconv.FormatInt(time.Until(deadline).Milliseconds(), 10))
	if *last > 0 {
		request.Header.Set("Last-Event-Id", strconv.Itoa(*last))
		request.Header.Set("Resumes", first)
	}
	response, err := l.client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d, Retry-After %q", response.StatusCode, response.Header.Get("Retry-After"))
	}
	reader := bufio.NewReader(response.Body)
	event, data := 0, ""
	for {
		line, err := reader.ReadString('\n')
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		line = strings.TrimSuffix(line, "\n")
		switch {
		case strings.HasPrefix(line, "id: "):
			event, _ = strconv.Atoi(line[4:])
		case strings.HasPrefix(line, "data: "):
			data = line[6:]
		case line == "" && event > 0:
			*last = event
			versions[strings.Fields(data)[0]] = true
		}
	}
}
