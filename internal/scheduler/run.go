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
	// maxLine bounds one line of an event in bytes.
	maxLine = 1 << 20
)

// text is what has been made of an item so far.
type text struct {
	data     []byte
	events   int
	versions []int64
	// version is the one under which the last event was made.
	version int64
}

func (t *text) note(version int64) {
	t.version = version
	for _, v := range t.versions {
		if v == version {
			return
		}
	}
	t.versions = append(t.versions, version)
}

func (t *text) add(version int64, data []byte) {
	if t.events > 0 {
		t.data = append(t.data, '\n')
	}
	t.data = append(t.data, data...)
	t.events++
	t.note(version)
}

// clone returns a copy that shares nothing.
func (t *text) clone() *text {
	c := *t
	c.data = bytes.Clone(t.data)
	c.versions = append([]int64(nil), t.versions...)
	return &c
}

// outcome is how a run of an item ended.
type outcome int

const (
	// outcomeWhole says that the text is complete.
	outcomeWhole outcome = iota
	// outcomeBroken says that the stream broke off; it may be resumed.
	outcomeBroken
	// outcomeNotRun says that the server refused it.
	outcomeNotRun
	// outcomeFailed says that the server ran it and failed.
	outcomeFailed
	// outcomeInvalid says that the item can never be done.
	outcomeInvalid
	// outcomeStale says that the server's weights are too old.
	outcomeStale
	// outcomeMoved says that another instance has the address.
	outcomeMoved
	// outcomeStopped says that the run was ended from here.
	outcomeStopped
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
	until    time.Time
	priority int
	// single wants all events made by one version.
	single bool
	// mu guards text while the run goes on.
	mu   sync.Mutex
	text *text
	// before is how many events the text had when the run began, and made how
	// many it has added.
	before int
	made   atomic.Int64
	// lastAt is the Unix nanosecond of the last event.
	lastAt atomic.Int64
	// gap is the moving average of the pause between events in nanoseconds.
	gap    atomic.Int64
	reason string
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
	add(r.headers.DeadlineMS, strconv.FormatInt(max(1, time.Until(r.until).Milliseconds()), 10))
	add(r.headers.Priority, strconv.Itoa(r.priority))
	if r.text.events > 0 {
		add(r.headers.LastEventID, strconv.Itoa(r.text.events))
	}
	return out
}

// do runs the item until its text is whole or the run has ended otherwise.
func (r *run) do(parent context.Context) outcome {
	ctx, cancel := context.WithCancel(parent)
	defer cancel()
	watchdog := time.AfterFunc(firstEventTimeout, cancel)
	defer watchdog.Stop()
	r.lastAt.Store(time.Now().UnixNano())
	response, err := r.client.Do(ctx, r.server.Address, r.request())
	if err != nil {
		r.reason = err.Error()
		if parent.Err() != nil {
			return outcomeStopped
		}
		return outcomeBroken
	}
	defer response.Close()
	if o, final := r.check(response); final {
		return o
	}
	o := r.read(response, watchdog)
	if o == outcomeBroken && parent.Err() != nil {
		return outcomeStopped
	}
	return o
}

// check looks at the headers of the engine's answer.
func (r *run) check(response *http1.Response) (outcome, bool) {
	status := response.Status()
	r.reason = "status " + strconv.Itoa(status)
	switch {
	case status == http.StatusMisdirectedRequest:
		return outcomeMoved, true
	case response.Header(r.headers.NotRun) != "":
		_, _ = response.ReadAll(maxLine)
		return outcomeNotRun, true
	case response.Header(r.headers.RequestID) != r.item.ID:
		r.reason = "answer to another request"
		return outcomeBroken, true
	case status == http.StatusUnprocessableEntity:
		return outcomeInvalid, true
	case status == http.StatusInternalServerError:
		return outcomeFailed, true
	case status != http.StatusOK:
		return outcomeBroken, true
	}
	version, err := strconv.ParseInt(strings.TrimSpace(response.Header(r.headers.WeightVersions)), 10, 64)
	if err != nil {
		r.reason = "answer without a version"
		return outcomeBroken, true
	}
	if version < r.job.MinVersion {
		r.reason = "weights of version " + strconv.FormatInt(version, 10)
		return outcomeStale, true
	}
	if r.text.events > 0 && r.single && version != r.text.version {
		r.reason = "weights have changed"
		*r.text = text{}
		return outcomeBroken, true
	}
	r.text.version = version
	return outcomeWhole, false
}

// read takes in the events of a stream.
func (r *run) read(response io.Reader, watchdog *time.Timer) outcome {
	reader := bufio.NewReaderSize(response, 2048)
	version := r.text.version
	id := 0
	var data []byte
	started := false
	for {
		line, err := readLine(reader)
		if err != nil {
			if errors.Is(err, io.EOF) && !started && r.text.events > 0 {
				return outcomeWhole
			}
			r.reason = err.Error()
			return outcomeBroken
		}
		if len(line) == 0 {
			if !started {
				continue
			}
			if id != r.text.events+1 {
				r.reason = "event " + strconv.Itoa(id) + " after " + strconv.Itoa(r.text.events)
				return outcomeBroken
			}
			if r.single && r.text.events > 0 && version != r.text.version {
				r.reason = "weights have changed"
				*r.text = text{}
				return outcomeBroken
			}
			if version < r.job.MinVersion {
				r.reason = "weights went back to version " + strconv.FormatInt(version, 10)
				return outcomeStale
			}
			r.mu.Lock()
			r.text.add(version, data)
			r.mu.Unlock()
			r.progress(time.Now().UnixNano())
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
		case bytes.EqualFold(name, []byte(r.headers.WeightVersions)):
			version, err = strconv.ParseInt(string(value), 10, 64)
		}
		if err != nil {
			r.reason = "unreadable event: " + err.Error()
			return outcomeBroken
		}
		started = true
	}
}

// snapshot returns a copy of the text as it is now.
func (r *run) snapshot() *text {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.text.clone()
}

// progress notes an event. The first pause of a run holds the reading of its
// prompt and does not count.
func (r *run) progress(now int64) {
	if pause := now - r.lastAt.Swap(now); r.made.Add(1) > 1 {
		old := r.gap.Load()
		if old == 0 {
			old = pause
		}
		r.gap.Store(old + int64(speedShare*float64(pause-old)))
	}
}

// speed returns the run's milliseconds an event, the pause that goes on now
// included; 0 where too little is known.
func (r *run) speed(now time.Time) float64 {
	if r.made.Load() < measuredEvents {
		return 0
	}
	pause := r.gap.Load()
	if waited := now.UnixNano() - r.lastAt.Load(); waited > stalledPauses*pause {
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
	for errors.Is(err, bufio.ErrBufferFull) && len(long) < maxLine {
		line, err = reader.ReadSlice('\n')
		long = append(long, line...)
	}
	return bytes.TrimRight(long, "\r\n"), err
}
