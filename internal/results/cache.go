// Package results serves the results of jobs from the memory of the process that commits
// them, the duty holder, so that reads of callers need no call to the store. Whatever the
// holder does not have, or cannot be sure of, is read from the store.
package results

import (
	"sync"

	"cactusspoke/internal/batch"

	"github.com/zeebo/errs"
)

// Class is the error class of this package.
var Class = errs.Class("results")

// entryOverheadBytes is added to the text of a result to estimate its size in memory.
const entryOverheadBytes = 200

// Cache holds the committed results of the jobs of one term of the duty. It is safe for
// concurrent use.
//
// Load pattern: trainers and other callers that read the results of each open job several
// times a second at any entry instance, from any position.
type Cache struct {
	// maxBytes limits the texts of results in memory.
	maxBytes int64

	mu    sync.Mutex
	bytes int64
	// itemBytes are those of the items of open jobs, limited by maxBytes as well.
	itemBytes int64
	jobs      map[string]*entry
	// ended holds the jobs that have ended, in that order. They are evicted first.
	ended []string
}

// entry is a job with its committed results.
type entry struct {
	record  batch.Record
	results []batch.Result
	bytes   int64
	// open means that the job has not ended. items holds the bodies of the items of an open
	// job, unless they are too large.
	open      bool
	items     map[string][]byte
	itemBytes int64
	// changed is closed when results are added or the job is removed.
	changed chan struct{}
}

// NewCache returns an empty cache for up to maxBytes bytes of results.
func NewCache(maxBytes int64) *Cache {
	return &Cache{maxBytes: maxBytes, jobs: map[string]*entry{}}
}

// Open adds a job with its committed results, unless the cache is full of open jobs.
func (c *Cache) Open(job *batch.Job, committed []batch.Result) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.remove(job.ID)
	e := &entry{record: job.Record(), open: true, changed: make(chan struct{})}
	for i := range job.Items {
		e.itemBytes += int64(len(job.Items[i].Body) + entryOverheadBytes)
	}
	if c.itemBytes+e.itemBytes > c.maxBytes {
		e.itemBytes = 0
	} else {
		c.itemBytes += e.itemBytes
		e.items = make(map[string][]byte, len(job.Items))
		for i := range job.Items {
			e.items[job.Items[i].ID] = job.Items[i].Body
		}
	}
	c.jobs[job.ID] = e
	c.add(e, committed)
	c.evict(job.ID)
}

// Append adds results that were committed at a position. A job whose results do not end at
// that position is removed, since the cache missed some.
func (c *Cache) Append(id string, position int, results []batch.Result) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.jobs[id]
	if e == nil {
		return
	}
	if len(e.results) != position {
		c.remove(id)
		return
	}
	c.add(e, results)
	close(e.changed)
	e.changed = make(chan struct{})
	c.evict(id)
}

// End records that a job has ended. Its results can be read until they are evicted.
func (c *Cache) End(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if e := c.jobs[id]; e != nil && e.open {
		e.open = false
		c.removeItems(e)
		c.ended = append(c.ended, id)
	}
}

// Remove removes a job whose results need no longer be readable.
func (c *Cache) Remove(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.remove(id)
}

// Read returns the results of a customer's job from a position on, and a channel that is
// closed when there may be more. It reports false if the cache does not have the job.
func (c *Cache) Read(id, customer string, after int) (page batch.ResultPage, changed <-chan struct{}, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.jobs[id]
	if e == nil || e.record.Customer != customer {
		return batch.ResultPage{}, nil, false
	}
	page.Total = e.record.Total
	if after < len(e.results) {
		page.Results = e.results[after:len(e.results):len(e.results)]
	}
	return page, e.changed, true
}

// Item returns the body of an item of a customer's open job.
func (c *Cache) Item(id, customer, item string) (body []byte, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.jobs[id]
	if e == nil || e.record.Customer != customer {
		return nil, false
	}
	body, ok = e.items[item]
	return body, ok
}

// add adds results to a job; the caller holds mu.
func (c *Cache) add(e *entry, results []batch.Result) {
	for _, r := range results {
		size := int64(len(r.Text) + entryOverheadBytes)
		e.bytes += size
		c.bytes += size
	}
	e.results = append(e.results, results...)
}

// evict removes jobs until the cache is within its limit: ended ones, the oldest first, and
// then the one that has just grown. The caller holds mu.
func (c *Cache) evict(grown string) {
	for c.bytes > c.maxBytes && len(c.ended) > 0 {
		c.remove(c.ended[0])
	}
	if c.bytes > c.maxBytes {
		c.remove(grown)
	}
}

// removeItems removes the bodies of a job's items; the caller holds mu.
func (c *Cache) removeItems(e *entry) {
	c.itemBytes -= e.itemBytes
	e.items, e.itemBytes = nil, 0
}

// remove removes a job and wakes those that wait for its results; the caller holds mu.
func (c *Cache) remove(id string) {
	e := c.jobs[id]
	if e == nil {
		return
	}
	delete(c.jobs, id)
	c.bytes -= e.bytes
	c.removeItems(e)
	close(e.changed)
	for i, ended := range c.ended {
		if ended == id {
			c.ended = append(c.ended[:i:i], c.ended[i+1:]...)
			return
		}
	}
}
