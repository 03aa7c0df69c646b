package scheduler

import (
	"io"
	"strconv"
	"strings"
	"testing"
	"time"

	"cactusspoke/internal/batch"
	"cactusspoke/internal/kv"
	"cactusspoke/internal/kv/kvtest"
	"cactusspoke/internal/protocol"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// encodeEvents returns the events after the first n as a stream of text/event-stream.
func encodeEvents(t *rapid.T, data []string, n int) string {
	lineEnd := rapid.SampledFrom([]string{"\n", "\r\n"}).Draw(t, "line end")
	var b strings.Builder
	for i := n; i < len(data); i++ {
		b.WriteString("id: " + strconv.Itoa(i+1) + lineEnd)
		for _, line := range strings.Split(data[i], "\n") {
			b.WriteString("data: " + line + lineEnd)
		}
		b.WriteString(lineEnd)
	}
	return b.String()
}

// TestTextOfEvents guards against a text that is not the data of all events, separated by line
// feeds: through streams that break off anywhere, resumptions and checkpoints (review/15).
func TestTextOfEvents(t *testing.T) {
	fence := kv.Condition{Key: "fence"}
	rapid.Check(t, func(t *rapid.T) {
		data := rapid.SliceOfN(rapid.StringOf(rapid.RuneFrom([]rune("a \n:é"))), 1, 6).Draw(t, "data")
		jobs := batch.NewJobStore(kvtest.New(1, kvtest.Faults{}).Client(), 1<<20)
		got := &output{}
		for complete := false; !complete; {
			stream := encodeEvents(t, data, got.events)
			end := rapid.IntRange(0, len(stream)).Draw(t, "end")
			var reader io.Reader = strings.NewReader(stream)
			if complete = end == len(stream); !complete {
				reader = cutOff{strings.NewReader(stream[:end])}
			}
			r := &run{headers: protocol.Headers{}, job: &batch.Job{}, item: &batch.Item{ID: "i"}, version: 5, output: got}
			want := outcomeInterrupted
			if complete {
				want = outcomeComplete
			}
			require.Equal(t, want, r.readEvents(t.Context(), reader, time.NewTimer(time.Hour)), r.reason)
			if got.events > 0 && rapid.Bool().Draw(t, "checkpoint") {
				require.NoError(t, jobs.SavePartialResults(t.Context(), fence, map[string][]batch.PartialResult{"j": {{Item: "i", Text: got.data, Events: got.events}}}))
				partials, err := jobs.PartialResults(t.Context(), "j")
				require.NoError(t, err)
				got = &output{data: partials["i"].Text, events: partials["i"].Events}
			}
		}
		require.Equal(t, strings.Join(data, "\n"), string(got.data))
	})
}
