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

// CompareOptions configures a comparison of direct requests to an engine with
// requests through an entry instance.
type CompareOptions struct {
	DirectAddress, EntryAddress, OperatorsAddress string
	Key, Service                                  string
	Streams, Tokens                               int
	Rounds, Requests                              int
}

// PathResult holds the latencies and failures of one path to the engine.
type PathResult struct {
	FirstByte Latency `json:"first-byte"`
	Total     Latency `json:"total"`
	Failed    int     `json:"failed"`
}

// CompareResult is the result of a comparison. The added latencies, the CPU time and
// the allocations are those of the entry instance.
type CompareResult struct {
	Streams           int        `json:"streams"`
	Requests          int        `json:"requests"`
	Chunks            int        `json:"chunks"`
	Direct            PathResult `json:"direct"`
	ThroughEntry      PathResult `json:"through"`
	AddedFirstByteP50 float64    `json:"added-first-byte-p50-ms"`
	AddedFirstByteP99 float64    `json:"added-first-byte-p99-ms"`
	CPUPerRequestUS   float64    `json:"entry-cpu-us-per-request"`
	RequestsPerCore   float64    `json:"requests-per-core-second"`
	AllocsPerChunk    float64    `json:"entry-allocations-per-chunk"`
}

type pathStats struct {
	mu           sync.Mutex
	first, total *hdrhistogram.Histogram
	chunks       int
	failed       int
}

func newPathStats() *pathStats { return &pathStats{first: newHistogram(), total: newHistogram()} }

func (w *pathStats) result() PathResult {
	return PathResult{summarize(w.first), summarize(w.total), w.failed}
}

// Compare sends requests to the engine directly and through the entry instance. It
// alternates rounds of each path, so that other load on the machine affects both.
// An unrecorded round of each opens the connections first.
func Compare(ctx context.Context, o CompareOptions) (CompareResult, error) {
	http, err := web.NewClient(0)
	if err != nil {
		return CompareResult{}, err
	}
	direct, through := newPathStats(), newPathStats()
	used := processUsage{}
	o.runRound(ctx, http, o.DirectAddress, newPathStats())
	o.runRound(ctx, http, o.EntryAddress, newPathStats())
	for range o.Rounds {
		o.runRound(ctx, http, o.DirectAddress, direct)
		before, err := readProcessUsage(ctx, http, o.OperatorsAddress)
		if err != nil {
			return CompareResult{}, err
		}
		o.runRound(ctx, http, o.EntryAddress, through)
		after, err := readProcessUsage(ctx, http, o.OperatorsAddress)
		if err != nil {
			return CompareResult{}, err
		}
		used.cpuMS += after.cpuMS - before.cpuMS
		used.mallocs += after.mallocs - before.mallocs
	}
	return o.result(direct, through, used), nil
}

func (o CompareOptions) result(direct, through *pathStats, used processUsage) CompareResult {
	r := CompareResult{
		Streams: o.Streams, Requests: int(through.total.TotalCount()), Chunks: through.chunks,
		Direct: direct.result(), ThroughEntry: through.result(),
	}
	const microsPerMilli, millisPerSecond = 1000, 1000
	r.AddedFirstByteP50 = r.ThroughEntry.FirstByte.P50 - r.Direct.FirstByte.P50
	r.AddedFirstByteP99 = r.ThroughEntry.FirstByte.P99 - r.Direct.FirstByte.P99
	r.CPUPerRequestUS = float64(used.cpuMS) * microsPerMilli / float64(max(1, r.Requests))
	r.RequestsPerCore = float64(r.Requests) * millisPerSecond / float64(max(1, used.cpuMS))
	r.AllocsPerChunk = float64(used.mallocs) / float64(max(1, r.Chunks))
	return r
}

type processUsage struct{ cpuMS, mallocs int64 }

func readProcessUsage(ctx context.Context, http *web.Client, operators string) (processUsage, error) {
	reply, err := http.Do(ctx, web.NewRequest("GET", "http://"+operators+"/metrics"))
	if err != nil {
		return processUsage{}, Class.Wrap(err)
	}
	return processUsage{
		cpuMS:   gjson.GetBytes(reply.Body(), "process-cpu-ms.value").Int(),
		mallocs: gjson.GetBytes(reply.Body(), "process-allocations.value").Int(),
	}, nil
}

// startSpread is the time over which the streams of a round start, so that they
// are open together but do not all arrive at the same instant.
const startSpread = 400 * time.Millisecond

func (o CompareOptions) runRound(ctx context.Context, http *web.Client, address string, record *pathStats) {
	var group sync.WaitGroup
	for stream := range o.Streams {
		group.Go(func() {
			time.Sleep(startSpread * time.Duration(stream) / time.Duration(o.Streams))
			for number := range o.Requests {
				o.sendOne(ctx, http, address, fmt.Sprintf("stream %d request %d", stream, number), record)
			}
		})
	}
	group.Wait()
}

func (o CompareOptions) sendOne(ctx context.Context, http *web.Client, address, prompt string, record *pathStats) {
	body, err := json.Marshal(chatWire{o.Service, []messageWire{{"user", prompt}}, o.Tokens, true})
	if err != nil {
		panic(err)
	}
	startedAt := time.Now()
	request := web.NewRequest("POST", "http://"+address+"/v1/chat/completions").WithBody("application/json", body).
		WithHeader(backendserver.HeaderRequestID, uuid.NewString())
	if address == o.EntryAddress {
		request.WithHeader("Authorization", "Bearer "+o.Key)
	}
	first, chunks, err := readStream(ctx, http, request)
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

// readStream reads a stream to its end. It returns the time of the first chunk and
// the number of chunks.
func readStream(ctx context.Context, http *web.Client, request *web.Request) (first time.Time, chunks int, err error) {
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
