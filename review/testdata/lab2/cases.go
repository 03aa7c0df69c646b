package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// allCases are the cases by name.
var allCases = map[string]func(*lab){
	"pinned-version": pinnedVersion,
	"endless-body":   endlessBody,
	"second-answer":  secondAnswer,
	"refused-job":    refusedJob,
	"large-items":    largeItems,
	"item-bodies":    itemBodies,
}

// addEngines adds model engines with a number of slots.
func (l *lab) addEngines(n, slots int, eventDelay time.Duration, events int) []*worker {
	var out []*worker
	for i := range n {
		w := &worker{
			id: fmt.Sprintf("i-engine%d", i+1), service: "huvo11a", zone: zones[i%len(zones)], model: "daka510000", slots: slots, queue: 8,
			eventDelay: eventDelay, events: func(string) int { return events }, version: 2, loadTime: 900 * time.Millisecond,
		}
		l.addWorker(w)
		out = append(out, w)
	}
	return out
}

// addPlain adds servers of the first plain service.
func (l *lab) addPlain(n, slots, queue int, work time.Duration) []*worker {
	return l.addPlainOf("wuno96b", n, slots, queue, work)
}

// addPlainOf adds servers of a plain service.
func (l *lab) addPlainOf(service string, n, slots, queue int, work time.Duration) []*worker {
	var out []*worker
	for i := range n {
		w := &worker{
			id: fmt.Sprintf("i-%s-%d", service, i+1), service: service, zone: zones[i%len(zones)], slots: slots, queue: queue,
			work: func(*http.Request, []byte) time.Duration { return work },
		}
		l.addWorker(w)
		out = append(out, w)
	}
	return out
}

var zones = []string{"almaty-north", "almaty-east"}

// Memory of the machines, from the users' sheet (boyau-sched).
const (
	frontMB = 284
	storeMB = 294
)

// ordinaryItems returns the items of a job as the sheet has them: groups of 4, 600 bytes each.
func ordinaryItems(groups int, size int) []jobItem {
	var items []jobItem
	for g := range groups {
		for range 4 {
			items = append(items, jobItem{id: newID(), path: "/pule252/3/91c4", group: fmt.Sprintf("g%d", g), body: randomBytes(size), tokens: 940})
		}
	}
	return items
}

func randomBytes(n int) []byte {
	out := make([]byte, n)
	for i := range out {
		out[i] = byte(rand.Uint32())
	}
	return out
}

// submit sends a job until it is accepted or the attempts are used up, each at the next of some
// machines, and returns the status of each attempt.
func (l *lab) submit(job string, body []byte, attempts int, at ...*machine) []int {
	var out []int
	for n := range attempts {
		m := at[n%len(at)]
		r := l.call(m, http.MethodPost, "/pule252/"+job, job, 12*time.Second, body)
		l.record("submitted", "job", job, "machine", m.name, "bytes", len(body), "status", r.status)
		out = append(out, r.status)
		if r.status == http.StatusAccepted {
			break
		}
		wait := 0.2
		if s, err := strconv.ParseFloat(r.header.Get("Retry-After"), 64); err == nil {
			wait = s
		}
		time.Sleep(time.Duration(wait * float64(time.Second)))
	}
	return out
}

func accepted(statuses []int) bool {
	return len(statuses) > 0 && statuses[len(statuses)-1] == http.StatusAccepted
}

// allListed reports whether all items of a job are completed, as read at a machine.
func (l *lab) allListed(m *machine, job string, items int) bool {
	list, ok := l.results(m, job)
	if !ok || len(list) < items {
		return false
	}
	for _, r := range list {
		if r.State != "completed" {
			return false
		}
	}
	return true
}

// ends returns how many machines of a role had their process end three times, and all ends.
func (l *lab) ends(role string) (thrice, all int, text string) {
	var parts []string
	for _, m := range l.machines {
		if m.role != role {
			continue
		}
		ends, peak := m.endsAndPeak()
		if ends >= 3 {
			thrice++
		}
		all += ends
		parts = append(parts, fmt.Sprintf("%s ended %d times, peak %d of %d MB", m.name, ends, peak, m.memoryMB))
	}
	return thrice, all, strings.Join(parts, "; ")
}

// endlessBody: one of three engines answers items with bytes without end, until the caller
// closes.
func endlessBody(l *lab) {
	const (
		troubleTime = 70 * time.Second
		linkBytes   = 600_000_000 / 8 // a second: the link of a store machine
		eventBytes  = 128 << 10
		eventTime   = time.Second * eventBytes / linkBytes
	)
	l.configure()
	l.serveCloud()
	engines := l.addEngines(3, 8, 20*time.Millisecond, 10)
	l.addPlain(1, 6, 24, 20*time.Millisecond)
	front := l.addMachine("front", zones[0], frontMB)
	l.addMachine("store", zones[0], storeMB)
	l.addMachine("store", zones[1], storeMB)
	l.ready()
	if l.trouble {
		noise := strings.Repeat("0123456789abcdef", eventBytes/16)
		var link sync.Mutex
		engines[2].setFault(func(w *worker, c *workerConn, r *http.Request) bool {
			id := r.Header.Get("X-Attempt-Id")
			l.record("endless-answer-begins", "id", id, "server", w.id)
			sent := 0
			_, err := io.WriteString(c, w.streamHead(id))
			for n := 1; err == nil; n++ {
				link.Lock()
				time.Sleep(eventTime)
				link.Unlock()
				data := fmt.Sprintf("id: %d\ndata: %s\n\n", n, noise)
				_, err = io.WriteString(c, chunk(data))
				sent += len(data)
			}
			l.record("endless-answer-cut", "id", id, "server", w.id, "bytes", sent)
			return true
		})
		l.record("trouble-begins", "server", engines[2].id)
		time.AfterFunc(troubleTime, func() { engines[2].setFault(nil); l.record("trouble-ends") })
	}
	jobs, done := 0, 0
	var ids []string
	for end := time.Now().Add(troubleTime); time.Now().Before(end); time.Sleep(4 * time.Second) {
		job := newID()
		if accepted(l.submit(job, jobBody(jobs, 1, 5, ordinaryItems(6, 600)), 2, front)) {
			jobs++
			ids = append(ids, job)
		}
		if thrice, _, _ := l.ends("scheduler"); thrice >= 2 {
			break
		}
	}
	time.Sleep(3 * time.Second)
	for _, job := range ids {
		if l.allListed(front, job, 24) {
			done++
		}
	}
	thrice, all, text := l.ends("scheduler")
	if !l.trouble && (all > 0 || done < len(ids)) {
		l.fail(fmt.Sprintf("without the trouble: %d ends, %d of %d jobs complete", all, done, len(ids)))
	}
	l.verdict(thrice >= 2, "%s; %d of %d accepted jobs complete", text, done, len(ids))
}

// secondAnswer: a server of a plain service sends a few of its answers a second time, late.
func secondAnswer(l *lab) {
	const (
		instances   = 8
		clients     = 5 // of each instance and service
		share       = 0.03
		troubleTime = 5 * time.Second
		pause       = 500 * time.Millisecond
		windows     = 15
	)
	l.configure()
	l.serveCloud()
	l.addEngines(1, 8, 20*time.Millisecond, 5)
	services := []string{"wuno96b", "wuno97c", "wuno98d"}
	var faulty []*worker // one of two servers of each service
	for _, service := range services {
		faulty = append(faulty, l.addPlainOf(service, 2, 6, 6, 40*time.Millisecond)[0])
	}
	setShare := func(share float64) {
		for _, w := range faulty {
			w.mu.Lock()
			w.extraShare = share
			w.mu.Unlock()
		}
	}
	var fronts []*machine
	for n := range instances {
		fronts = append(fronts, l.addMachine("front", zones[n%len(zones)], frontMB))
	}
	l.addMachine("store", zones[0], storeMB)
	l.ready()
	stop := make(chan struct{})
	var group sync.WaitGroup
	var mu sync.Mutex
	answers := map[int]int{}
	for n := range clients * instances * len(services) {
		path := fmt.Sprintf("/lohu93%d/2f", n/instances%len(services))
		group.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				id := newID()
				l.record("sent", "id", id)
				r := l.call(fronts[n%instances], http.MethodPost, path, id, 1500*time.Millisecond, []byte("book"))
				l.record("answered", "id", id, "status", r.status)
				mu.Lock()
				answers[r.status]++
				mu.Unlock()
				if s, err := strconv.ParseFloat(r.header.Get("Retry-After"), 64); err == nil {
					time.Sleep(time.Duration(s * float64(time.Second)))
				}
			}
		})
	}
	for range windows {
		if l.trouble {
			setShare(share)
			l.record("trouble-begins")
		}
		time.Sleep(troubleTime)
		setShare(0)
		l.record("trouble-ends")
		time.Sleep(pause)
	}
	close(stop)
	group.Wait()
	twice, total := 0, 0
	l.runMu.Lock()
	for id, n := range l.runs {
		total++
		if n > 1 {
			twice++
			l.record("ran-twice", "id", id, "times", n)
		}
	}
	l.runMu.Unlock()
	if answers[http.StatusOK] == 0 {
		l.fail("no request was served")
	}
	l.verdict(twice > 0, "%d of %d requests that may run once ran more than once; answers by status: %v", twice, total, answers)
}

// refusedJob: the store turns one entry machine away; the one that passes its jobs on to the
// store ends right after it has accepted one.
func refusedJob(l *lab) {
	l.configure()
	l.serveCloud()
	l.addEngines(2, 8, 20*time.Millisecond, 5)
	l.addPlain(1, 6, 24, 20*time.Millisecond)
	first := l.addMachine("front", zones[0], frontMB)
	second := l.addMachine("front", zones[1], frontMB)
	l.addMachine("store", zones[0], storeMB)
	l.ready()
	job := newID()
	if l.trouble {
		l.store.committed = func(m string, t txn) {
			if m != second.name {
				return
			}
			for _, p := range t.Puts {
				if p.Key == "job/"+job+"/job" {
					l.record("killed", "machine", m, "after", p.Key)
					second.kill()
				}
			}
		}
		l.store.refuse(first.name, true)
		l.record("store-refuses", "machine", first.name)
		time.Sleep(2 * time.Second)
	}
	items := ordinaryItems(2, 600)
	statuses := l.submit(job, jobBody(0, 1, 2, items), 2, first)
	l.store.refuse(first.name, false)
	l.record("store-serves", "machine", first.name)
	time.Sleep(15 * time.Second)
	ran := 0
	for _, i := range items {
		ran += min(1, l.runsOf(i.id))
	}
	refused := len(statuses) > 0
	for _, s := range statuses {
		refused = refused && (s == http.StatusServiceUnavailable || s == http.StatusTooManyRequests)
	}
	if !l.trouble && (!accepted(statuses) || ran < len(items)) {
		l.fail(fmt.Sprintf("without the trouble: answered %v, %d of %d items ran", statuses, ran, len(items)))
	}
	l.verdict(refused && ran > 0, "the attempts of the job were answered %v; %d of its %d items ran", statuses, ran, len(items))
}

// bigItems returns the items of a job whose body is as long as the operator allows.
func bigItems() []jobItem {
	const bodyBytes = 396 << 10
	var items []jobItem
	for n := range 61 {
		items = append(items, jobItem{id: newID(), path: "/pule252/3/91c4", group: fmt.Sprintf("g%d", n/4), body: randomBytes(bodyBytes), tokens: 940})
	}
	return items
}

// largeItems: clients submit many jobs of legal size at once, whose items have large bodies.
func largeItems(l *lab) {
	const jobs = 16
	l.configure()
	l.serveCloud()
	l.addEngines(3, 4, 20*time.Millisecond, 30)
	l.addPlain(1, 6, 24, 20*time.Millisecond)
	fronts := []*machine{l.addMachine("front", zones[0], frontMB), l.addMachine("front", zones[1], frontMB)}
	l.addMachine("store", zones[0], storeMB)
	l.addMachine("store", zones[1], storeMB)
	l.ready()
	var group sync.WaitGroup
	var mu sync.Mutex
	taken := 0
	for n := range len(fronts) {
		group.Go(func() {
			for range jobs / len(fronts) {
				items := bigItems()
				if !l.trouble {
					for i := range items {
						items[i].body = items[i].body[:600]
					}
				}
				if accepted(l.submit(newID(), jobBody(0, 1, 15, items), 3, fronts[n])) {
					mu.Lock()
					taken++
					mu.Unlock()
				}
			}
		})
	}
	group.Wait()
	job, begun := newID(), time.Now()
	ordinary := accepted(l.submit(job, jobBody(0, 1, 2, ordinaryItems(2, 600)), 3, fronts[0]))
	answered := time.Duration(0)
	for time.Since(begun) < 75*time.Second {
		time.Sleep(time.Second)
		if answered == 0 && ordinary && l.allListed(fronts[0], job, 8) {
			answered = time.Since(begun)
			l.record("ordinary-job-complete", "after", answered)
		}
		if thrice, _, _ := l.ends("scheduler"); thrice >= 2 || !l.trouble && answered > 0 {
			break
		}
	}
	thrice, all, text := l.ends("scheduler")
	if !l.trouble && (all > 0 || answered == 0) {
		l.fail(fmt.Sprintf("without the trouble: %d ends, ordinary job complete after %s", all, answered))
	}
	l.verdict(thrice >= 2, "%d jobs of legal size accepted; %s; ordinary job accepted %t, complete after %s (0: not at all)", taken, text, ordinary, answered)
}

// itemBodies: clients ask for the bodies of items of a job of legal size with large bodies.
func itemBodies(l *lab) {
	const readers = 16
	l.configure()
	l.serveCloud()
	l.addEngines(1, 1, 500*time.Millisecond, 30) // the items stay unfinished while they are asked for
	l.addPlain(2, 6, 24, 20*time.Millisecond)
	fronts := []*machine{l.addMachine("front", zones[0], frontMB), l.addMachine("front", zones[1], frontMB)}
	l.addMachine("store", zones[0], storeMB)
	l.ready()
	items := bigItems()
	if !l.trouble {
		for i := range items {
			items[i].body = items[i].body[:600]
		}
	}
	job := newID()
	if !accepted(l.submit(job, jobBody(0, 1, 15, items), 3, fronts[0], fronts[1])) {
		l.fail("the job was not accepted")
	}
	answers := map[int]int{}
	var mu sync.Mutex
	for begun := time.Now(); time.Since(begun) < 45*time.Second; time.Sleep(500 * time.Millisecond) {
		var group sync.WaitGroup
		for n := range readers * len(fronts) {
			group.Go(func() {
				i := items[len(items)/2+rand.IntN(len(items)/2)]
				r := l.call(fronts[n%len(fronts)], http.MethodGet, "/api/items/"+job+"?Id="+i.id, "", 5*time.Second, nil)
				mu.Lock()
				answers[r.status]++
				mu.Unlock()
				l.record("body-asked", "item", i.id, "machine", fronts[n%len(fronts)].name, "status", r.status, "bytes", len(r.body))
			})
		}
		group.Wait()
		if thrice, _, _ := l.ends("entry"); thrice >= 2 {
			break
		}
	}
	thrice, all, text := l.ends("entry")
	if !l.trouble && (all > 0 || answers[http.StatusOK] == 0) {
		l.fail(fmt.Sprintf("without the trouble: %d ends, answers %v", all, answers))
	}
	l.verdict(thrice >= 2, "%s; answers by status: %v (0: none)", text, answers)
}

// pinnedVersion: a trainer names a version and submits its next step. The items of another job
// ask for the version before, so that servers reject them with 421.
func pinnedVersion(l *lab) {
	const (
		deadline = 12 * time.Second // after which the trainer gives a step up, from the sheet
		steady   = 5 * time.Second  // for which an item may be at no server
		quiet    = 6 * time.Second  // before that, no version is named
	)
	l.configure()
	l.serveCloud()
	engines := l.addEngines(2, 4, 40*time.Millisecond, 20)
	l.addPlain(1, 6, 24, 20*time.Millisecond)
	front := l.addMachine("front", zones[0], frontMB)
	l.addMachine("store", zones[0], storeMB)
	l.addMachine("store", zones[1], storeMB)
	l.ready()
	l.store.put("op/version/daka510000", map[string]any{"Model": "daka510000", "Version": 3})
	namedAt := time.Now()
	l.record("version-named", "version", 3)
	step := newID()
	items := ordinaryItems(15, 600)
	begun := time.Now()
	if !accepted(l.submit(step, jobBody(4, 3, 14, items), 2, front)) {
		l.fail("the step was not accepted")
	}
	l.waitFor("items of the step at each engine", 5*time.Second, func() bool {
		for _, e := range engines {
			e.mu.Lock()
			began := len(e.runs) > 0
			e.mu.Unlock()
			if !began {
				return false
			}
		}
		return true
	})
	evaluated := ordinaryItems(6, 600)
	for i := range evaluated {
		evaluated[i].tokens = 4540
		if l.trouble {
			evaluated[i].expectVersion = 2
		}
	}
	if !accepted(l.submit(newID(), jobBody(0, 2, 0, evaluated), 2, front)) {
		l.fail("the job that asks for a version was not accepted")
	}
	slots, most := 0, 0
	for _, w := range engines {
		slots += w.slots
	}
	since := namedAt.Add(quiet)
	time.Sleep(time.Until(since))
	for time.Now().Before(begun.Add(deadline)) {
		running := 0
		for _, w := range engines {
			w.mu.Lock()
			running += w.running
			w.mu.Unlock()
		}
		most = max(most, running)
		time.Sleep(20 * time.Millisecond)
	}
	now := time.Now()
	starved, began := 0, 0
	l.runMu.Lock()
	for _, i := range items {
		if l.runs[i.id] > 0 {
			began++
		}
		if !l.whole[i.id] && l.begunAt[i.id].Before(since) && now.Sub(since) >= steady {
			starved++
		}
	}
	l.runMu.Unlock()
	l.record("deadline-of-the-step", "began", began, "starved", starved, "most-running", most, "slots", slots)
	l.call(front, http.MethodDelete, "/api/lots/"+step, "", 3*time.Second, nil)
	next, later := newID(), ordinaryItems(6, 600)
	if !accepted(l.submit(next, jobBody(5, 3, 5, later), 2, front)) {
		l.fail("the next step was not accepted")
	}
	time.Sleep(deadline)
	nextBegan := 0
	for _, i := range later {
		nextBegan += min(1, l.runsOf(i.id))
	}
	if !l.trouble && (starved > 0 || nextBegan < len(later)) {
		l.fail(fmt.Sprintf("without the trouble: %d items starved, %d of %d of the next step began", starved, nextBegan, len(later)))
	}
	l.verdict(starved > 0 && began > 0 && 2*most < slots,
		"step of %d items: %d began; at its deadline %d unfinished items had been at no server for %s, while the servers ran %d requests at most in %d slots; of the %d items of the next step %d began within %s",
		len(items), began, starved, now.Sub(since).Round(time.Second), most, slots, len(later), nextBegan, deadline)
}
