package batch

import (
	"context"
	"errors"
	"strings"
	"sync"
	"time"

	"cactusspoke/internal/kv"
)

const (
	// submitTries and submitPause bound how often an unanswered write of a job
	// is sent again under the same condition.
	submitTries = 3
	submitPause = 30 * time.Millisecond
	// cachedRecords bounds the records that an instance remembers.
	cachedRecords = 512
	// cachedJobs bounds the whole jobs that an instance remembers.
	cachedJobs = 4
	// partsPerWrite bounds the size of one write to a few megabytes.
	partsPerWrite = 4
)

var (
	// ErrUnknownJob says that no such job was accepted.
	ErrUnknownJob = Class.New("no such job")
	// ErrUnsure says that the outcome could not be found out.
	ErrUnsure = Class.New("outcome unknown")
	// ErrForeign says that the job belongs to another customer.
	ErrForeign = Class.New("job of another customer")
)

type cachedRecord struct {
	record   Record
	revision kv.Revision
}

// Ledger reads and writes jobs in the store. It is safe for concurrent use.
type Ledger struct {
	store kv.Store
	limit int

	mu      sync.Mutex
	records map[string]cachedRecord
	jobs    []*Job
}

// NewLedger returns a ledger in a store that takes values of so many bytes.
func NewLedger(store kv.Store, valueBytes int) *Ledger {
	limit := min(partMost, int(valueShare*float64(valueBytes)))
	return &Ledger{store: store, limit: limit, records: map[string]cachedRecord{}}
}

// Submit accepts a job once. A nil error says that the job is in the store.
// kv.ErrRefused says that nothing of it is and that no write is on its way.
func (l *Ledger) Submit(ctx context.Context, j *Job) error {
	parts := encodeJob(j, l.limit)
	record := Record{j.ID, j.Customer, len(j.Items), len(parts), j.SubmittedAt}
	for len(parts) > partsPerWrite {
		if err := l.writeParts(ctx, j.ID, record.Parts-len(parts), parts[:partsPerWrite]); err != nil {
			return err
		}
		parts = parts[partsPerWrite:]
	}
	txn := kv.Txn{
		Conditions: []kv.Condition{{Key: jobKey(j.ID)}},
		Puts:       []kv.Put{{Key: jobKey(j.ID), Value: encodeRecord(record)}},
	}
	for i, part := range parts {
		txn.Puts = append(txn.Puts, kv.Put{Key: specKey(j.ID, record.Parts-len(parts)+i), Value: part})
	}
	return l.accept(ctx, j, record, txn)
}

func (l *Ledger) writeParts(ctx context.Context, id string, from int, parts [][]byte) error {
	var txn kv.Txn
	for i, part := range parts {
		txn.Puts = append(txn.Puts, kv.Put{Key: specKey(id, from+i), Value: part})
	}
	_, err := l.store.Commit(ctx, txn)
	if err != nil {
		// Parts without a record are no job, so nothing has been accepted.
		return kv.Class.New("%w: parts of job: %v", kv.ErrRefused, err)
	}
	return nil
}

func (l *Ledger) accept(ctx context.Context, j *Job, record Record, txn kv.Txn) error {
	unsure := false
	for try := range submitTries {
		if try > 0 {
			kv.Sleep(ctx, submitPause<<try)
		}
		revision, err := l.store.Commit(ctx, txn)
		switch {
		case err == nil:
			l.remember(record, revision)
			return nil
		case errors.Is(err, kv.ErrConflict):
			return l.accepted(ctx, j)
		case errors.Is(err, kv.ErrForbidden):
			return err
		case errors.Is(err, kv.ErrRefused):
			if !unsure {
				return err
			}
		default:
			unsure = true
		}
		if ctx.Err() != nil {
			break
		}
	}
	return ErrUnsure
}

// accepted tells whether the job that stands under an id is this customer's.
// It stands there, so no error may say that it was refused.
func (l *Ledger) accepted(ctx context.Context, j *Job) error {
	if _, err := l.Find(ctx, j.ID, j.Customer); err != nil {
		return Class.New("%w: job %s stands already: %v", ErrUnsure, j.ID, err)
	}
	return nil
}

func (l *Ledger) remember(r Record, revision kv.Revision) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.records) >= cachedRecords {
		clear(l.records)
	}
	l.records[r.ID] = cachedRecord{r, revision}
}

// Find returns the record of a customer's job.
func (l *Ledger) Find(ctx context.Context, id, customer string) (Record, error) {
	found, err := l.find(ctx, id)
	if err != nil {
		return Record{}, err
	}
	if found.record.Customer != customer {
		return Record{}, ErrForeign
	}
	return found.record, nil
}

func (l *Ledger) find(ctx context.Context, id string) (cachedRecord, error) {
	l.mu.Lock()
	found, ok := l.records[id]
	l.mu.Unlock()
	if ok {
		return found, nil
	}
	item, _, err := l.store.Get(ctx, jobKey(id))
	if errors.Is(err, kv.ErrNotFound) {
		return cachedRecord{}, ErrUnknownJob
	}
	if err != nil {
		return cachedRecord{}, err
	}
	record, err := decodeRecord(id, item.Value)
	if err != nil {
		return cachedRecord{}, err
	}
	l.remember(record, item.Revision)
	return cachedRecord{record, item.Revision}, nil
}

// End marks a customer's job as ended; repeating it changes nothing.
func (l *Ledger) End(ctx context.Context, id, customer string) error {
	if _, err := l.Find(ctx, id, customer); err != nil {
		return err
	}
	txn := kv.Txn{
		Conditions: []kv.Condition{{Key: endKey(id)}},
		Puts:       []kv.Put{{Key: endKey(id), Value: []byte("ended")}},
	}
	var err error
	for try := range submitTries {
		if try > 0 {
			kv.Sleep(ctx, submitPause<<try)
		}
		_, err = l.store.Commit(ctx, txn)
		if err == nil || errors.Is(err, kv.ErrConflict) {
			return nil
		}
		if ctx.Err() != nil {
			break
		}
	}
	return err
}

// Load returns a job's content.
func (l *Ledger) Load(ctx context.Context, id string) (*Job, error) {
	l.mu.Lock()
	for _, j := range l.jobs {
		if j.ID == id {
			l.mu.Unlock()
			return j, nil
		}
	}
	l.mu.Unlock()
	found, err := l.find(ctx, id)
	if err != nil {
		return nil, err
	}
	parts := make([][]byte, 0, found.record.Parts)
	for part := range found.record.Parts {
		item, _, err := l.store.Get(ctx, specKey(id, part))
		if err != nil {
			return nil, err
		}
		parts = append(parts, item.Value)
	}
	job, err := decodeJob(found.record, parts)
	if err != nil {
		return nil, err
	}
	return job, nil
}

// Item returns the body of an item of a customer's job.
func (l *Ledger) Item(ctx context.Context, id, customer, item string) ([]byte, bool, error) {
	if _, err := l.Find(ctx, id, customer); err != nil {
		return nil, false, err
	}
	job, err := l.Load(ctx, id)
	if err != nil {
		return nil, false, err
	}
	l.keepJob(job)
	for i := range job.Items {
		if job.Items[i].ID == item {
			return job.Items[i].Body, true, nil
		}
	}
	return nil, false, nil
}

func (l *Ledger) keepJob(j *Job) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, kept := range l.jobs {
		if kept.ID == j.ID {
			return
		}
	}
	if len(l.jobs) >= cachedJobs {
		l.jobs = l.jobs[1:]
	}
	l.jobs = append(l.jobs, j)
}

// Page is what a read of a job's results gives.
type Page struct {
	Total   int
	Results []Result
}

// Read returns the results of a customer's job from a position on. It waits
// up to wait for the first of them.
func (l *Ledger) Read(ctx context.Context, id, customer string, after int, wait time.Duration) (Page, error) {
	from := ""
	if after > 0 {
		from = chunkKey(id, after-1)
	}
	page, err := l.store.Range(ctx, resultsOf(id), from)
	if err != nil {
		return Page{}, err
	}
	items := page.Items
	if len(items) == 0 {
		record, err := l.Find(ctx, id, customer)
		if err != nil || after >= record.Total {
			return Page{Total: record.Total}, err
		}
	}
	if len(items) == 0 && after > 0 || len(items) > 0 && startsAfter(items[0], after) {
		items, page.At, err = l.from(ctx, id, page.At)
		if err != nil {
			return Page{}, err
		}
	}
	read, err := collect(id, customer, items, after)
	if err != nil || len(read.Results) > 0 {
		return read, err
	}
	record, err := l.Find(ctx, id, customer)
	if err != nil || wait <= 0 {
		return Page{Total: record.Total}, err
	}
	events, _, err := l.store.Watch(ctx, resultsOf(id), page.At, wait)
	if err != nil && !errors.Is(err, kv.ErrCompacted) {
		return Page{}, err
	}
	read, err = collect(id, customer, events, after)
	read.Total = record.Total
	return read, err
}

// Committed returns all results of a job.
func (l *Ledger) Committed(ctx context.Context, id, customer string) ([]Result, error) {
	items, _, err := kv.All(ctx, l.store, resultsOf(id))
	if err != nil {
		return nil, err
	}
	read, err := collect(id, customer, items, 0)
	return read.Results, err
}

// from lists all chunks; it serves positions inside a chunk.
func (l *Ledger) from(ctx context.Context, id string, at kv.Revision) ([]kv.Item, kv.Revision, error) {
	items, seen, err := kv.All(ctx, l.store, resultsOf(id))
	return items, max(seen, at), err
}

func startsAfter(item kv.Item, position int) bool {
	at, err := chunkPosition(item.Key)
	return err != nil || at > position
}

// collect returns the results from a position on, up to the first gap.
func collect(id, customer string, items []kv.Item, after int) (Page, error) {
	var out Page
	next := after
	for _, item := range items {
		if item.Deleted {
			continue
		}
		position, err := chunkPosition(item.Key)
		if err != nil {
			return Page{}, err
		}
		if position > next {
			break
		}
		record, results, err := decodeChunk(id, item.Value)
		if err != nil {
			return Page{}, err
		}
		if record.Customer != customer {
			return Page{}, ErrForeign
		}
		out.Total = record.Total
		if position+len(results) <= next {
			continue
		}
		out.Results = append(out.Results, results[next-position:]...)
		next = position + len(results)
	}
	return out, nil
}

// Limit returns how many bytes of results or texts one write may hold.
func (l *Ledger) Limit() int { return l.limit }

// Fence is the condition under which the holder of a duty writes.
type Fence = kv.Condition

// Append adds results at a position. The write is the same each time it is
// tried, so an unanswered one is resolved by trying again.
func (l *Ledger) Append(ctx context.Context, fence Fence, job Record, position int, results []Result) error {
	key := chunkKey(job.ID, position)
	data := encodeChunk(job, results)
	_, err := l.store.Commit(ctx, kv.Txn{
		Conditions: []kv.Condition{fence, {Key: key}},
		Puts:       []kv.Put{{Key: key, Value: data}},
	})
	if !errors.Is(err, kv.ErrConflict) {
		return err
	}
	item, _, failed := l.store.Get(ctx, key)
	if failed == nil && string(item.Value) == string(data) {
		return nil
	}
	if failed != nil && !errors.Is(failed, kv.ErrNotFound) {
		return Class.New("%w: chunk %s: %v", ErrUnsure, key, failed)
	}
	return err
}

// SavePartials keeps the texts of a job that are being made.
func (l *Ledger) SavePartials(ctx context.Context, fence Fence, id string, partials []Partial) error {
	txn := kv.Txn{Conditions: []kv.Condition{fence}}
	for _, p := range partials {
		txn.Puts = append(txn.Puts, kv.Put{Key: partialKey(id, p.Item), Value: encodePartial(p)})
	}
	_, err := l.store.Commit(ctx, txn)
	return err
}

// Partials returns the texts of a job that were kept, by item.
func (l *Ledger) Partials(ctx context.Context, id string) (map[string]Partial, error) {
	prefix := partPrefix + id + "/"
	items, _, err := kv.All(ctx, l.store, prefix)
	if err != nil {
		return nil, err
	}
	out := make(map[string]Partial, len(items))
	for _, item := range items {
		p, err := decodePartial(strings.TrimPrefix(item.Key, prefix), item.Value)
		if err != nil {
			return nil, err
		}
		out[p.Item] = p
	}
	return out, nil
}

// Delete removes a job whose results need not be readable any more.
func (l *Ledger) Delete(ctx context.Context, fence Fence, id string) error {
	found, err := l.find(ctx, id)
	if err != nil {
		return err
	}
	chunks, _, err := kv.All(ctx, l.store, resultsOf(id))
	if err != nil {
		return err
	}
	txn := kv.Txn{Conditions: []kv.Condition{fence}, Deletes: []string{endKey(id)}}
	for part := range found.record.Parts {
		txn.Deletes = append(txn.Deletes, specKey(id, part))
	}
	partials, _, err := kv.All(ctx, l.store, partPrefix+id+"/")
	if err != nil {
		return err
	}
	for _, chunk := range append(chunks, partials...) {
		txn.Deletes = append(txn.Deletes, chunk.Key)
	}
	const most = 30 // the store takes 32 entries a write, of which one is the condition
	for len(txn.Deletes) > most {
		if _, err := l.store.Commit(ctx, kv.Txn{Conditions: txn.Conditions, Deletes: txn.Deletes[:most]}); err != nil {
			return err
		}
		txn.Deletes = txn.Deletes[most:]
	}
	txn.Deletes = append(txn.Deletes, jobKey(id))
	_, err = l.store.Commit(ctx, txn)
	return err
}
