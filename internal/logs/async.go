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
	// queueLines is the maximum number of lines that wait for the output.
	queueLines = 2048
	// batchBytes is the size at which a batch of lines is written. A pipe accepts a
	// write of up to 4 KiB as a whole.
	batchBytes = 4 << 10
	// In each sampleInterval the first sampleFirst lines with the same message are
	// written, and then one in every sampleThereafter.
	sampleInterval   = time.Second
	sampleFirst      = 400
	sampleThereafter = 50
	// flushTimeout limits the time that a process waits at exit for its last lines.
	flushTimeout = 300 * time.Millisecond
)

// Writer writes lines to an output in the background and never blocks its callers.
// Lines that arrive while its queue is full are counted and dropped.
type Writer struct {
	lines chan []byte
	// flushes carries channels that are closed after the queue was written.
	flushes chan chan struct{}
	dropped atomic.Uint64
	sampled atomic.Uint64
}

// NewWriter starts a writer, which runs until the process ends.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{lines: make(chan []byte, queueLines), flushes: make(chan chan struct{})}
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

// Sync waits until the queued lines are written, but not longer than flushTimeout.
func (w *Writer) Sync() error {
	done := make(chan struct{})
	deadline := time.After(flushTimeout)
	select {
	case w.flushes <- done:
	case <-deadline:
		return nil
	}
	select {
	case <-done:
	case <-deadline:
	}
	return nil
}

// Dropped returns how many lines were lost because the queue was full or a write
// failed, and how many were left out by sampling.
func (w *Writer) Dropped() (lost, sampled uint64) { return w.dropped.Load(), w.sampled.Load() }

func (w *Writer) run(out io.Writer) {
	for {
		select {
		case line := <-w.lines:
			w.write(out, w.batch(line))
		case done := <-w.flushes:
			for len(w.lines) > 0 {
				w.write(out, w.batch(<-w.lines))
			}
			close(done)
		}
	}
}

// write writes lines to the output and counts those that were not written
// completely.
func (w *Writer) write(out io.Writer, lines []byte) {
	n, err := out.Write(lines)
	if err != nil {
		w.dropped.Add(uint64(bytes.Count(lines[n:], []byte("\n"))))
	}
}

// batch joins a line and the queued lines after it, up to about batchBytes.
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

// NewAsync returns a logger that writes JSON lines without blocking and limits how
// often per second it writes lines with the same message.
func NewAsync(level string, w *Writer) (*zap.Logger, error) {
	minLevel, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, Class.Wrap(err)
	}
	encoder := zap.NewProductionEncoderConfig()
	encoder.EncodeTime = zapcore.ISO8601TimeEncoder
	encoder.EncodeDuration = zapcore.MillisDurationEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(encoder), w, minLevel)
	countSampled := zapcore.SamplerHook(func(_ zapcore.Entry, decision zapcore.SamplingDecision) {
		if decision&zapcore.LogDropped != 0 {
			w.sampled.Add(1)
		}
	})
	return zap.New(zapcore.NewSamplerWithOptions(core, sampleInterval, sampleFirst, sampleThereafter, countSampled)), nil
}
