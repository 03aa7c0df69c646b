package scheduler

import (
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"cactusspoke/internal/batch"
	"cactusspoke/internal/http1"
	"cactusspoke/internal/pool"
	"cactusspoke/internal/protocol"

	"github.com/stretchr/testify/require"
)

// TestSnapshotDuringRun takes snapshots, as checkpoints do, while a run resumes an output of
// weight version 4 and then adds to it or discards it. Each must hold the output as it was
// after some event; the race detector finds writes that a snapshot may see half done.
func TestSnapshotDuringRun(t *testing.T) {
	const added = "id: 2\ndata: b\n\n"
	names := protocol.Headers{
		RequestID: "X-Request-Id", ExpectInstance: "X-Expect-Instance", DeadlineMS: "X-Deadline-Ms", NotRun: "X-Not-Run",
		WeightVersions: "X-Weight-Versions", Priority: "X-Priority", LastEventID: "Last-Event-Id",
	}
	tests := []struct {
		name          string
		singleVersion bool
		// version is the weight version in the headers.
		version int64
		events  string
		text    string
	}{
		{"continues with another version", false, 5, added, "a\nb"},
		{"discarded by the headers", true, 5, added, ""},
		{"discarded by an event", true, 4, "X-Weight-Versions: 6\n" + added, ""},
		{"discarded since it is too long", false, 5, added + "id: 3\ndata: c\n\n", ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			proceed := make(chan struct{})
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
				w.Header().Set(names.RequestID, request.Header.Get(names.RequestID))
				w.Header().Set(names.WeightVersions, strconv.FormatInt(tt.version, 10))
				w.WriteHeader(http.StatusOK)
				w.(http.Flusher).Flush()
				<-proceed
				_, _ = w.Write([]byte(tt.events))
			}))
			defer server.Close()
			release := sync.OnceFunc(func() { close(proceed) })
			defer release()
			r := &run{
				headers: names, client: http1.NewClient(),
				job: &batch.Job{Host: "h.example"}, item: &batch.Item{ID: "i", Path: "/", ExpectedTokens: 2}, server: pool.Server{Address: strings.TrimPrefix(server.URL, "http://")},
				deadline: time.Now().Add(time.Minute), eventTimeout: time.Minute, singleVersion: tt.singleVersion, output: &output{},
			}
			r.output.addEvent(4, []byte("a"))
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				r.execute(t.Context())
			}()
			time.AfterFunc(50*time.Millisecond, release)
			for running := true; running; {
				select {
				case <-ended:
					running = false
				default:
				}
				s := r.snapshot()
				require.Equal(t, s.events > 0, len(s.data) > 0)
				if s.events > 0 {
					require.Equal(t, []int64{0, 4, tt.version}[s.events], s.version, "the version of the last event")
				}
			}
			require.Equal(t, tt.text, string(r.output.data), r.reason)
		})
	}
}
