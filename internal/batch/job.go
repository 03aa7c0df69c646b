// Package batch persists batch jobs and their results in the platform's
// key-value store. A single conditional write accepts a job. Results are
// appended in chunks, each written conditionally at a fixed position, so a
// result never changes or moves after a reader has seen it.
package batch

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"cactusspoke/internal/http1"
	"cactusspoke/internal/kv"

	"github.com/zeebo/errs"
)

// Class is the error class of this package.
var Class = errs.Class("batch")

// Job is a batch of requests that is submitted in one call and run later.
type Job struct {
	ID       string
	Customer string
	// Host is the host of the route; every item is sent with it.
	Host  string
	Route string
	Model string
	// Step is the training step that the job belongs to.
	Step int64
	// MinVersion is the oldest weight version that may generate a text.
	MinVersion int64
	// WantedGroups is the number of complete groups that the trainer waits for.
	WantedGroups int
	// SubmittedAt is the submission time in Unix milliseconds.
	SubmittedAt int64
	// ConfigurationVersion is the version of the configuration under which the job was
	// accepted; 0 if it is not known.
	ConfigurationVersion int64
	Items                []Item
}

// Item is one request of a job.
type Item struct {
	ID      string
	Group   string
	Path    string
	Headers []http1.Header
	Body    []byte
	// ExpectedTokens is the expected number of tokens of the text.
	ExpectedTokens int
	// Reward is the scoring request of the text; nil if there is none.
	Reward *RewardRequest
}

// RewardRequest is the request that scores a completed text.
type RewardRequest struct {
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
	// Versions are the weight versions that generated the text.
	Versions []int64
	Score    string
}

// Prefixes and suffixes of keys in the store.
const (
	// JobPrefix is the prefix that the scheduler watches, so the values below it
	// are kept small.
	JobPrefix     = "job/"
	specPrefix    = "spec/"
	resultPrefix  = "result/"
	partialPrefix = "partial/"
	jobSuffix     = "/job"
	endSuffix     = "/end"
	// resultRecordName is the last part of the key of a second copy of the record, and
	// chunkEndName begins that of the position after a chunk. They sort after the
	// positions of chunks, so that each read of results returns them.
	resultRecordName = "~job"
	chunkEndName     = "~end-"
)

const (
	// valueFillRatio is the share of the store's value size limit that a value
	// may fill. The rest is a reserve for one more item and for estimated sizes.
	valueFillRatio = 0.6
	// maxPartBytes limits the size of a value, because a page of a range read
	// holds one megabyte.
	maxPartBytes = 600 << 10
	// chunkOverheadBytes are reserved in a value for what a chunk of one result has besides its
	// text: the ids, the score, the versions and the customer.
	chunkOverheadBytes = 16 << 10
)

func jobKey(id string) string { return JobPrefix + id + jobSuffix }

func endKey(id string) string { return JobPrefix + id + endSuffix }

func specKey(id string, part int) string { return fmt.Sprintf("%s%s/%02d", specPrefix, id, part) }

func jobResultsPrefix(id string) string { return resultPrefix + id + "/" }

func chunkKey(id string, position int) string {
	return fmt.Sprintf("%s%06d", jobResultsPrefix(id), position)
}

func resultRecordKey(id string) string { return jobResultsPrefix(id) + resultRecordName }

func chunkEndKey(id string, position int) string {
	return fmt.Sprintf("%s%s%06d", jobResultsPrefix(id), chunkEndName, position)
}

func partialKey(id, item string) string { return partialPrefix + id + "/" + item }

// PartialResult is the text of an item that has been generated so far. The next
// holder of the duty continues from it.
type PartialResult struct {
	Item string
	Text []byte
	// Events is the number of stream events that make up the text.
	Events int
	// Versions are the weight versions that generated the text.
	Versions []int64
	// LastVersion is the weight version that generated the last event.
	LastVersion int64
	// Software is the software version of the server that generated the text.
	Software string
}

type wirePartial struct {
	Text     string  `json:"text"`
	Events   int     `json:"events"`
	Versions []int64 `json:"versions"`
	Version  int64   `json:"version"`
	Software string  `json:"software"`
}

func encodePartial(p PartialResult) []byte {
	return mustJSON(wirePartial{string(p.Text), p.Events, p.Versions, p.LastVersion, p.Software})
}

func decodePartial(item string, data []byte) (PartialResult, error) {
	var w wirePartial
	if err := json.Unmarshal(data, &w); err != nil {
		return PartialResult{}, Class.Wrap(err)
	}
	return PartialResult{item, []byte(w.Text), w.Events, w.Versions, w.Version, w.Software}, nil
}

// Record is the metadata of an accepted job, stored apart from its
// specification. A job is accepted once its record is in the store.
type Record struct {
	ID       string
	Customer string
	// Total is the number of items.
	Total int
	// Parts is the number of values that hold the specification.
	Parts int
	// SubmittedAt is the submission time in Unix milliseconds.
	SubmittedAt int64
	// ConfigurationVersion is the version of the configuration under which the job was
	// accepted; 0 in records of versions before it was recorded.
	ConfigurationVersion int64
}

// Record returns the job's record.
func (j *Job) Record() Record {
	return Record{ID: j.ID, Customer: j.Customer, Total: len(j.Items), SubmittedAt: j.SubmittedAt, ConfigurationVersion: j.ConfigurationVersion}
}

type wireRecord struct {
	Customer             string `json:"customer"`
	Total                int    `json:"total"`
	Parts                int    `json:"parts"`
	SubmittedAt          int64  `json:"submitted-at"`
	ConfigurationVersion int64  `json:"configuration-version,omitempty"`
}

func encodeRecord(r Record) []byte {
	return mustJSON(wireRecord{r.Customer, r.Total, r.Parts, r.SubmittedAt, r.ConfigurationVersion})
}

func decodeRecord(id string, data []byte) (Record, error) {
	var w wireRecord
	if err := json.Unmarshal(data, &w); err != nil {
		return Record{}, Class.Wrap(err)
	}
	return Record{id, w.Customer, w.Total, w.Parts, w.SubmittedAt, w.ConfigurationVersion}, nil
}

// Age returns the time since the job was submitted.
func (r Record) Age(now time.Time) time.Duration {
	return now.Sub(time.UnixMilli(r.SubmittedAt))
}

// Event is a change of a job, read from a key with JobPrefix.
type Event struct {
	ID string
	// Ended is set if the job is marked as ended.
	Ended bool
	// Deleted is set if the job's record was deleted.
	Deleted bool
	Record  Record
}

// DecodeEvent decodes a change of a key with JobPrefix.
func DecodeEvent(item kv.Item) (Event, error) {
	id, kind, _ := strings.Cut(strings.TrimPrefix(item.Key, JobPrefix), "/")
	if "/"+kind == endSuffix {
		return Event{ID: id, Ended: !item.Deleted}, nil
	}
	if item.Deleted {
		return Event{ID: id, Deleted: true}, nil
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
	Headers [][2]string `json:"headers,omitempty"`
	Body    []byte      `json:"body,omitempty"`
	Tokens  int         `json:"tokens,omitempty"`
	Reward  *wireReward `json:"reward,omitempty"`
}

type wireSpecPart struct {
	Host       string     `json:"host"`
	Route      string     `json:"route"`
	Model      string     `json:"model"`
	Step       int64      `json:"step"`
	MinVersion int64      `json:"min-version"`
	Wanted     int        `json:"wanted"`
	Items      []wireItem `json:"items"`
}

// EncodedItems are the items of a job in the form in which the store keeps them. A job of many
// small items takes several times less memory than as a slice of Item.
type EncodedItems struct {
	limit int
	count int
	// lists are comma-separated items, each for one part of the specification, and buffer is
	// the list that grows.
	lists   [][]byte
	buffer  bytes.Buffer
	encoder *json.Encoder
}

// newEncodedItems returns an empty list, which is split into parts of limit bytes. A part
// exceeds the limit if a single item does.
func newEncodedItems(limit int) *EncodedItems {
	e := &EncodedItems{limit: limit}
	e.encoder = json.NewEncoder(&e.buffer)
	// Escaped characters would take six bytes instead of one.
	e.encoder.SetEscapeHTML(false)
	return e
}

// Len returns the number of items.
func (e *EncodedItems) Len() int { return e.count }

// Add appends an item.
func (e *EncodedItems) Add(item *Item) {
	w := wireItem{item.ID, item.Group, item.Path, nil, item.Body, item.ExpectedTokens, nil}
	for _, h := range item.Headers {
		w.Headers = append(w.Headers, [2]string{h.Name, h.Value})
	}
	if r := item.Reward; r != nil {
		w.Reward = &wireReward{r.ID, r.Host, r.Path, r.Body}
	}
	size := e.buffer.Len()
	if size > 0 {
		e.buffer.WriteByte(',')
	}
	if err := e.encoder.Encode(w); err != nil {
		panic(err) // strings and numbers can always be encoded as JSON
	}
	if size > 0 && e.buffer.Len() > e.limit {
		e.lists = append(e.lists, bytes.Clone(e.buffer.Next(size)))
		list := bytes.Clone(e.buffer.Bytes()[1:])
		e.buffer.Reset()
		e.buffer.Write(list)
	}
	e.count++
}

// finish returns the lists of items; there is at least one.
func (e *EncodedItems) finish() [][]byte {
	return append(e.lists, e.buffer.Bytes())
}

// encodePart returns a part of the specification with a list of items of a job.
func encodePart(j *Job, items []byte) []byte {
	// The items are the last field.
	head := mustJSON(wireSpecPart{j.Host, j.Route, j.Model, j.Step, j.MinVersion, j.WantedGroups, []wireItem{}})
	head = head[:len(head)-len("]}")]
	return slices.Concat(head, items, []byte("]}"))
}

// decodePart adds a part of the specification to a job.
func (j *Job) decodePart(data []byte) error {
	var w wireSpecPart
	if err := json.Unmarshal(data, &w); err != nil {
		return Class.Wrap(err)
	}
	j.Host, j.Route, j.Model, j.Step, j.MinVersion, j.WantedGroups = w.Host, w.Route, w.Model, w.Step, w.MinVersion, w.Wanted
	for _, i := range w.Items {
		j.Items = append(j.Items, decodeItem(i))
	}
	return nil
}

func decodeItem(w wireItem) Item {
	item := Item{ID: w.ID, Group: w.Group, Path: w.Path, Body: w.Body, ExpectedTokens: w.Tokens}
	for _, h := range w.Headers {
		item.Headers = append(item.Headers, http1.Header{Name: h[0], Value: h[1]})
	}
	if w.Reward != nil {
		item.Reward = &RewardRequest{w.Reward.ID, w.Reward.Host, w.Reward.Path, w.Reward.Body}
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

// wireChunk is a chunk of results. It includes the job's customer and number of
// items, so a reader needs no other key.
type wireChunk struct {
	Customer string       `json:"customer"`
	Total    int          `json:"total"`
	Results  []wireResult `json:"results"`
}

// EncodedTextLen returns the length in bytes of the text as EncodeChunk writes it.
func (r *Result) EncodedTextLen() int {
	n := len(r.Text)
	for i, c := range r.Text {
		switch {
		case c == '"', c == '\\', c == '\n', c == '\r', c == '\t', c == '\b', c == '\f':
			n++
		case c < ' ', c == '<', c == '>', c == '&':
			n += escapeLen - 1
		case c == '\u2028', c == '\u2029':
			n += escapeLen - utf8.RuneLen(c)
		case c == utf8.RuneError && !strings.HasPrefix(r.Text[i:], string(utf8.RuneError)):
			n += escapeLen - 1
		}
	}
	return n
}

// escapeLen is the length of an escape sequence of JSON that names a code point.
const escapeLen = len(`\u0000`)

// EncodeChunk encodes results of a job with the customer and the number of items of its record.
func EncodeChunk(r Record, results []Result) []byte {
	w := wireChunk{Customer: r.Customer, Total: r.Total}
	for _, result := range results {
		w.Results = append(w.Results, wireResult(result))
	}
	return mustJSON(w)
}

// DecodeChunk decodes what EncodeChunk returned for the job with an ID.
func DecodeChunk(id string, data []byte) (Record, []Result, error) {
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

// chunkPosition returns the position of a chunk's first result, taken from the
// chunk's key.
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
