// Package batch keeps batch jobs and their results in the platform's store.
// A job is accepted by one conditional write; results are appended in chunks
// whose position is fixed by a conditional write, so that no reader ever sees
// a result change or move.
package batch

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"

	"cactusspoke/internal/http1"
	"cactusspoke/internal/kv"

	"github.com/zeebo/errs"
)

// Class prefixes the errors of this package.
var Class = errs.Class("batch")

// Job is a batch of requests that are submitted at once and run later.
type Job struct {
	ID       string
	Customer string
	// Host is the host of the route, which goes with each item.
	Host  string
	Route string
	Model string
	Step  int64
	// MinVersion is the oldest version of the weights that may make a text.
	MinVersion int64
	// Wanted is how many complete groups the trainer waits for.
	Wanted int
	// SubmittedAt is the Unix millisecond of the submission.
	SubmittedAt int64
	Items       []Item
}

// Item is one request of a job.
type Item struct {
	ID      string
	Group   string
	Path    string
	Headers []http1.Header
	Body    []byte
	Tokens  int
	Reward  *Reward
}

// Reward is the request that scores a finished text.
type Reward struct {
	ID   string
	Host string
	Path string
	Body []byte
}

// Result is the outcome of an item.
type Result struct {
	ID        string
	Completed bool
	Text      string
	Versions  []int64
	Score     string
}

// Keys in the store.
const (
	// JobPrefix is watched by the scheduler; its keys are small.
	JobPrefix    = "job/"
	specPrefix   = "spec/"
	resultPrefix = "result/"
	partPrefix   = "partial/"
	jobSuffix    = "/job"
	endSuffix    = "/end"
)

const (
	// valueShare is the part of the store's limit of a value that a part of a
	// job's content fills, as reckoned before it is encoded.
	valueShare = 0.6
	// partMost bounds a part of a job's content in bytes: the store's pages hold
	// a megabyte.
	partMost = 600 << 10
)

func jobKey(id string) string { return JobPrefix + id + jobSuffix }

func endKey(id string) string { return JobPrefix + id + endSuffix }

func specKey(id string, part int) string { return fmt.Sprintf("%s%s/%02d", specPrefix, id, part) }

func resultsOf(id string) string { return resultPrefix + id + "/" }

func chunkKey(id string, position int) string { return fmt.Sprintf("%s%06d", resultsOf(id), position) }

func partialKey(id, item string) string { return partPrefix + id + "/" + item }

// Partial is what has been made of an item's text so far. Another holder of
// the duty goes on from there.
type Partial struct {
	Item     string
	Text     []byte
	Events   int
	Versions []int64
	// Version is the one under which the last event was made.
	Version int64
}

type wirePartial struct {
	Text     string  `json:"text"`
	Events   int     `json:"events"`
	Versions []int64 `json:"versions"`
	Version  int64   `json:"version"`
}

func encodePartial(p Partial) []byte {
	return mustJSON(wirePartial{string(p.Text), p.Events, p.Versions, p.Version})
}

func decodePartial(item string, data []byte) (Partial, error) {
	var w wirePartial
	if err := json.Unmarshal(data, &w); err != nil {
		return Partial{}, Class.Wrap(err)
	}
	return Partial{item, []byte(w.Text), w.Events, w.Versions, w.Version}, nil
}

// Record is the small key that says that a job was accepted.
type Record struct {
	ID          string
	Customer    string
	Total       int
	Parts       int
	SubmittedAt int64
}

// Record returns the job's record.
func (j *Job) Record() Record {
	return Record{ID: j.ID, Customer: j.Customer, Total: len(j.Items), SubmittedAt: j.SubmittedAt}
}

type wireRecord struct {
	Customer    string `json:"customer"`
	Total       int    `json:"total"`
	Parts       int    `json:"parts"`
	SubmittedAt int64  `json:"submitted-at"`
}

func encodeRecord(r Record) []byte {
	return mustJSON(wireRecord{r.Customer, r.Total, r.Parts, r.SubmittedAt})
}

func decodeRecord(id string, data []byte) (Record, error) {
	var w wireRecord
	if err := json.Unmarshal(data, &w); err != nil {
		return Record{}, Class.Wrap(err)
	}
	return Record{id, w.Customer, w.Total, w.Parts, w.SubmittedAt}, nil
}

// Age returns how long ago a job was submitted.
func (r Record) Age(now time.Time) time.Duration {
	return now.Sub(time.UnixMilli(r.SubmittedAt))
}

// Event is what a key below JobPrefix says.
type Event struct {
	ID     string
	Ended  bool
	Gone   bool
	Record Record
}

// DecodeEvent reads a key below JobPrefix.
func DecodeEvent(item kv.Item) (Event, error) {
	id, kind, _ := strings.Cut(strings.TrimPrefix(item.Key, JobPrefix), "/")
	if "/"+kind == endSuffix {
		return Event{ID: id, Ended: !item.Deleted}, nil
	}
	if item.Deleted {
		return Event{ID: id, Gone: true}, nil
	}
	record, err := decodeRecord(id, item.Value)
	return Event{ID: id, Record: record}, err
}

type wireReward struct {
	ID   string `json:"id"`
	Host string `json:"host"`
	Path string `json:"path"`
	Body []byte `json:"body"`
}

type wireItem struct {
	ID      string      `json:"id"`
	Group   string      `json:"group,omitempty"`
	Path    string      `json:"path"`
	Headers [][2]string `json:"headers"`
	Body    []byte      `json:"body"`
	Tokens  int         `json:"tokens"`
	Reward  *wireReward `json:"reward,omitempty"`
}

type wirePart struct {
	Host       string     `json:"host"`
	Route      string     `json:"route"`
	Model      string     `json:"model"`
	Step       int64      `json:"step"`
	MinVersion int64      `json:"min-version"`
	Wanted     int        `json:"wanted"`
	Items      []wireItem `json:"items"`
}

// encodeJob returns the parts of a job's content, each of about limit bytes
// unless a single item is larger.
func encodeJob(j *Job, limit int) [][]byte {
	var parts [][]byte
	head := wirePart{j.Host, j.Route, j.Model, j.Step, j.MinVersion, j.Wanted, nil}
	size := 0
	flush := func() {
		parts = append(parts, mustJSON(head))
		head.Items = nil
		size = 0
	}
	for _, item := range j.Items {
		w := wireItem{item.ID, item.Group, item.Path, nil, item.Body, item.Tokens, nil}
		for _, h := range item.Headers {
			w.Headers = append(w.Headers, [2]string{h.Name, h.Value})
			size += len(h.Name) + len(h.Value)
		}
		size += len(item.Body) + len(item.Path) + 200
		if r := item.Reward; r != nil {
			w.Reward = &wireReward{r.ID, r.Host, r.Path, r.Body}
			size += len(r.Body) + len(r.Path)
		}
		head.Items = append(head.Items, w)
		if size*4/3 > limit {
			flush()
		}
	}
	if len(head.Items) > 0 || len(parts) == 0 {
		flush()
	}
	return parts
}

// decodeJob reads a job's content.
func decodeJob(r Record, parts [][]byte) (*Job, error) {
	j := &Job{ID: r.ID, Customer: r.Customer, SubmittedAt: r.SubmittedAt}
	for _, data := range parts {
		var w wirePart
		if err := json.Unmarshal(data, &w); err != nil {
			return nil, Class.Wrap(err)
		}
		j.Host, j.Route, j.Model, j.Step, j.MinVersion, j.Wanted = w.Host, w.Route, w.Model, w.Step, w.MinVersion, w.Wanted
		for _, i := range w.Items {
			j.Items = append(j.Items, decodeItem(i))
		}
	}
	if len(j.Items) != r.Total {
		return nil, Class.New("job %s has %d of %d items", r.ID, len(j.Items), r.Total)
	}
	return j, nil
}

func decodeItem(w wireItem) Item {
	item := Item{ID: w.ID, Group: w.Group, Path: w.Path, Body: w.Body, Tokens: w.Tokens}
	for _, h := range w.Headers {
		item.Headers = append(item.Headers, http1.Header{Name: h[0], Value: h[1]})
	}
	if w.Reward != nil {
		item.Reward = &Reward{w.Reward.ID, w.Reward.Host, w.Reward.Path, w.Reward.Body}
	}
	return item
}

type wireResult struct {
	ID        string  `json:"id"`
	Completed bool    `json:"completed"`
	Text      string  `json:"text"`
	Versions  []int64 `json:"versions,omitempty"`
	Score     string  `json:"score,omitempty"`
}

// wireChunk is a chunk of results. It names the job's customer and size, so
// that a reader needs no other key.
type wireChunk struct {
	Customer string       `json:"customer"`
	Total    int          `json:"total"`
	Results  []wireResult `json:"results"`
}

func encodeChunk(r Record, results []Result) []byte {
	w := wireChunk{Customer: r.Customer, Total: r.Total}
	for _, result := range results {
		w.Results = append(w.Results, wireResult(result))
	}
	return mustJSON(w)
}

func decodeChunk(id string, data []byte) (Record, []Result, error) {
	var w wireChunk
	if err := json.Unmarshal(data, &w); err != nil {
		return Record{}, nil, Class.Wrap(err)
	}
	out := make([]Result, 0, len(w.Results))
	for _, r := range w.Results {
		out = append(out, Result(r))
	}
	return Record{ID: id, Customer: w.Customer, Total: w.Total}, out, nil
}

// chunkPosition returns the position of a chunk's first result.
func chunkPosition(key string) (int, error) {
	position, err := strconv.Atoi(key[strings.LastIndexByte(key, '/')+1:])
	return position, Class.Wrap(err)
}

func mustJSON(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return data
}
