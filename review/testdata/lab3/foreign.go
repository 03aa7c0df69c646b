package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

func init() { cases["foreign-output"] = foreignOutput }

// foreignOutput lets one tenant end a job, and another one submit a job right after, whose items
// have the same ids and paths but other bodies.
func foreignOutput(l *lab) bool {
	const items, total = 8, 30
	answer := func(_ *server, w http.ResponseWriter, r *http.Request, body []byte) {
		var events []string
		for i := 1; i <= total; i++ {
			events = append(events, fmt.Sprintf("id: %d\ndata: for %s: %s %d\n\n", i, r.Header.Get("X-Tenant"), body, i))
		}
		stream(w, r, events, 50*time.Millisecond)
	}
	fronts, _, _ := l.deploy(2, 2, 3, answer)
	list := func(prefix, body string) []item {
		var out []item
		for i := range items {
			out = append(out, newItem(fmt.Sprintf("%s-%02d", prefix, i), fmt.Sprintf("/jobs/1/%02d", i), "g", []byte(body)))
		}
		return out
	}
	first, second := "step-1", "step-1"
	if !l.trouble {
		second = "step-1b"
	}
	a := l.submit(0, fronts[0], "/jobs/", "job-a", 1, list(first, "prompt-of-a"))
	l.note("client of huka270: job-a: %s", a)
	time.Sleep(700 * time.Millisecond)
	a = l.callAs(0, fronts[0], http.MethodDelete, "/api/lots/job-a", "end-a", nil, nil)
	l.note("client of huka270: end of job-a: %s", a)
	time.Sleep(500 * time.Millisecond)
	a = l.submit(1, fronts[1], "/jobs/", "job-b", 1, list(second, "prompt-of-b"))
	l.note("client of huka271: job-b: %s", a)
	var found []result
	for until := time.Now().Add(20 * time.Second); len(found) < items && time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		found, _ = l.results(1, fronts[1], "job-b")
	}
	if len(found) < items {
		giveUp("job-b is not complete")
	}
	broken := false
	for _, r := range found {
		foreign := strings.Count(r.Output, "prompt-of-a")
		l.note("client of huka271: result of %s: %s, %d of %d events are of huka270's item", r.ID, r.State, foreign, total)
		broken = broken || foreign > 0
	}
	return broken
}
