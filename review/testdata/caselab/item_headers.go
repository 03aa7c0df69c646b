package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	model     = "daka510000"
	itemCount = 8
	jobTime   = 20 * time.Second
)

// seen is a request that an engine ran, as it arrived.
type seen struct {
	engine, id, path string
	tenants          []string
	authorization    string
}

// serveEvents answers a request for tokens with a stream of three events.
func serveEvents(w *worker, conn net.Conn, r *http.Request, _ []byte) bool {
	id := r.Header.Get("X-Attempt-Id")
	var b strings.Builder
	fmt.Fprintf(&b, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Attempt-Id: %s\r\nX-Server-Seal: seal-%s\r\nX-Weight-Versions: 1\r\nTransfer-Encoding: chunked\r\n\r\n", id, id)
	for n := 1; n <= 3; n++ {
		event := fmt.Sprintf("id: %d\ndata: %s-%d\n\n", n, id, n)
		fmt.Fprintf(&b, "%x\r\n%s\r\n", len(event), event)
	}
	b.WriteString("0\r\n\r\n")
	time.Sleep(w.work)
	_, _ = conn.Write([]byte(b.String()))
	return true
}

// playItems submits a batch job, whose items have extra headers by the number of the item,
// and returns what the engines ran, with the ids of the items.
func playItems(d *deployment, extra map[int][2]string) ([]seen, map[string]bool) {
	rollout := route("r-roll", "/pule252/", "rollout", "sim-lm", 3, 10000, 400)
	rollout["DueMs"], rollout["RetainS"] = 7500, 40
	d.store.Put("op/config", config(7, rollout, route("r-hold", "/hold/", "unsafe", "sim-lm", 2, 1500, 150)))
	ran := &runs{}
	var mu sync.Mutex
	var list []seen
	engines := d.startWorkers(3, "sim-lm", 8, 5*time.Millisecond, ran)
	for _, w := range engines {
		w.models = []map[string]any{{"Name": model, "Version": 1, "Adapters": []string{}}}
		w.register()
		w.answer = func(w *worker, conn net.Conn, r *http.Request, body []byte) bool {
			x := seen{w.id, r.Header.Get("X-Attempt-Id"), r.URL.Path, r.Header.Values("X-Tenant"), r.Header.Get("Authorization")}
			mu.Lock()
			list = append(list, x)
			mu.Unlock()
			d.record.add("run at %s: id %s, path %s, X-Tenant %v, Authorization %q", w.id, x.id, x.path, x.tenants, x.authorization)
			return serveEvents(w, conn, r, body)
		}
	}
	d.startSchedulers(3)
	d.startEntries(3)
	c := newClient(3 * time.Second)
	d.waitReady(func(*process) bool { return true })
	time.Sleep(contactTime)
	items := []map[string]any{}
	ids := map[string]bool{}
	job := fmt.Sprintf("%016x", rand.Uint64())
	for i := range itemCount {
		id := fmt.Sprintf("%016x", rand.Uint64())
		ids[id] = true
		headers := map[string]string{"X-Model": model, "X-Token-Counts": "16,64", "X-Prompt-Prefix": "9c2e41:16"}
		if h, ok := extra[i]; ok && d.trouble {
			headers[h[0]] = strings.ReplaceAll(h[1], "ITEM", id)
			d.record.add("item %s has the header %s: %q", id, h[0], headers[h[0]])
		}
		items = append(items, map[string]any{
			"Id": id, "Path": fmt.Sprintf("/pule252/3/%04x", i), "Headers": headers, "Body": []byte("{}"), "TokenCount": 80, "GroupId": "g1",
		})
	}
	body, err := json.Marshal(map[string]any{"TrainStep": 0, "Model": model, "MinVersion": 1, "Desired": 1, "Items": items})
	if err != nil {
		fail("%v", err)
	}
	a := c.send(http.MethodPost, d.front(d.entries[0]), "/pule252/"+job, bookingKey, job, body, "Content-Type", "application/json", "X-Deadline-Ms", "12000")
	d.record.add("job %s submitted by tenant %s: %d", job, tenant, a.status)
	if a.status == http.StatusBadRequest {
		return nil, ids // refused: nothing runs
	}
	if a.status != http.StatusAccepted {
		fail("the job was answered %d", a.status)
	}
	for until := time.Now().Add(jobTime); time.Now().Before(until); time.Sleep(500 * time.Millisecond) {
		var page struct{ Total, Next int }
		read := c.send(http.MethodGet, d.front(d.entries[1]), "/api/lots/"+job+"?After=0", bookingKey, job+"-read", nil)
		if json.Unmarshal(read.body, &page) == nil && page.Total > 0 && page.Next == page.Total {
			d.record.add("all %d results are listed", page.Total)
			break
		}
	}
	time.Sleep(500 * time.Millisecond)
	mu.Lock()
	defer mu.Unlock()
	if len(list) == 0 {
		fail("no item ran")
	}
	return list, ids
}

// itemHeaders submits a job with an item whose headers name another tenant, and one whose
// headers hold the client's own key.
func itemHeaders(d *deployment) []string {
	list, _ := playItems(d, map[int][2]string{0: {"X-Tenant", otherTenant}, 1: {"Authorization", "Bearer " + bookingKey}})
	var broken []string
	for _, x := range list {
		for _, t := range x.tenants {
			if t != tenant {
				broken = append(broken, fmt.Sprintf("UNASKED: item %s of tenant %s ran at %s with X-Tenant %v", x.id, tenant, x.engine, x.tenants))
			}
		}
		if strings.Contains(x.authorization, bookingKey) {
			broken = append(broken, fmt.Sprintf("UNASKED: the key of tenant %s was passed on to %s with item %s", tenant, x.engine, x.id))
		}
	}
	return broken
}

// smuggled submits a job with an item whose header holds line breaks and, behind them, a
// whole request to another route.
func smuggled(d *deployment) []string {
	inner := "POST /hold/1 HTTP/1.1\r\nHost: " + host + "\r\nX-Attempt-Id: smuggled\r\nX-Tenant: " + otherTenant + "\r\nX-Pad: 1"
	list, ids := playItems(d, map[int][2]string{0: {"X-Note", "1\r\nX-Attempt-Id: ITEM\r\nContent-Length: 0\r\n\r\n" + inner}})
	var broken []string
	for _, x := range list {
		if !ids[x.id] {
			broken = append(broken, fmt.Sprintf("UNASKED: %s ran request %q on %s with X-Tenant %v, which no client sent", x.engine, x.id, x.path, x.tenants))
		}
	}
	return broken
}
