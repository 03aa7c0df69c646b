package lab

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"cactusspoke/internal/backendserver"
	"cactusspoke/internal/web"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cloudwego/hertz/pkg/protocol/sse"
	"github.com/google/uuid"
	"github.com/tidwall/gjson"
)

// CompareOptions set a comparison of two ways to one engine.
type CompareOptions struct {
	Direct, Through, Operators string
	Key, Service               string
	Streams, Tokens            int
	Rounds, Requests           int
}

// Way is what one way to the engine cost.
type Way struct {
	FirstByte Latency `json:"first-byte"`
	Total     Latency `json:"total"`
	Failed    int     `json:"failed"`
}

// CompareResult is the outcome of a comparison.
type CompareResult struct {
	Streams         int     `json:"streams"`
	Requests        int     `json:"requests"`
	Chunks          int     `json:"chunks"`
	Direct          Way     `json:"direct"`
	Through         Way     `json:"through"`
	AddedFirstP50   float64 `json:"added-first-byte-p50-ms"`
	AddedFirstP99   float64 `json:"added-first-byte-p99-ms"`
	CPUPerRequestUS float64 `json:"entry-cpu-us-per-request"`
	RequestsPerCore float64 `json:"requests-per-core-second"`
	AllocsPerChunk  float64 `json:"entry-allocations-per-chunk"`
}

type wayRecord struct {
	mu           sync.Mutex
	first, total *hdrhistogram.Histogram
	chunks       int
	failed       int
}

func newWayRecord() *wayRecord { return &wayRecord{first: newHistogram(), total: newHistogram()} }

func (w *wayRecord) way() Way {
	return Way{summarise(w.first), summarise(w.total), w.failed}
}

// Compare asks the engine directly and through the entry instance, a round of
// each in turn, so that what else the machine does falls on both. One round of
// each opens the connections before anything is recorded.
func Compare(ctx context.Context, o CompareOptions) (CompareResult, error) {
	http, err := web.NewClient(0)
	if err != nil {
		return CompareResult{}, err
	}
	direct, through := newWayRecord(), newWayRecord()
	used := processUse{}
	o.round(ctx, http, o.Direct, newWayRecord())
	o.round(ctx, http, o.Through, newWayRecord())
	for range o.Rounds {
		o.round(ctx, http, o.Direct, direct)
		before, err := readUse(ctx, http, o.Operators)
		if err != nil {
			return CompareResult{}, err
		}
		o.round(ctx, http, o.Through, through)
		after, err := readUse(ctx, http, o.Operators)
		if err != nil {
			return CompareResult{}, err
		}
		used.cpuMS += after.cpuMS - before.cpuMS
		used.mallocs += after.mallocs - before.mallocs
	}
	return o.result(direct, through, used), nil
}

func (o CompareOptions) result(direct, through *wayRecord, used processUse) CompareResult {
	r := CompareResult{
		Streams: o.Streams, Requests: int(through.total.TotalCount()), Chunks: through.chunks,
		Direct: direct.way(), Through: through.way(),
	}
	const microsPerMilli, millisPerSecond = 1000, 1000
	r.AddedFirstP50 = r.Through.FirstByte.P50 - r.Direct.FirstByte.P50
	r.AddedFirstP99 = r.Through.FirstByte.P99 - r.Direct.FirstByte.P99
	r.CPUPerRequestUS = float64(used.cpuMS) * microsPerMilli / float64(max(1, r.Requests))
	r.RequestsPerCore = float64(r.Requests) * millisPerSecond / float64(max(1, used.cpuMS))
	r.AllocsPerChunk = float64(used.mallocs) / float64(max(1, r.Chunks))
	return r
}

type processUse struct{ cpuMS, mallocs int64 }

func readUse(ctx context.Context, http *web.Client, operators string) (processUse, error) {
	reply, err := http.Do(ctx, web.NewRequest("GET", "http://"+operators+"/metrics"))
	if err != nil {
		return processUse{}, Class.Wrap(err)
	}
	return processUse{
		cpuMS:   gjson.GetBytes(reply.Body(), "process-cpu-ms.value").Int(),
		mallocs: gjson.GetBytes(reply.Body(), "process-allocations.value").Int(),
	}, nil
}

// spread is the time over which the streams of a round begin, so that they are
// open together but do not all arrive in one instant.
const spread = 400 * time.Millisecond

func (o CompareOptions) round(ctx context.Context, http *web.Client, address string, record *wayRecord) {
	var group sync.WaitGroup
	for stream := range o.Streams {
		group.Go(func() {
			time.Sleep(spread * time.Duration(stream) / time.Duration(o.Streams))
			for number := range o.Requests {
				o.one(ctx, http, address, fmt.Sprintf("stream %d request %d", stream, number), record)
			}
		})
	}
	group.Wait()
}

func (o CompareOptions) one(ctx context.Context, http *web.Client, address, prompt string, record *wayRecord) {
	body, err := json.Marshal(chatWire{o.Service, []messageWire{{"user", prompt}}, o.Tokens, true})
	if err != nil {
		panic(err)
	}
	startedAt := time.Now()
	request := web.NewRequest("POST", "http://"+address+"/v1/chat/completions").WithBody("application/json", body).
		WithHeader(backendserver.HeaderRequestID, uuid.NewString())
	if address == o.Through {
		request.WithHeader("Authorization", "Bearer "+o.Key)
	}
	first, chunks, err := read(ctx, http, request)
	record.mu.Lock()
	defer record.mu.Unlock()
	record.chunks += chunks
	if err != nil {
		record.failed++
		return
	}
	_ = record.first.RecordValue(max(1, first.Sub(startedAt).Microseconds()))
	_ = record.total.RecordValue(max(1, time.Since(startedAt).Microseconds()))
}

// read reads a stream to its end.
func read(ctx context.Context, http *web.Client, request *web.Request) (first time.Time, chunks int, err error) {
	stream, err := http.Open(ctx, request)
	if err != nil {
		return first, 0, Class.Wrap(err)
	}
	reader, err := sse.NewReader(stream.Response())
	if err != nil {
		stream.Abort()
		return first, 0, Class.Wrap(err)
	}
	event := sse.NewEvent()
	defer event.Release()
	for {
		if err := reader.Read(event); err != nil {
			stream.Abort()
			return first, chunks, Class.Wrap(err)
		}
		if chunks == 0 {
			first = time.Now()
		}
		chunks++
		if string(event.Data) == backendserver.EndOfStream {
			stream.Close()
			return first, chunks, nil
		}
	}
}
