package lab

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"sort"
	"strings"
	"sync"
	"time"

	"cactusspoke/pkg/client"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/tidwall/gjson"
)

// Range and precision of the latency histograms.
const (
	minLatencyMicros  = 1
	maxLatencyMicros  = 120_000_000
	significantDigits = 3
)

// LoadOptions configures a load run.
type LoadOptions struct {
	Workload *Workload
	Entries  []string
	Keys     map[string]string
	Duration time.Duration
	// Scale multiplies the request rate of every stream.
	Scale float64
	Seed  uint64
}

// Latency summarizes a latency histogram in milliseconds.
type Latency struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50-ms"`
	P99   float64 `json:"p99-ms"`
	Max   float64 `json:"max-ms"`
}

// CustomerResult is the result of the requests of one customer.
type CustomerResult struct {
	Customer  string         `json:"customer"`
	Sent      int            `json:"sent"`
	Completed int            `json:"whole"`
	Tokens    int            `json:"tokens"`
	Outcomes  map[string]int `json:"outcomes"`
	FirstByte Latency        `json:"first-byte"`
	Total     Latency        `json:"total"`
}

// LoadResult is the result of a load run.
type LoadResult struct {
	Workload  string           `json:"workload"`
	Seconds   float64          `json:"seconds"`
	Seed      uint64           `json:"seed"`
	Sent      int              `json:"sent"`
	Completed int              `json:"whole"`
	RanTwice  int              `json:"ran-twice"`
	FirstByte Latency          `json:"first-byte"`
	Total     Latency          `json:"total"`
	Customers []CustomerResult `json:"customers"`
}

// Load generates an open-loop load: new requests do not wait for the responses to
// earlier ones, and latency is measured from the intended start time.
type Load struct {
	options LoadOptions
	clients map[string]*client.Client

	mu        sync.Mutex
	customers map[string]*customerStats
	firstByte *hdrhistogram.Histogram
	total     *hdrhistogram.Histogram
	ranTwice  int
}

type customerStats struct {
	result    CustomerResult
	firstByte *hdrhistogram.Histogram
	total     *hdrhistogram.Histogram
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(minLatencyMicros, maxLatencyMicros, significantDigits)
}

// NewLoad returns a load generator with one client for each customer.
func NewLoad(o LoadOptions) (*Load, error) {
	l := &Load{
		options: o, clients: map[string]*client.Client{}, customers: map[string]*customerStats{},
		firstByte: newHistogram(), total: newHistogram(),
	}
	for _, c := range o.Workload.Customers {
		cl, err := client.New(o.Entries, o.Keys[c.Name], "")
		if err != nil {
			return nil, err
		}
		l.clients[c.Name] = cl
		l.customers[c.Name] = &customerStats{
			result:    CustomerResult{Customer: c.Name, Outcomes: map[string]int{}},
			firstByte: newHistogram(), total: newHistogram(),
		}
	}
	return l, nil
}

// Run sends the load and waits for all responses.
func (l *Load) Run(ctx context.Context) LoadResult {
	startedAt := time.Now()
	var group sync.WaitGroup
	for i, s := range l.options.Workload.Streams {
		random := rand.New(rand.NewPCG(l.options.Seed, uint64(i)))
		group.Go(func() { l.sendStream(ctx, s, random, startedAt, &group) })
	}
	group.Wait()
	return l.result(time.Since(startedAt))
}

// sendStream sends the requests of one stream at exponentially distributed
// intervals.
func (l *Load) sendStream(ctx context.Context, s StreamLoad, random *rand.Rand, startedAt time.Time, group *sync.WaitGroup) {
	rate := s.Rate * l.options.Scale
	intended := startedAt
	for number := 0; ; number++ {
		intended = intended.Add(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
		if intended.Sub(startedAt) > l.options.Duration || ctx.Err() != nil {
			return
		}
		time.Sleep(time.Until(intended))
		customer := l.pickCustomer(random)
		request := l.newCall(s, random, number)
		intendedStart := intended
		group.Go(func() { l.send(ctx, s, customer, request, intendedStart) })
	}
}

// pickCustomer picks a random customer, weighted by its share of the load.
func (l *Load) pickCustomer(random *rand.Rand) string {
	sum := 0.0
	for _, c := range l.options.Workload.Customers {
		sum += c.Share
	}
	point := random.Float64() * sum
	for _, c := range l.options.Workload.Customers {
		point -= c.Share
		if point < 0 {
			return c.Name
		}
	}
	return l.options.Workload.Customers[0].Name
}

type chatWire struct {
	Model     string        `json:"model"`
	Messages  []messageWire `json:"messages"`
	MaxTokens int           `json:"max_tokens"`
	Stream    bool          `json:"stream"`
}

func (l *Load) newCall(s StreamLoad, random *rand.Rand, number int) client.Call {
	if s.Kind != "chat" {
		booking := fmt.Sprintf("%s-%d-%d", s.Service, l.options.Seed, number)
		data, err := json.Marshal(bookingWire{booking})
		if err != nil {
			panic(err)
		}
		call := client.NewCall(s.Method, "/v1/services/"+s.Service+s.Path, data)
		if s.Once {
			call = call.OnceWith(booking)
		}
		return call
	}
	prefix := fmt.Sprintf("prefix %d ", random.IntN(max(1, s.PrefixGroups)))
	prompt := strings.Repeat(prefix, 1+s.PrefixBytes/len(prefix)) + fmt.Sprintf("request %d", number)
	data, err := json.Marshal(chatWire{s.Service, []messageWire{{"user", prompt}}, s.MaxTokens, true})
	if err != nil {
		panic(err)
	}
	return client.NewCall("POST", "/v1/chat/completions", data)
}

// send sends a request and records its outcome and latency.
func (l *Load) send(ctx context.Context, s StreamLoad, customer string, call client.Call, intended time.Time) {
	if s.Kind == "chat" {
		l.sendChat(ctx, customer, call, intended)
		return
	}
	reply, err := l.clients[customer].Do(ctx, call)
	outcome := "failed"
	if err == nil {
		outcome = outcomeOf(reply.Status(), reply.Body())
		if gjson.GetBytes(reply.Body(), "runs").Int() > 1 {
			l.mu.Lock()
			l.ranTwice++
			l.mu.Unlock()
		}
	}
	now := time.Now()
	l.record(customer, outcome, 0, now.Sub(intended), now.Sub(intended))
}

func outcomeOf(status int, body []byte) string {
	if status < 300 {
		return "whole"
	}
	if kind := gjson.GetBytes(body, "error.kind").String(); kind != "" {
		return kind
	}
	return fmt.Sprintf("status-%d", status)
}

func (l *Load) sendChat(ctx context.Context, customer string, call client.Call, intended time.Time) {
	var first time.Time
	tokens := 0
	err := l.clients[customer].Stream(ctx, call, func([]byte) error {
		if first.IsZero() {
			first = time.Now()
		}
		tokens++
		return nil
	})
	outcome := "whole"
	var refused *client.RefusedError
	switch {
	case errors.As(err, &refused):
		outcome = outcomeOf(refused.Reply().Status(), refused.Reply().Body())
	case errors.Is(err, client.ErrTruncated):
		outcome = "truncated"
	case err != nil:
		outcome = "failed"
	}
	l.record(customer, outcome, tokens, first.Sub(intended), time.Since(intended))
}

func (l *Load) record(customer, outcome string, tokens int, first, total time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.customers[customer]
	c.result.Sent++
	c.result.Outcomes[outcome]++
	if outcome != "whole" {
		return
	}
	c.result.Completed++
	c.result.Tokens += tokens
	for _, h := range []*hdrhistogram.Histogram{l.firstByte, c.firstByte} {
		_ = h.RecordValue(max(1, first.Microseconds()))
	}
	for _, h := range []*hdrhistogram.Histogram{l.total, c.total} {
		_ = h.RecordValue(max(1, total.Microseconds()))
	}
}

func summarize(h *hdrhistogram.Histogram) Latency {
	const microsPerMilli = 1000
	return Latency{
		Count: h.TotalCount(), P50: float64(h.ValueAtQuantile(50)) / microsPerMilli,
		P99: float64(h.ValueAtQuantile(99)) / microsPerMilli, Max: float64(h.Max()) / microsPerMilli,
	}
}

func (l *Load) result(took time.Duration) LoadResult {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := LoadResult{
		Workload: l.options.Workload.Name, Seconds: took.Seconds(), Seed: l.options.Seed, RanTwice: l.ranTwice,
		FirstByte: summarize(l.firstByte), Total: summarize(l.total),
	}
	for _, c := range l.customers {
		c.result.FirstByte = summarize(c.firstByte)
		c.result.Total = summarize(c.total)
		out.Sent += c.result.Sent
		out.Completed += c.result.Completed
		out.Customers = append(out.Customers, c.result)
	}
	sort.Slice(out.Customers, func(i, j int) bool { return out.Customers[i].Customer < out.Customers[j].Customer })
	return out
}
