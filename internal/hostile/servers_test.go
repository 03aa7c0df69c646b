package hostile

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"cactusspoke/platform"
	"cactusspoke/platform/standin"

	"github.com/stretchr/testify/require"
)

const (
	// endlessServers is the number of servers that send without end, and endlessSlots how many
	// requests each takes at a time.
	endlessServers = 8
	endlessSlots   = 32
	// endlessPiece is the length of the pieces that they send.
	endlessPiece = 128 << 10
	// endlessLimit bounds what one response sends, so that a failing test ends.
	endlessLimit = 256 << 20
	// endlessCallers is the number of callers whose requests go to them, well below the connections
	// of the machine.
	endlessCallers = 32
	// steps is the number of jobs, each with stepItems items of itemEvents events.
	steps      = 4
	stepItems  = 96
	itemEvents = 5
)

// endlessResponse is a response that has no end.
type endlessResponse struct {
	// head holds the status line and headers besides the request ID, and endOfHead what follows
	// that. Then piece comes again and again; it is called with its number, from 1.
	head, endOfHead string
	piece           func(n int) string
}

// chunk encodes a piece of a body of unknown length.
func chunk(data string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(data), data) }

var filler = strings.Repeat("x", endlessPiece)

func chunkedHead(status string, headers ...string) string {
	return "HTTP/1.1 " + status + "\r\nTransfer-Encoding: chunked\r\n" + strings.Join(append(headers, ""), "\r\n")
}

// serveEndless starts servers of a service that answer each request without end.
func serveEndless(t *testing.T, store *standin.Store, service string, response endlessResponse) (requests *atomic.Int64) {
	requests = &atomic.Int64{}
	models := []map[string]any{}
	if service == "engines" {
		models = append(models, map[string]any{"Name": model, "Version": 1})
	}
	for n := range endlessServers {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		require.NoError(t, err)
		t.Cleanup(func() { _ = l.Close() })
		go func() {
			for {
				conn, err := l.Accept()
				if err != nil {
					return
				}
				go func() {
					defer func() { _ = conn.Close() }()
					r, err := http.ReadRequest(bufio.NewReader(conn))
					if err != nil {
						return
					}
					requests.Add(1)
					id := platform.Headers().RequestID
					_, err = fmt.Fprintf(conn, "%s%s: %s\r\n%s", response.head, id, r.Header.Get(id), response.endOfHead)
					for n, sent := 1, 0; err == nil && sent < endlessLimit; n++ {
						written := 0
						written, err = io.WriteString(conn, response.piece(n))
						sent += written
					}
				}()
			}
		}()
		store.Put(fmt.Sprintf("%sendless-%s-%d", platform.ServersPrefix, service, n), map[string]any{
			"Service": service, "Address": l.Addr().String(), "Zone": zone, "Version": standin.DefaultSoftware, "Slots": endlessSlots,
			"State": "ready", "Models": models, "Sequence": 1, "born": 1,
		})
	}
	return requests
}

// call sends a request to an entry instance, and returns the response's status, or 0.
func (e *entry) call(method, path, id, body string) (int, string) {
	request, err := http.NewRequest(method, "http://"+e.callers+path, strings.NewReader(body))
	require.NoError(e.t, err)
	request.Host = host
	request.Header.Set("Authorization", "Bearer "+key)
	request.Header.Set(platform.Headers().RequestID, id)
	client := &http.Client{Timeout: waitTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err.Error()
	}
	return response.StatusCode, string(data)
}

// step returns the body of a job whose items have a reward call each, to a path.
func step(id, reward string) string {
	var items []map[string]any
	for n := range stepItems {
		items = append(items, map[string]any{
			"Id": fmt.Sprintf("%s-%d", id, n), "Path": "/steps/x", "Headers": map[string]string{"X-Model": model, "X-Token-Counts": "40,900"},
			"Body": "q83vEjRWeJA=", "TokenCount": 940, "GroupId": "g", "Scorer": map[string]any{"Id": fmt.Sprintf("s-%s-%d", id, n), "Host": host, "Path": reward, "Body": "3q2+7w=="},
		})
	}
	data, err := json.Marshal(map[string]any{"TrainStep": 1, "Model": model, "MinVersion": 1, "Desired": 1, "Items": items})
	if err != nil {
		panic(err)
	}
	return string(data)
}

func stepID(n int) string { return fmt.Sprintf("step-%d", n) }

// submitSteps submits jobs whose reward calls go to a path.
func (e *entry) submitSteps(reward string) {
	e.t.Helper()
	for n := range steps {
		status, body := e.call(http.MethodPost, "/steps/"+stepID(n), stepID(n), step(stepID(n), reward))
		require.Equal(e.t, http.StatusAccepted, status, body)
	}
}

// results returns how many results of a job can be read.
func (e *entry) results(id string) int {
	position := 0
	for {
		status, body := e.call(http.MethodGet, fmt.Sprintf("%s%s?After=%d", platform.Paths().JobResults, id, position), "read", "")
		var page struct {
			Results []json.RawMessage `json:"Results"`
		}
		if status != http.StatusOK || json.Unmarshal([]byte(body), &page) != nil || len(page.Results) == 0 {
			return position
		}
		position += len(page.Results)
	}
}

// TestEndlessEngines guards against a duty holder that keeps what engines send without end until
// it exceeds its memory, and against items that sound engines do not complete beside them.
func TestEndlessEngines(t *testing.T) {
	h := platform.Headers()
	okHead := chunkedHead("200 OK", h.Signature+": s", h.WeightVersions+": 1")
	tests := []struct {
		name     string
		response endlessResponse
	}{
		{"events", endlessResponse{okHead, "\r\n", func(n int) string { return chunk(fmt.Sprintf("id: %d\ndata: %s\n\n", n, filler)) }}},
		{"lines of one event", endlessResponse{okHead, "\r\n", func(int) string { return chunk("data: " + filler + "\n") }}},
		{"one line", endlessResponse{okHead, "\r\n", func(int) string { return chunk(filler) }}},
		{"refusals", endlessResponse{chunkedHead("503 Service Unavailable", h.NotRun+": 1"), "\r\n", func(int) string { return chunk(filler) }}},
		{"heads", endlessResponse{"HTTP/1.1 200 OK\r\n", "", func(int) string { return "X-Filler: " + filler + "\r\n" }}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			e := startEntry(t)
			requests := serveEndless(t, e.standIn, "engines", tt.response)
			for n := range 2 {
				sound := standin.NewBackendServer(e.standIn, fmt.Sprintf("sound-%d", n), "engines", zone, map[string]int64{model: 1})
				sound.SetEventCount(func(string) int { return itemEvents })
			}
			s := startScheduler(e, e.machine)
			e.submitSteps("/safe/score")
			for n := range steps {
				require.Eventually(t, func() bool { return !s.alive() || e.results(stepID(n)) == stepItems }, 3*waitTimeout, 10*pollInterval, "a step is not complete")
			}
			s.verifyScheduler()
			require.Positive(t, requests.Load())
			e.verify()
		})
	}
}

// TestEndlessRewards guards against a duty holder that keeps the bodies of responses to reward
// calls.
func TestEndlessRewards(t *testing.T) {
	h := platform.Headers()
	e := startEntry(t)
	requests := serveEndless(t, e.standIn, "faulty", endlessResponse{chunkedHead("200 OK", h.Signature+": s"), "\r\n", func(int) string { return chunk(filler) }})
	for n := range 2 {
		standin.NewBackendServer(e.standIn, fmt.Sprintf("sound-%d", n), "engines", zone, map[string]int64{model: 1})
	}
	s := startScheduler(e, e.machine)
	e.submitSteps("/faulty/score")
	require.Eventually(t, func() bool { return !s.alive() || requests.Load() > steps*stepItems }, waitTimeout, pollInterval)
	time.Sleep(attackTime)
	s.verifyScheduler()
	e.verify()
}

// verifyScheduler checks that a duty holder lives and stays within its machine's memory.
func (e *entry) verifyScheduler() {
	e.t.Helper()
	e.t.Logf("peak resident memory of the scheduler: %d MiB of %d", e.peakMemory.Load()>>20, e.machine.memoryMB)
	require.True(e.t, e.alive(), "the scheduler has ended")
	require.LessOrEqual(e.t, e.peakMemory.Load(), int64(e.machine.memoryMB)<<20)
}
