package scheduler

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"cactusspoke/internal/batch"
	"cactusspoke/internal/http1"
	"cactusspoke/internal/memory"
	"cactusspoke/internal/pool"
	"cactusspoke/internal/prefill"
	"cactusspoke/internal/protocol"
)

const (
	// firstEventTimeout bounds the wait for the first event. Prefill takes some
	// milliseconds, and an engine that is loading weights refuses the request.
	firstEventTimeout = 1200 * time.Millisecond
	// minEventTimeout bounds the interval between two events, and firstEventTimeout the
	// wait for the first one, unless the engine is expected to be slower.
	minEventTimeout = 700 * time.Millisecond
	// stallRatio is how many times longer than expected an event may take.
	stallRatio = 8
	// maxTimeoutDoublings limits how often the timeout is doubled for an item whose
	// runs were cut although their engines sent events.
	maxTimeoutDoublings = 3
	// maxLineBytes bounds one line of an event stream.
	maxLineBytes = 1 << 20
	// maxEventBytes bounds the data of one event.
	maxEventBytes = 1 << 20
	// eventBufferBytes is the size of the read buffer of an event stream.
	eventBufferBytes = 2048
	// maxReasonBytes bounds what is logged of an event that is invalid.
	maxReasonBytes = 128
	// accountStepBytes is the step in which a run takes memory for its output.
	accountStepBytes = 1 << 10
)

// output is the part of an item's output generated so far.
type output struct {
	data     []byte
	events   int
	versions []int64
	// version is the weight version of the last event.
	version int64
	// software is the software version of the server that generated the last event;
	// empty if there is none or it is not known.
	software string
}

// addVersion sets the current weight version and lists it if it is new.
func (t *output) addVersion(version int64) {
	t.version = version
	for _, v := range t.versions {
		if v == version {
			return
		}
	}
	t.versions = append(t.versions, version)
}

// addEvent appends the data of an event.
func (t *output) addEvent(version int64, data []byte) {
	if t.events > 0 {
		t.data = append(t.data, '\n')
	}
	t.data = append(t.data, data...)
	t.events++
	t.addVersion(version)
}

// clone returns a deep copy.
func (t *output) clone() *output {
	c := *t
	c.data = bytes.Clone(t.data)
	c.versions = append([]int64(nil), t.versions...)
	return &c
}

// outcome is the result of a run.
type outcome int

const (
	// outcomeComplete means that the output is complete.
	outcomeComplete outcome = iota
	// outcomeInterrupted means that the stream broke off or was invalid; the output
	// may be resumed.
	outcomeInterrupted
	// outcomeRefused means that the server did not run the item.
	outcomeRefused
	// outcomeFailed means that the server ran the item and failed.
	outcomeFailed
	// outcomeInvalid means that the item can never succeed.
	outcomeInvalid
	// outcomeStale means that the server's weights are older than the job allows.
	outcomeStale
	// outcomeMisdirected means that the address belongs to another instance.
	outcomeMisdirected
	// outcomeCanceled means that the scheduler canceled the run.
	outcomeCanceled
)

var outcomeNames = []string{"whole", "broken", "not-run", "failed", "invalid", "stale", "moved", "stopped"}

// String returns the outcome's name in logs and metrics.
func (o outcome) String() string { return outcomeNames[o] }

// run is one run of an item on a server. Its output belongs to the run until the
// run has ended.
type run struct {
	headers protocol.Headers
	client  *http1.Client
	job     *batch.Job
	item    *batch.Item
	server  pool.Server
	// cold means that the server was cold when the run began.
	cold     bool
	deadline time.Time
	priority int
	// answered is called with the head of the response; it may be nil.
	answered func(*http1.Response)
	// eventTimeout bounds the interval between two events.
	eventTimeout time.Duration
	// singleVersion requires that all events come from one weight version.
	singleVersion bool
	// mu guards output during the run. The run, which alone changes it, reads it without mu.
	mu     sync.Mutex
	output *output
	// version is the weight version in the headers of the response.
	version int64
	// resumedEvents is the number of events in the output when the run began, and
	// newEvents the number added since.
	resumedEvents int
	newEvents     atomic.Int64
	// lastEventAt is the time of the last event in Unix nanoseconds.
	lastEventAt atomic.Int64
	// meanInterval is the moving average of the interval between events in
	// nanoseconds.
	meanInterval atomic.Int64
	reason       string
	// prefill is the prefill of the run at its engine; nil if the item states nothing of it.
	prefill *prefill.Running
	// timedOut means that the run was cut since an event took too long.
	timedOut bool
	// budget limits what all runs hold, and account is what this one does. Without a budget
	// both are nil.
	budget  *memory.Budget
	account *memory.Account
	// accounted is the number of bytes in account.
	accounted int
	// maxOutput is the maximum length of the output in bytes; 0 means no limit.
	maxOutput int
}

// hold takes memory for the output and n more bytes before they are read.
func (r *run) hold(ctx context.Context, n int) error {
	if r.maxOutput > 0 && len(r.output.data)+n > r.maxOutput {
		return errOutputTooLong
	}
	total := len(r.output.data) + n
	if r.account == nil || total <= r.accounted {
		return nil
	}
	total = (total + accountStepBytes - 1) / accountStepBytes * accountStepBytes
	if err := r.account.Resize(ctx, int64(total)); err != nil {
		return err
	}
	r.accounted = total
	return nil
}

// errOutputTooLong means that an output cannot be stored.
var errOutputTooLong = errors.New("output is longer than the store accepts")

// request builds the request to the engine. It resumes after the events in the
// output.
func (r *run) request() *http1.Request {
	out := &http1.Request{Method: http.MethodPost, URI: r.item.Path, Host: r.job.Host, Body: r.item.Body, Echo: r.headers.RequestID}
	if out.Body == nil {
		out.Body = []byte{}
	}
	out.Headers = append(out.Headers, forwardedHeaders(r.headers, r.item)...)
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

// forwardedHeaders returns the headers of an item that its request has. The others apply to a
// connection or are set by the scheduler, or an earlier version accepted them although they
// cannot be sent.
func forwardedHeaders(names protocol.Headers, item *batch.Item) []http1.Header {
	connection := ""
	for _, h := range item.Headers {
		if strings.EqualFold(h.Name, "Connection") {
			connection += "," + h.Value
		}
	}
	hopByHop := protocol.NewHopByHop(connection)
	var out []http1.Header
	for _, h := range item.Headers {
		if http1.ValidHeader(h) && !hopByHop.Has(h.Name) && !names.SetByScheduler(h.Name) {
			out = append(out, h)
		}
	}
	return out
}

// eventTimeoutFor returns the timeout of an item's next run on an engine with the
// given expected milliseconds per event. cuts is the number of its runs that ended
// by a timeout after some events: the engines may be slow but sound.
func eventTimeoutFor(msPerEvent float64, cuts int) time.Duration {
	expected := time.Duration(stallRatio * msPerEvent * float64(time.Millisecond))
	return max(minEventTimeout, expected) << min(cuts, maxTimeoutDoublings)
}

// execute runs the item until its output is complete or the run fails. The account of the run
// then holds the output.
func (r *run) execute(parent context.Context) outcome {
	ctx, cancel := context.WithCancel(parent)
	defer cancel()
	if r.budget == nil {
		return r.exchange(parent, ctx, cancel)
	}
	r.account = r.budget.Open(cancel)
	if err := r.hold(ctx, 0); err != nil {
		r.reason = err.Error()
		r.discardOutput()
		return outcomeCanceled
	}
	o := r.exchange(parent, ctx, cancel)
	if r.account.Evicted() {
		r.reason = memory.ErrExhausted.Error()
		r.discardOutput()
		o = outcomeInterrupted
	}
	_ = r.account.Resize(ctx, int64(len(r.output.data))) // a smaller account never fails
	return o
}

// exchange sends the request and reads the response. cancel ends ctx, which is derived from
// parent.
func (r *run) exchange(parent, ctx context.Context, cancel context.CancelFunc) outcome {
	watchdog := time.AfterFunc(max(firstEventTimeout, r.eventTimeout), cancel)
	defer watchdog.Stop()
	r.lastEventAt.Store(time.Now().UnixNano())
	response, err := r.client.Do(ctx, r.server.Address, r.request())
	if errors.Is(err, http1.ErrInvalidRequest) {
		r.reason = err.Error()
		return outcomeInvalid
	}
	if err != nil {
		r.reason = err.Error()
		if parent.Err() != nil {
			return outcomeCanceled
		}
		return outcomeInterrupted
	}
	defer response.Close()
	if r.answered != nil {
		r.answered(response)
	}
	if o, final := r.checkHeaders(response); final {
		return o
	}
	o := r.readEvents(ctx, response, watchdog)
	if o == outcomeInterrupted && parent.Err() != nil {
		return outcomeCanceled
	}
	r.timedOut = ctx.Err() != nil
	return o
}

// checkHeaders checks the response headers; it returns true if they end the run.
func (r *run) checkHeaders(response *http1.Response) (outcome, bool) {
	status := response.Status()
	r.reason = "status " + strconv.Itoa(status)
	switch {
	case status == http.StatusMisdirectedRequest:
		return outcomeMisdirected, true
	case response.Header(r.headers.NotRun) != "":
		_ = response.Drain(maxLineBytes)
		return outcomeRefused, true
	case status == http.StatusUnprocessableEntity:
		return outcomeInvalid, true
	case status == http.StatusInternalServerError:
		return outcomeFailed, true
	case status != http.StatusOK:
		return outcomeInterrupted, true
	}
	version, err := strconv.ParseInt(strings.TrimSpace(response.Header(r.headers.WeightVersions)), 10, 64)
	if err != nil {
		r.reason = "response lacks a weight version"
		return outcomeInterrupted, true
	}
	if version < r.job.MinVersion {
		r.reason = "weights too old: version " + strconv.FormatInt(version, 10)
		return outcomeStale, true
	}
	if r.output.events > 0 && r.singleVersion && version != r.output.version {
		r.reason = "weight version changed during the output"
		r.discardOutput()
		return outcomeInterrupted, true
	}
	r.version = version
	return outcomeComplete, false
}

// readEvents reads the events of a response into the output. An output that takes too much
// memory is discarded: the part before may be as wrong.
func (r *run) readEvents(ctx context.Context, response io.Reader, watchdog *time.Timer) outcome {
	reader := bufio.NewReaderSize(response, eventBufferBytes)
	version := r.version
	id := 0
	var data []byte
	hasData := false // data may be empty although the event has had a line of it
	started := false
	for {
		line, err := readLine(reader, func(n int) error { return r.hold(ctx, len(data)+n) })
		if errors.Is(err, errOutputTooLong) || errors.Is(err, memory.ErrExhausted) {
			r.reason = err.Error()
			r.discardOutput()
			return outcomeInterrupted
		}
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
				r.reason = "got event " + strconv.Itoa(id) + " after event " + strconv.Itoa(r.output.events)
				return outcomeInterrupted
			}
			if r.item.ExpectedTokens > 0 && id > r.item.ExpectedTokens {
				r.reason = "more events than the item has tokens"
				r.discardOutput()
				return outcomeInterrupted
			}
			if r.singleVersion && r.output.events > 0 && version != r.output.version {
				r.reason = "weight version changed during the output"
				r.discardOutput()
				return outcomeInterrupted
			}
			if version < r.job.MinVersion {
				r.reason = "weights reverted to version " + strconv.FormatInt(version, 10)
				return outcomeStale
			}
			r.addEvent(version, data)
			r.recordEvent(time.Now().UnixNano())
			if r.newEvents.Load() == 1 {
				r.prefill.FirstEvent(time.Now())
			}
			watchdog.Reset(r.eventTimeout)
			started, hasData, data, id = false, false, data[:0], 0
			continue
		}
		name, value, _ := bytes.Cut(line, []byte(":"))
		value = bytes.TrimPrefix(value, []byte(" "))
		switch {
		case len(name) == 0, bytes.Equal(name, []byte("event")), bytes.Equal(name, []byte("retry")):
			continue // a comment or a field without meaning here; other lines may be garbage
		case bytes.Equal(name, []byte("data")):
			if hasData {
				data = append(data, '\n')
			}
			hasData = true
			data = append(data, value...)
			if len(data) > maxEventBytes {
				r.reason = "event is longer than " + strconv.Itoa(maxEventBytes) + " bytes"
				return outcomeInterrupted
			}
		case bytes.Equal(name, []byte("id")):
			id, err = strconv.Atoi(string(value))
		case bytes.EqualFold(name, []byte(r.headers.WeightVersions)):
			version, err = strconv.ParseInt(string(value), 10, 64)
		}
		if err != nil {
			r.reason = fmt.Sprintf("invalid event: %.*s", maxReasonBytes, err.Error())
			return outcomeInterrupted
		}
		started = true
	}
}

// addEvent appends an event of the server to the output.
func (r *run) addEvent(version int64, data []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.output.addEvent(version, data)
	r.output.software = r.server.Software
}

// discardOutput makes the output empty, so that the next run starts over.
func (r *run) discardOutput() {
	r.mu.Lock()
	defer r.mu.Unlock()
	*r.output = output{}
}

// snapshot returns a copy of the current output.
func (r *run) snapshot() *output {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.output.clone()
}

// recordEvent records the arrival of an event. The first interval of a run is
// ignored, since it includes the prefill.
func (r *run) recordEvent(now int64) {
	if interval := now - r.lastEventAt.Swap(now); r.newEvents.Add(1) > 1 {
		mean := r.meanInterval.Load()
		if mean == 0 {
			mean = interval
		}
		r.meanInterval.Store(mean + int64(latencySmoothing*float64(interval-mean)))
	}
}

// msPerEvent returns the latency per event in milliseconds, or 0 before there
// are enough events. A stalled run reports its current wait.
func (r *run) msPerEvent(now time.Time) float64 {
	if r.newEvents.Load() < minMeasuredEvents {
		return 0
	}
	interval := r.meanInterval.Load()
	if waited := now.UnixNano() - r.lastEventAt.Load(); waited > stallFactor*interval {
		interval = waited
	}
	return float64(interval) / float64(time.Millisecond)
}

// readLine returns a line without its line ending. A truncated last line is an
// error. It calls hold before it keeps a line, with the length of what it has read of it.
func readLine(reader *bufio.Reader, hold func(n int) error) ([]byte, error) {
	line, err := reader.ReadSlice('\n')
	if holdErr := hold(len(line)); holdErr != nil {
		return nil, holdErr
	}
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
		if holdErr := hold(len(long) + len(line)); holdErr != nil {
			return nil, holdErr
		}
		long = append(long, line...)
	}
	return bytes.TrimRight(long, "\r\n"), err
}
