package logs

import (
	"bytes"
	"io"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	// queuedLines bounds the lines that wait for a slow reader of the output.
	queuedLines = 2048
	// batchBytes bounds one write to the output: a pipe takes that much whole.
	batchBytes = 4 << 10
	// sampleTick, sampleFirst and sampleEach bound how often one message is
	// written: the first in each tick, and then one in each so many.
	sampleTick  = time.Second
	sampleFirst = 400
	sampleEach  = 50
	// flushTimeout bounds the wait for the last lines of a process.
	flushTimeout = 300 * time.Millisecond
)

// Writer passes lines on to an output and never blocks its callers. Lines
// that find it full are counted and dropped.
type Writer struct {
	lines   chan []byte
	idle    chan chan struct{}
	dropped atomic.Uint64
	sampled atomic.Uint64
}

// NewWriter returns a writer to an output.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{lines: make(chan []byte, queuedLines), idle: make(chan chan struct{})}
	go w.run(out)
	return w
}

// Write queues a line.
func (w *Writer) Write(p []byte) (int, error) {
	select {
	case w.lines <- bytes.Clone(p):
	default:
		w.dropped.Add(1)
	}
	return len(p), nil
}

// Sync waits until what was queued is written, for a short time at most.
func (w *Writer) Sync() error {
	done := make(chan struct{})
	deadline := time.After(flushTimeout)
	select {
	case w.idle <- done:
	case <-deadline:
		return nil
	}
	select {
	case <-done:
	case <-deadline:
	}
	return nil
}

// Dropped returns how many lines found the writer full, and how many were
// left out because the same message had been written often.
func (w *Writer) Dropped() (full, sampled uint64) { return w.dropped.Load(), w.sampled.Load() }

func (w *Writer) run(out io.Writer) {
	for {
		select {
		case line := <-w.lines:
			w.write(out, w.batch(line))
		case done := <-w.idle:
			for len(w.lines) > 0 {
				w.write(out, w.batch(<-w.lines))
			}
			close(done)
		}
	}
}

// write writes lines to the output and counts those that did not get there
// whole.
func (w *Writer) write(out io.Writer, lines []byte) {
	n, err := out.Write(lines)
	if err != nil {
		w.dropped.Add(uint64(bytes.Count(lines[n:], []byte("\n"))))
	}
}

// batch joins the lines that wait into one write.
func (w *Writer) batch(first []byte) []byte {
	batch := first
	for len(batch) < batchBytes {
		select {
		case line := <-w.lines:
			batch = append(batch, line...)
		default:
			return batch
		}
	}
	return batch
}

// NewAsync returns a log of JSON lines that never blocks and writes each
// message a bounded number of times a second.
func NewAsync(level string, w *Writer) (*zap.Logger, error) {
	parsed, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, Class.Wrap(err)
	}
	encoder := zap.NewProductionEncoderConfig()
	encoder.EncodeTime = zapcore.ISO8601TimeEncoder
	encoder.EncodeDuration = zapcore.MillisDurationEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(encoder), w, parsed)
	count := zapcore.SamplerHook(func(_ zapcore.Entry, decision zapcore.SamplingDecision) {
		if decision&zapcore.LogDropped != 0 {
			w.sampled.Add(1)
		}
	})
	return zap.New(zapcore.NewSamplerWithOptions(core, sampleTick, sampleFirst, sampleEach, count)), nil
}
