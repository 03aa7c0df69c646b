package batch

import (
	"context"
	"errors"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"cactusspoke/internal/kv"
)

const (
	// maxCommitAttempts is how often a write is sent under the same condition if
	// its outcome is unknown. The delay doubles with each retry.
	maxCommitAttempts = 3
	commitRetryDelay  = 30 * time.Millisecond
	// maxCachedRecords limits the job records in the cache of an instance.
	maxCachedRecords = 512
	// maxCachedJobs limits the loaded jobs in the cache of an instance.
	maxCachedJobs = 4
	// maxPutsPerWrite limits the keys of a write besides its condition; the store
	// accepts 32 entries.
	maxPutsPerWrite = 30
	// maxPartsPerWrite limits a write to a few megabytes.
	maxPartsPerWrite = 4
)

var (
	// ErrJobNotFound means that no job with this ID was accepted.
	ErrJobNotFound = Class.New("no such job")
	// ErrOutcomeUnknown means that it is not known whether a write was carried out.
	ErrOutcomeUnknown = Class.New("outcome unknown")
	// ErrWrongCustomer means that the job belongs to another customer.
	ErrWrongCustomer = Class.New("job of another customer")
)

type cachedRecord struct {
	record   Record
	revision kv.Revision
}

// JobStore reads and writes jobs in the key-value store. It is safe for concurrent
// use.
type JobStore struct {
	store kv.Store
	// maxBytes limits the estimated size of a value, which may have up to valueBytes.
	maxBytes   int
	valueBytes int

	mu      sync.Mutex
	records map[string]cachedRecord
	jobs    []*Job
}

// NewJobStore returns a job store in a key-value store that accepts values of up to
// valueBytes bytes.
func NewJobStore(store kv.Store, valueBytes int) *JobStore {
	maxBytes := min(maxPartBytes, int(valueFillRatio*float64(valueBytes)))
	return &JobStore{store: store, maxBytes: maxBytes, valueBytes: valueBytes, records: map[string]cachedRecord{}}
}

// NewItems returns an empty list for the items of a job that is submitted.
func (s *JobStore) NewItems() *EncodedItems { return newEncodedItems(s.maxBytes) }

// Submit accepts a job. It is idempotent. A nil error means that the job is in
// the store; kv.ErrRefused means that it was not accepted and that no write in
// flight can still accept it.
func (s *JobStore) Submit(ctx context.Context, j *Job) error {
	items := s.NewItems()
	for i := range j.Items {
		items.Add(&j.Items[i])
	}
	return s.SubmitItems(ctx, j, items)
}

// SubmitItems is Submit for a job whose items are encoded; those of j are ignored.
func (s *JobStore) SubmitItems(ctx context.Context, j *Job, items *EncodedItems) error {
	lists := items.finish()
	record := Record{j.ID, j.Customer, items.Len(), len(lists), j.SubmittedAt, j.ConfigurationVersion}
	for len(lists) > maxPartsPerWrite {
		if err := s.writeParts(ctx, j, record.Parts-len(lists), lists[:maxPartsPerWrite]); err != nil {
			return err
		}
		lists = lists[maxPartsPerWrite:]
	}
	txn := kv.Txn{
		Conditions: []kv.Condition{{Key: jobKey(j.ID)}},
		Puts: []kv.Put{
			{Key: jobKey(j.ID), Value: encodeRecord(record)}, {Key: resultRecordKey(j.ID), Value: encodeRecord(record)},
		},
	}
	for i, list := range lists {
		txn.Puts = append(txn.Puts, kv.Put{Key: specKey(j.ID, record.Parts-len(lists)+i), Value: encodePart(j, list)})
	}
	return s.commitJob(ctx, j, record, txn)
}

func (s *JobStore) writeParts(ctx context.Context, j *Job, first int, lists [][]byte) error {
	var txn kv.Txn
	for i, list := range lists {
		txn.Puts = append(txn.Puts, kv.Put{Key: specKey(j.ID, first+i), Value: encodePart(j, list)})
	}
	_, err := s.store.Commit(ctx, txn)
	if err != nil {
		// A job is accepted by its record, which is written last.
		return kv.Class.New("%w: cannot write the parts of the job: %v", kv.ErrRefused, err)
	}
	return nil
}

func (s *JobStore) commitJob(ctx context.Context, j *Job, record Record, txn kv.Txn) error {
	outcomeUnknown := false // an earlier attempt may have been carried out
	for attempt := range maxCommitAttempts {
		if attempt > 0 {
			kv.Sleep(ctx, commitRetryDelay<<attempt)
		}
		revision, err := s.store.Commit(ctx, txn)
		switch {
		case err == nil:
			s.cacheRecord(record, revision)
			return nil
		case errors.Is(err, kv.ErrConflict):
			return s.checkExisting(ctx, j)
		case errors.Is(err, kv.ErrForbidden):
			return err
		case errors.Is(err, kv.ErrRefused):
			if !outcomeUnknown {
				return err
			}
		default:
			outcomeUnknown = true
		}
		if ctx.Err() != nil {
			break
		}
	}
	return ErrOutcomeUnknown
}

// checkExisting returns nil if the stored job with the ID of j belongs to the
// same customer. Any error wraps ErrOutcomeUnknown and never kv.ErrRefused,
// because a job with this ID has been accepted.
func (s *JobStore) checkExisting(ctx context.Context, j *Job) error {
	if _, err := s.Find(ctx, j.ID, j.Customer); err != nil {
		return Class.New("%w: job %s already exists: %v", ErrOutcomeUnknown, j.ID, err)
	}
	return nil
}

func (s *JobStore) cacheRecord(r Record, revision kv.Revision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.records) >= maxCachedRecords {
		clear(s.records)
	}
	s.records[r.ID] = cachedRecord{r, revision}
}

// Find returns the record of a job, or ErrWrongCustomer if the job belongs to
// another customer.
func (s *JobStore) Find(ctx context.Context, id, customer string) (Record, error) {
	found, err := s.lookup(ctx, id)
	if err != nil {
		return Record{}, err
	}
	if found.record.Customer != customer {
		return Record{}, ErrWrongCustomer
	}
	return found.record, nil
}

func (s *JobStore) lookup(ctx context.Context, id string) (cachedRecord, error) {
	s.mu.Lock()
	found, ok := s.records[id]
	s.mu.Unlock()
	if ok {
		return found, nil
	}
	item, _, err := s.store.Get(ctx, jobKey(id))
	if errors.Is(err, kv.ErrNotFound) {
		return cachedRecord{}, ErrJobNotFound
	}
	if err != nil {
		return cachedRecord{}, err
	}
	record, err := decodeRecord(id, item.Value)
	if err != nil {
		return cachedRecord{}, err
	}
	s.cacheRecord(record, item.Revision)
	return cachedRecord{record, item.Revision}, nil
}

// MarkEnded marks a customer's job as ended. It is idempotent. ErrOutcomeUnknown means that
// a write may still mark it; any other error, that none does.
func (s *JobStore) MarkEnded(ctx context.Context, id, customer string) error {
	if _, err := s.Find(ctx, id, customer); err != nil {
		return err
	}
	txn := kv.Txn{
		Conditions: []kv.Condition{{Key: endKey(id)}},
		Puts:       []kv.Put{{Key: endKey(id), Value: []byte("ended")}},
	}
	var err error
	outcomeUnknown := false
	for attempt := range maxCommitAttempts {
		if attempt > 0 {
			kv.Sleep(ctx, commitRetryDelay<<attempt)
		}
		_, err = s.store.Commit(ctx, txn)
		if err == nil || errors.Is(err, kv.ErrConflict) {
			return nil
		}
		outcomeUnknown = outcomeUnknown || !errors.Is(err, kv.ErrRefused) && !errors.Is(err, kv.ErrForbidden)
		if ctx.Err() != nil {
			break
		}
	}
	if outcomeUnknown {
		return Class.New("%w: cannot mark the job as ended: %v", ErrOutcomeUnknown, err)
	}
	return err
}

// Load returns a job with its items.
func (s *JobStore) Load(ctx context.Context, id string) (*Job, error) {
	s.mu.Lock()
	for _, j := range s.jobs {
		if j.ID == id {
			s.mu.Unlock()
			return j, nil
		}
	}
	s.mu.Unlock()
	found, err := s.lookup(ctx, id)
	if err != nil {
		return nil, err
	}
	return s.LoadRecord(ctx, found.record)
}

// LoadRecord returns the job of a record with its items.
func (s *JobStore) LoadRecord(ctx context.Context, record Record) (*Job, error) {
	j := &Job{ID: record.ID, Customer: record.Customer, SubmittedAt: record.SubmittedAt, ConfigurationVersion: record.ConfigurationVersion}
	for part := range record.Parts {
		item, _, err := s.store.Get(ctx, specKey(record.ID, part))
		if err != nil {
			return nil, err
		}
		if err := j.decodePart(item.Value); err != nil {
			return nil, err
		}
	}
	if len(j.Items) != record.Total {
		return nil, Class.New("job %s has %d of %d items", record.ID, len(j.Items), record.Total)
	}
	return j, nil
}

// ItemBody returns the body of an item of a customer's job, and whether the item
// exists.
func (s *JobStore) ItemBody(ctx context.Context, id, customer, item string) ([]byte, bool, error) {
	if _, err := s.Find(ctx, id, customer); err != nil {
		return nil, false, err
	}
	job, err := s.Load(ctx, id)
	if err != nil {
		return nil, false, err
	}
	s.cacheJob(job)
	for i := range job.Items {
		if job.Items[i].ID == item {
			return job.Items[i].Body, true, nil
		}
	}
	return nil, false, nil
}

func (s *JobStore) cacheJob(j *Job) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, cached := range s.jobs {
		if cached.ID == j.ID {
			return
		}
	}
	if len(s.jobs) >= maxCachedJobs {
		s.jobs = s.jobs[1:]
	}
	s.jobs = append(s.jobs, j)
}

// ResultPage is a contiguous run of a job's results.
type ResultPage struct {
	// Total is the number of items of the job.
	Total   int
	Results []Result
}

// ReadResults returns the results of a customer's job from the position after on. If
// there are none yet, it waits for up to wait for the next ones.
func (s *JobStore) ReadResults(ctx context.Context, id, customer string, after int, wait time.Duration) (ResultPage, error) {
	afterKey := ""
	if after > 0 {
		afterKey = chunkKey(id, after-1)
	}
	page, err := s.store.Range(ctx, jobResultsPrefix(id), afterKey)
	if err != nil {
		return ResultPage{}, err
	}
	items, aligned, err := s.takeIndex(id, page.Items, after)
	if err != nil {
		return ResultPage{}, err
	}
	if len(items) == 0 {
		record, err := s.Find(ctx, id, customer)
		if err != nil || after >= record.Total {
			return ResultPage{Total: record.Total}, err
		}
	}
	if len(items) == 0 && after > 0 && !aligned || len(items) > 0 && chunkStartsAfter(items[0], after) {
		items, page.Revision, err = s.listChunks(ctx, id, page.Revision)
		if err != nil {
			return ResultPage{}, err
		}
	}
	read, err := collectResults(id, customer, items, after)
	if err != nil || len(read.Results) > 0 {
		return read, err
	}
	record, err := s.Find(ctx, id, customer)
	if err != nil || wait <= 0 {
		return ResultPage{Total: record.Total}, err
	}
	events, _, err := s.store.Watch(ctx, jobResultsPrefix(id), page.Revision, wait)
	if err != nil && !errors.Is(err, kv.ErrCompacted) {
		return ResultPage{}, err
	}
	read, err = collectResults(id, customer, events, after)
	read.Total = record.Total
	return read, err
}

// takeIndex removes the keys that are not chunks from the items below a job's
// results, and caches the copy of the job's record. aligned means that a chunk ends
// before the position after.
func (s *JobStore) takeIndex(id string, items []kv.Item, after int) (chunks []kv.Item, aligned bool, err error) {
	for _, item := range items {
		switch {
		case item.Key == resultRecordKey(id):
			record, err := decodeRecord(id, item.Value)
			if err != nil {
				return nil, false, err
			}
			s.cacheRecord(record, item.Revision)
		case item.Key == chunkEndKey(id, after):
			aligned = true
		case !isIndexKey(item.Key):
			chunks = append(chunks, item)
		}
	}
	return chunks, aligned, nil
}

// isIndexKey reports whether a key below a job's results is not that of a chunk.
func isIndexKey(key string) bool {
	return strings.HasPrefix(key[strings.LastIndexByte(key, '/')+1:], "~")
}

// CommittedResults returns all results of a customer's job that are in the store.
func (s *JobStore) CommittedResults(ctx context.Context, id, customer string) ([]Result, error) {
	items, _, err := kv.ListAll(ctx, s.store, jobResultsPrefix(id))
	if err != nil {
		return nil, err
	}
	read, err := collectResults(id, customer, items, 0)
	return read.Results, err
}

// listChunks returns all chunks of a job and a revision from which to watch for
// more. Read needs it if the position is inside a chunk, whose key is then
// before the position.
func (s *JobStore) listChunks(ctx context.Context, id string, readAt kv.Revision) ([]kv.Item, kv.Revision, error) {
	items, listedAt, err := kv.ListAll(ctx, s.store, jobResultsPrefix(id))
	return items, max(listedAt, readAt), err
}

func chunkStartsAfter(item kv.Item, position int) bool {
	first, err := chunkPosition(item.Key)
	return err != nil || first > position
}

// collectResults returns the results from the position after on, up to the first
// missing one.
func collectResults(id, customer string, items []kv.Item, after int) (ResultPage, error) {
	var out ResultPage
	next := after
	for _, item := range items {
		if item.Deleted || isIndexKey(item.Key) {
			continue
		}
		position, err := chunkPosition(item.Key)
		if err != nil {
			return ResultPage{}, err
		}
		if position > next {
			break
		}
		record, results, err := DecodeChunk(id, item.Value)
		if err != nil {
			return ResultPage{}, err
		}
		if record.Customer != customer {
			return ResultPage{}, ErrWrongCustomer
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

// MaxWriteBytes returns the maximum number of bytes of results or texts in one write.
func (s *JobStore) MaxWriteBytes() int { return s.maxBytes }

// MaxResultBytes returns the maximum length in bytes of the encoded text of a result.
func (s *JobStore) MaxResultBytes() int { return max(s.maxBytes, s.valueBytes-chunkOverheadBytes) }

// Fence is the condition for writes of the duty's holder: it fails once another
// node has taken the duty.
type Fence = kv.Condition

// AppendResults writes a chunk of results at a position. It is idempotent, so a
// caller that gets no answer can repeat the call with the same arguments.
func (s *JobStore) AppendResults(ctx context.Context, fence Fence, job Record, position int, results []Result) error {
	key := chunkKey(job.ID, position)
	data := EncodeChunk(job, results)
	_, err := s.store.Commit(ctx, kv.Txn{
		Conditions: []kv.Condition{fence, {Key: key}},
		Puts:       []kv.Put{{Key: key, Value: data}, {Key: chunkEndKey(job.ID, position+len(results)), Value: []byte("end")}},
	})
	if !errors.Is(err, kv.ErrConflict) {
		return err
	}
	item, _, getErr := s.store.Get(ctx, key)
	if getErr == nil && string(item.Value) == string(data) {
		return nil
	}
	if getErr != nil && !errors.Is(getErr, kv.ErrNotFound) {
		return Class.New("%w: chunk %s: %v", ErrOutcomeUnknown, key, getErr)
	}
	return err
}

// SavePartialResults stores texts that are still being generated, of any number of
// jobs by job ID, in as few writes as possible. It goes on after a failed write and
// returns all errors.
func (s *JobStore) SavePartialResults(ctx context.Context, fence Fence, partials map[string][]PartialResult) error {
	var puts []kv.Put
	var failed error
	size := 0
	commit := func() {
		if len(puts) > 0 {
			_, err := s.store.Commit(ctx, kv.Txn{Conditions: []kv.Condition{fence}, Puts: puts})
			failed = errors.Join(failed, err)
		}
		puts, size = nil, 0
	}
	for _, id := range slices.Sorted(maps.Keys(partials)) {
		for _, p := range partials[id] {
			if len(puts) == maxPutsPerWrite || size+len(p.Text) > s.maxBytes {
				commit()
			}
			puts = append(puts, kv.Put{Key: partialKey(id, p.Item), Value: encodePartial(p)})
			size += len(p.Text)
		}
	}
	commit()
	return failed
}

// PartialResults returns the partial texts of a job by item ID.
func (s *JobStore) PartialResults(ctx context.Context, id string) (map[string]PartialResult, error) {
	prefix := partialPrefix + id + "/"
	items, _, err := kv.ListAll(ctx, s.store, prefix)
	if err != nil {
		return nil, err
	}
	out := make(map[string]PartialResult, len(items))
	for _, item := range items {
		p, err := decodePartial(strings.TrimPrefix(item.Key, prefix), item.Value)
		if err != nil {
			return nil, err
		}
		out[p.Item] = p
	}
	return out, nil
}

// Delete removes a job with its specification, results and partial texts. The
// record goes last, so an interrupted deletion can be repeated.
func (s *JobStore) Delete(ctx context.Context, fence Fence, id string) error {
	found, err := s.lookup(ctx, id)
	if err != nil {
		return err
	}
	chunks, _, err := kv.ListAll(ctx, s.store, jobResultsPrefix(id))
	if err != nil {
		return err
	}
	txn := kv.Txn{Conditions: []kv.Condition{fence}, Deletes: []string{endKey(id)}}
	for part := range found.record.Parts {
		txn.Deletes = append(txn.Deletes, specKey(id, part))
	}
	partials, _, err := kv.ListAll(ctx, s.store, partialPrefix+id+"/")
	if err != nil {
		return err
	}
	for _, chunk := range append(chunks, partials...) {
		txn.Deletes = append(txn.Deletes, chunk.Key)
	}
	const maxDeletes = 30 // the store accepts 32 entries in a write, including the condition
	for len(txn.Deletes) > maxDeletes {
		if _, err := s.store.Commit(ctx, kv.Txn{Conditions: txn.Conditions, Deletes: txn.Deletes[:maxDeletes]}); err != nil {
			return err
		}
		txn.Deletes = txn.Deletes[maxDeletes:]
	}
	txn.Deletes = append(txn.Deletes, jobKey(id))
	_, err = s.store.Commit(ctx, txn)
	return err
}
