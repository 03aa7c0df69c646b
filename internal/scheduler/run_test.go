package scheduler

import (
	"errors"
	"io"
	"strings"
	"testing"
	"time"

	"cactusspoke/internal/batch"
	"cactusspoke/internal/protocol"

	"github.com/stretchr/testify/require"
)

// cutOff ends a stream without its end.
type cutOff struct{ io.Reader }

func (c cutOff) Read(p []byte) (int, error) {
	n, err := c.Reader.Read(p)
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// TestRead asserts what is taken in of a stream, and how its end is judged.
func TestRead(t *testing.T) {
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
		{"whole", 0, false, one + two, false, outcomeWhole, "a\nb", []int64{5}},
		{"cut between events", 0, false, one, true, outcomeBroken, "a", []int64{5}},
		{"cut in the middle of an event", 0, false, one + "id: 2\nda", true, outcomeBroken, "a", []int64{5}},
		{"ended in the middle of an event", 0, false, one + "id: 2\ndata: b\n", false, outcomeBroken, "a", []int64{5}},
		{"nothing at all", 0, false, "", false, outcomeBroken, "", nil},
		{"an event is missing", 0, false, one + "id: 3\ndata: c\n\n", false, outcomeBroken, "a", []int64{5}},
		{"an event comes twice", 0, false, one + one, false, outcomeBroken, "a", []int64{5}},
		{"resumed", 1, false, two, false, outcomeWhole, "had\nb", []int64{4, 5}},
		{"resumed from the start", 1, false, one, false, outcomeBroken, "had", []int64{4}},
		{"the version changes", 0, false, one + "x-weight-versions: 6\n" + two, false, outcomeWhole, "a\nb", []int64{5, 6}},
		{"the version goes under the least", 0, false, one + "x-weight-versions: 2\n" + two, false, outcomeStale, "a", []int64{5}},
		{"one version only, and it changes", 0, true, one + "x-weight-versions: 6\n" + two, false, outcomeBroken, "", nil},
		{"data in two lines", 0, false, "id: 1\ndata: a\ndata: b\n\n", false, outcomeWhole, "a\nb", []int64{5}},
		{"unreadable id", 0, false, "id: x\ndata: a\n\n", false, outcomeBroken, "", nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := &run{headers: protocol.Headers{WeightVersions: "X-Weight-Versions"}, job: &batch.Job{MinVersion: 3}, item: &batch.Item{ID: "i"}, single: tt.single, text: &text{}}
			if tt.had > 0 {
				r.text.add(4, []byte("had"))
			}
			r.text.version = 5
			var stream io.Reader = strings.NewReader(tt.stream)
			if tt.cut {
				stream = cutOff{stream}
			}
			watchdog := time.NewTimer(time.Minute)
			defer watchdog.Stop()
			require.Equal(t, tt.want, r.read(stream, watchdog), r.reason)
			require.Equal(t, tt.text, string(r.text.data))
			require.Equal(t, tt.versions, r.text.versions)
		})
	}
}
