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

// blockedOutput is an output whose writes block until a channel is closed.
type blockedOutput struct{ unblock chan struct{} }

func (o blockedOutput) Write(p []byte) (int, error) {
	<-o.unblock
	return len(p), nil
}

// TestNeverBlocks asserts that a logger drops and counts lines while its output
// blocks.
func TestNeverBlocks(t *testing.T) {
	out := blockedOutput{make(chan struct{})}
	defer close(out.unblock)
	w := logs.NewWriter(out)
	log, err := logs.NewAsync("info", w)
	require.NoError(t, err)
	started := time.Now()
	for i := range 20000 {
		log.Info("message: " + strings.Repeat("x", i%300))
	}
	require.Less(t, time.Since(started), 5*time.Second)
	lost, _ := w.Dropped()
	require.Positive(t, lost)
}

type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (s *lockedBuffer) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.Write(p)
}

func (s *lockedBuffer) lines() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return strings.Count(s.b.String(), "\n")
}

// TestBoundedVolume asserts that a repeated message is sampled, and that Sync writes
// all lines that remain.
func TestBoundedVolume(t *testing.T) {
	out := &lockedBuffer{}
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

// partialOutput is an output that writes the first bytes of each write and then
// fails.
type partialOutput struct{ limit int }

func (o partialOutput) Write(p []byte) (int, error) {
	n := min(o.limit, len(p))
	return n, io.ErrShortWrite
}

// TestFailedWritesAreCounted asserts that lines which the output did not write
// completely are counted as dropped.
func TestFailedWritesAreCounted(t *testing.T) {
	w := logs.NewWriter(partialOutput{4})
	for range 10 {
		_, err := w.Write([]byte("line\n"))
		require.NoError(t, err)
	}
	require.NoError(t, w.Sync())
	lost, _ := w.Dropped()
	require.EqualValues(t, 10, lost)
}
