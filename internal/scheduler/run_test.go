package scheduler

import (
	"errors"
	"io"
	"strconv"
	"strings"
	"testing"
	"time"

	"cactusspoke/internal/batch"
	"cactusspoke/internal/protocol"

	"github.com/stretchr/testify/require"
)

// cutOff is a stream that breaks off: it ends with io.ErrUnexpectedEOF.
type cutOff struct{ io.Reader }

func (c cutOff) Read(p []byte) (int, error) {
	n, err := c.Reader.Read(p)
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// TestReadEvents checks which events of a stream are accepted, and the outcome
// after its end.
func TestReadEvents(t *testing.T) {
	one, two := "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"
	tests := []struct {
		name     string
		had      int
		single   bool
		stream   string
		cut      bool
		want     outcome
		text     string
		versions []int64
	}{
		{"complete", 0, false, one + two, false, outcomeComplete, "a\nb", []int64{5}},
		{"cut between events", 0, false, one, true, outcomeInterrupted, "a", []int64{5}},
		{"cut in the middle of an event", 0, false, one + "id: 2\nda", true, outcomeInterrupted, "a", []int64{5}},
		{"ended in the middle of an event", 0, false, one + "id: 2\ndata: b\n", false, outcomeInterrupted, "a", []int64{5}},
		{"empty", 0, false, "", false, outcomeInterrupted, "", nil},
		{"an event is missing", 0, false, one + "id: 3\ndata: c\n\n", false, outcomeInterrupted, "a", []int64{5}},
		{"a repeated event", 0, false, one + one, false, outcomeInterrupted, "a", []int64{5}},
		{"resumed", 1, false, two, false, outcomeComplete, "had\nb", []int64{4, 5}},
		{"resumed from the start", 1, false, one, false, outcomeInterrupted, "had", []int64{4}},
		{"the version changes", 0, false, one + "x-weight-versions: 6\n" + two, false, outcomeComplete, "a\nb", []int64{5, 6}},
		{"the version falls below the minimum", 0, false, one + "x-weight-versions: 2\n" + two, false, outcomeStale, "a", []int64{5}},
		{"the version changes for a single-version item", 0, true, one + "x-weight-versions: 6\n" + two, false, outcomeInterrupted, "", nil},
		{"data in two lines", 0, false, "id: 1\ndata: a\ndata: b\n\n", false, outcomeComplete, "a\nb", []int64{5}},
		{"data begins with a line feed", 0, false, "id: 1\ndata: \ndata: a\n\n" + two, false, outcomeComplete, "\na\nb", []int64{5}},
		{"data of line feeds alone", 0, false, one + "id: 2\ndata:\ndata:\ndata\n\n", false, outcomeComplete, "a\n\n\n", []int64{5}},
		{"data begins with a line feed after a resumption", 1, false, "id: 2\ndata:\ndata: b\n\n", false, outcomeComplete, "had\n\nb", []int64{4, 5}},
		{"empty data", 0, false, "id: 1\ndata:\n\n" + two, false, outcomeComplete, "\nb", []int64{5}},
		{"comments", 0, false, ": ping\n\n" + one + ": ping\n\n" + two + ": ping\n\n", false, outcomeComplete, "a\nb", []int64{5}},
		{"comment within an event", 0, false, "id: 1\n: ping\ndata: a\n\n" + two, false, outcomeComplete, "a\nb", []int64{5}},
		{"fields without meaning", 0, false, "retry: 100\n\n" + one + "event: token\n" + two, false, outcomeComplete, "a\nb", []int64{5}},
		{"ended after garbage", 0, false, one + "garbage\n", false, outcomeInterrupted, "a", []int64{5}},
		{"ended in the middle of an event after a comment", 0, false, one + ": ping\nid: 2\n", false, outcomeInterrupted, "a", []int64{5}},
		{"invalid ID", 0, false, "id: x\ndata: a\n\n", false, outcomeInterrupted, "", nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := &run{headers: protocol.Headers{WeightVersions: "X-Weight-Versions"}, job: &batch.Job{MinVersion: 3}, item: &batch.Item{ID: "i"}, singleVersion: tt.single, output: &output{}}
			if tt.had > 0 {
				r.output.addEvent(4, []byte("had"))
			}
			r.version = 5
			var stream io.Reader = strings.NewReader(tt.stream)
			if tt.cut {
				stream = cutOff{stream}
			}
			watchdog := time.NewTimer(time.Minute)
			defer watchdog.Stop()
			require.Equal(t, tt.want, r.readEvents(t.Context(), stream, watchdog), r.reason)
			require.Equal(t, tt.text, string(r.output.data))
			require.Equal(t, tt.versions, r.output.versions)
		})
	}
}

// endlessEvents is a stream of valid events that never ends.
type endlessEvents struct {
	next    int
	pending []byte
}

func (e *endlessEvents) Read(p []byte) (int, error) {
	if len(e.pending) == 0 {
		e.next++
		e.pending = []byte("id: " + strconv.Itoa(e.next) + "\ndata: x\n\n")
	}
	n := copy(p, e.pending)
	e.pending = e.pending[n:]
	return n, nil
}

// endlessLines is an event that never ends.
type endlessLines struct{}

func (endlessLines) Read(p []byte) (int, error) {
	return copy(p, "data: more of the same event\n"), nil
}

// TestLongGarbageInEvents guards against log lines as long as what an engine in trouble sends.
func TestLongGarbageInEvents(t *testing.T) {
	r := &run{headers: protocol.Headers{WeightVersions: "X-Weight-Versions"}, job: &batch.Job{}, item: &batch.Item{ID: "i"}, output: &output{}}
	for _, name := range []string{"id", "x-weight-versions"} {
		stream := strings.NewReader(name + ": " + strings.Repeat("x", 100_000) + "\n\n")
		require.Equal(t, outcomeInterrupted, r.readEvents(t.Context(), stream, time.NewTimer(time.Hour)))
		require.Less(t, len(r.reason), 1000)
	}
}

// largeEvents is a stream of valid events of 64 KiB that never ends.
func largeEvents() io.Reader {
	n := 0
	var pending []byte
	return readerFunc(func(p []byte) (int, error) {
		if len(pending) == 0 {
			n++
			pending = []byte("id: " + strconv.Itoa(n) + "\ndata: " + strings.Repeat("x", 64<<10) + "\n\n")
		}
		copied := copy(p, pending)
		pending = pending[copied:]
		return copied, nil
	})
}

// TestReadEndlessStream asserts that a stream without end is given up, although its
// engine keeps sending, and that none of it is kept.
func TestReadEndlessStream(t *testing.T) {
	tests := []struct {
		name   string
		stream io.Reader
		reason string
	}{
		{"events", &endlessEvents{}, "more events than the item has tokens"},
		{"one event", endlessLines{}, "event is longer than"},
		{"empty lines of one event", readerFunc(func(p []byte) (int, error) { return copy(p, "data:\n"), nil }), "event is longer than"},
		{"large events", largeEvents(), "longer than the store accepts"},
		{"one line", readerFunc(func(p []byte) (int, error) { return copy(p, strings.Repeat("x", len(p))), nil }), "buffer full"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := &run{headers: protocol.Headers{}, job: &batch.Job{}, item: &batch.Item{ID: "i", ExpectedTokens: 500}, output: &output{}, maxOutput: 2 * maxEventBytes}
			watchdog := time.NewTimer(time.Hour)
			defer watchdog.Stop()
			done := make(chan outcome, 1)
			go func() { done <- r.readEvents(t.Context(), tt.stream, watchdog) }()
			select {
			case o := <-done:
				require.Equal(t, outcomeInterrupted, o)
				require.Contains(t, r.reason, tt.reason)
				require.Empty(t, r.output.data)
			case <-time.After(20 * time.Second):
				t.Fatal("the stream is still being read")
			}
		})
	}
}

// readerFunc is a function that implements io.Reader.
type readerFunc func(p []byte) (int, error)

func (f readerFunc) Read(p []byte) (int, error) { return f(p) }
