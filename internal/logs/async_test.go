package logs_test

import (
	"bytes"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"cactusspoke/internal/logs"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
)

// stuck is an output that nobody reads.
type stuck struct{ block chan struct{} }

func (s stuck) Write(p []byte) (int, error) {
	<-s.block
	return len(p), nil
}

// TestNeverBlocks asserts that a log whose output is stuck drops and counts.
func TestNeverBlocks(t *testing.T) {
	out := stuck{make(chan struct{})}
	defer close(out.block)
	w := logs.NewWriter(out)
	log, err := logs.NewAsync("info", w)
	require.NoError(t, err)
	started := time.Now()
	for i := range 20000 {
		log.Info("many: " + strings.Repeat("x", i%300))
	}
	require.Less(t, time.Since(started), 5*time.Second)
	full, _ := w.Dropped()
	require.Positive(t, full)
}

type safeBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (s *safeBuffer) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.Write(p)
}

func (s *safeBuffer) lines() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return strings.Count(s.b.String(), "\n")
}

// TestBoundedVolume asserts that one message cannot fill the output, and that
// the last lines are written at the end.
func TestBoundedVolume(t *testing.T) {
	out := &safeBuffer{}
	w := logs.NewWriter(out)
	log, err := logs.NewAsync("info", w)
	require.NoError(t, err)
	for range 4000 {
		log.Info("request: refused", zap.String("id", "x"))
	}
	require.NoError(t, log.Sync())
	_, sampled := w.Dropped()
	require.Positive(t, sampled)
	require.Equal(t, 4000-int(sampled), out.lines())
}

// short is an output that takes a part of each write and fails.
type short struct{ takes int }

func (s short) Write(p []byte) (int, error) {
	n := min(s.takes, len(p))
	return n, io.ErrShortWrite
}

// TestFailedWritesAreCounted asserts that lines which the output did not take
// are not lost in silence.
func TestFailedWritesAreCounted(t *testing.T) {
	w := logs.NewWriter(short{4})
	for range 10 {
		_, err := w.Write([]byte("line\n"))
		require.NoError(t, err)
	}
	require.NoError(t, w.Sync())
	full, _ := w.Dropped()
	require.EqualValues(t, 10, full)
}
