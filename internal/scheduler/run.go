package scheduler

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"cactusspoke/internal/batch"
	"cactusspoke/internal/http1"
	"cactusspoke/internal/pool"
	"cactusspoke/internal/protocol"
)

const (
	// firstEventTimeout bounds the wait for a text's first event: prompts are
	// read in some milliseconds, an engine that loads refuses.
	firstEventTimeout = 1200 * time.Millisecond
	// eventTimeout bounds the pause between two events; a slow engine takes
	// some 200 ms, a preempted text somewhat longer.
	eventTimeout = 700 * time.Millisecond
	// maxLineBytes bounds one line of an event in bytes.
	maxLineBytes = 1 << 20
)

// output is what has been made of an item so far.
type output struct {
	data     []byte
	events   int
	versions []int64
	// version is the one under which the last event was made.
	version int64
}

func (t *output) addVersion(version int64) {
	t.version = version
	for _, v := range t.versions {
		if v == version {
			return
		}
	}
	t.versions = append(t.versions, version)
}

func (t *output) addEvent(version int64, data []byte) {
	if t.events > 0 {
		t.data = append(t.data, '\n')
	}
	t.data = append(t.data, data...)
	t.events++
	t.addVersion(version)
}

// clone returns a copy that shares nothing.
func (t *output) clone() *output {
	c := *t
	c.data = bytes.Clone(t.data)
	c.versions = append([]int64(nil), t.versions...)
	return &c
}

// outcome is how a run of an item ended.
type outcome int

const (
	// outcomeComplete says that the text is complete.
	outcomeComplete outcome = iota
	// outcomeInterrupted says that the stream broke off; it may be resumed.
	outcomeInterrupted
	// outcomeRefused says that the server refused it.
	outcomeRefused
	// outcomeFailed says that the server ran it and failed.
	outcomeFailed
	// outcomeInvalid says that the item can never be done.
	outcomeInvalid
	// outcomeStale says that the server's weights are too old.
	outcomeStale
	// outcomeMisdirected says that another instance has the address.
	outcomeMisdirected
	// outcomeCanceled says that the run was ended from here.
	outcomeCanceled
)

var outcomeNames = []string{"whole", "broken", "not-run", "failed", "invalid", "stale", "moved", "stopped"}

// String returns the outcome's name in logs and figures.
func (o outcome) String() string { return outcomeNames[o] }

// run is one run of an item at a server. Its text is the runner's until it
// has ended.
type run struct {
	headers  protocol.Headers
	client   *http1.Client
	job      *batch.Job
	item     *batch.Item
	server   pool.Server
	deadline time.Time
	priority int
	// singleVersion wants all events made by one version.
	singleVersion bool
	// mu guards text while the run goes on.
	mu     sync.Mutex
	output *output
	// resumedEvents is how many events the text had when the run began, and made how
	// many it has added.
	resumedEvents int
	newEvents     atomic.Int64
	// lastEventAt is the Unix nanosecond of the last event.
	lastEventAt atomic.Int64
	// meanInterval is the moving average of the pause between events in nanoseconds.
	meanInterval atomic.Int64
	reason       string
}

// request builds what the engine gets.
func (r *run) request() *http1.Request {
	out := &http1.Request{Method: http.MethodPost, URI: r.item.Path, Host: r.job.Host, Body: r.item.Body}
	if out.Body == nil {
		out.Body = []byte{}
	}
	out.Headers = append(out.Headers, r.item.Headers...)
	add := func(name, value string) { out.Headers = append(out.Headers, http1.Header{Name: name, Value: value}) }
	add(r.headers.RequestID, r.item.ID)
	add(r.headers.ExpectInstance, r.server.ID)
	if r.job.Customer != "" {
		add(r.headers.Customer, r.job.Customer)
	}
	add(r.headers.DeadlineMS, strconv.FormatInt(max(1, time.Until(r.deadline).Milliseconds()), 10))
	add(r.headers.Priority, strconv.Itoa(r.priority))
	if r.output.events > 0 {
		add(r.headers.LastEventID, strconv.Itoa(r.output.events))
	}
	return out
}

// execute runs the item until its text is whole or the run has ended otherwise.
func (r *run) execute(parent context.Context) outcome {
	ctx, cancel := context.WithCancel(parent)
	defer cancel()
	watchdog := time.AfterFunc(firstEventTimeout, cancel)
	defer watchdog.Stop()
	r.lastEventAt.Store(time.Now().UnixNano())
	response, err := r.client.Do(ctx, r.server.Address, r.request())
	if err != nil {
		r.reason = err.Error()
		if parent.Err() != nil {
			return outcomeCanceled
		}
		return outcomeInterrupted
	}
	defer response.Close()
	if o, final := r.checkHeaders(response); final {
		return o
	}
	o := r.readEvents(response, watchdog)
	if o == outcomeInterrupted && parent.Err() != nil {
		return outcomeCanceled
	}
	return o
}

// checkHeaders looks at the headers of the engine's answer.
func (r *run) checkHeaders(response *http1.Response) (outcome, bool) {
	status := response.Status()
	r.reason = "status " + strconv.Itoa(status)
	switch {
	case status == http.StatusMisdirectedRequest:
		return outcomeMisdirected, true
	case response.Get(r.headers.NotRun) != "":
		_, _ = response.ReadAll(maxLineBytes)
		return outcomeRefused, true
	case response.Get(r.headers.RequestID) != r.item.ID:
		r.reason = "answer to another request"
		return outcomeInterrupted, true
	case status == http.StatusUnprocessableEntity:
		return outcomeInvalid, true
	case status == http.StatusInternalServerError:
		return outcomeFailed, true
	case status != http.StatusOK:
		return outcomeInterrupted, true
	}
	version, err := strconv.ParseInt(strings.TrimSpace(response.Get(r.headers.Versions)), 10, 64)
	if err != nil {
		r.reason = "answer without a version"
		return outcomeInterrupted, true
	}
	if version < r.job.MinVersion {
		r.reason = "weights of version " + strconv.FormatInt(version, 10)
		return outcomeStale, true
	}
	if r.output.events > 0 && r.singleVersion && version != r.output.version {
		r.reason = "weights have changed"
		*r.output = output{}
		return outcomeInterrupted, true
	}
	r.output.version = version
	return outcomeComplete, false
}

// readEvents takes in the events of a stream.
func (r *run) readEvents(response io.Reader, watchdog *time.Timer) outcome {
	reader := bufio.NewReaderSize(response, 2048)
	version := r.output.version
	id := 0
	var data []byte
	started := false
	for {
		line, err := readLine(reader)
		if err != nil {
			if errors.Is(err, io.EOF) && !started && r.output.events > 0 {
				return outcomeComplete
			}
			r.reason = err.Error()
			return outcomeInterrupted
		}
		if len(line) == 0 {
			if !started {
				continue
			}
			if id != r.output.events+1 {
				r.reason = "event " + strconv.Itoa(id) + " after " + strconv.Itoa(r.output.events)
				return outcomeInterrupted
			}
			if r.singleVersion && r.output.events > 0 && version != r.output.version {
				r.reason = "weights have changed"
				*r.output = output{}
				return outcomeInterrupted
			}
			if version < r.job.MinVersion {
				r.reason = "weights went back to version " + strconv.FormatInt(version, 10)
				return outcomeStale
			}
			r.mu.Lock()
			r.output.addEvent(version, data)
			r.mu.Unlock()
			r.recordEvent(time.Now().UnixNano())
			watchdog.Reset(eventTimeout)
			started, data, id = false, data[:0], 0
			continue
		}
		name, value, _ := bytes.Cut(line, []byte(":"))
		value = bytes.TrimPrefix(value, []byte(" "))
		switch {
		case bytes.Equal(name, []byte("data")):
			if len(data) > 0 {
				data = append(data, '\n')
			}
			data = append(data, value...)
		case bytes.Equal(name, []byte("id")):
			id, err = strconv.Atoi(string(value))
		case bytes.EqualFold(name, []byte(r.headers.Versions)):
			version, err = strconv.ParseInt(string(value), 10, 64)
		}
		if err != nil {
			r.reason = "unreadable event: " + err.Error()
			return outcomeInterrupted
		}
		started = true
	}
}

// snapshot returns a copy of the text as it is now.
func (r *run) snapshot() *output {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.output.clone()
}

// recordEvent notes an event. The first pause of a run holds the reading of its
// prompt and does not count.
func (r *run) recordEvent(now int64) {
	if pause := now - r.lastEventAt.Swap(now); r.newEvents.Add(1) > 1 {
		old := r.meanInterval.Load()
		if old == 0 {
			old = pause
		}
		r.meanInterval.Store(old + int64(latencySmoothing*float64(pause-old)))
	}
}

// msPerEvent returns the run's milliseconds an event, the pause that goes on now
// included; 0 where too little is known.
func (r *run) msPerEvent(now time.Time) float64 {
	if r.newEvents.Load() < minMeasuredEvents {
		return 0
	}
	pause := r.meanInterval.Load()
	if waited := now.UnixNano() - r.lastEventAt.Load(); waited > stallFactor*pause {
		pause = waited
	}
	return float64(pause) / float64(time.Millisecond)
}

// readLine returns a line without its end; a line that is cut off is an error.
func readLine(reader *bufio.Reader) ([]byte, error) {
	line, err := reader.ReadSlice('\n')
	if err == nil {
		return bytes.TrimRight(line, "\r\n"), nil
	}
	if !errors.Is(err, bufio.ErrBufferFull) {
		if errors.Is(err, io.EOF) && len(line) > 0 {
			return nil, io.ErrUnexpectedEOF
		}
		return nil, err
	}
	long := bytes.Clone(line)
	for errors.Is(err, bufio.ErrBufferFull) && len(long) < maxLineBytes {
		line, err = reader.ReadSlice('\n')
		long = append(long, line...)
	}
	return bytes.TrimRight(long, "\r\n"), err
}
