package lab

import (
	"container/list"
	"context"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// batch limits the requests that an engine runs at the same time. Waiting live
// requests get a slot before waiting rollout requests.
type batch struct {
	mu      sync.Mutex
	free    int
	live    []chan struct{}
	rollout []chan struct{}
}

func newBatch(slots int) *batch { return &batch{free: slots} }

// acquire waits for a slot. It returns false if the context ends first.
func (b *batch) acquire(ctx context.Context, live bool) bool {
	b.mu.Lock()
	if b.free > 0 {
		b.free--
		b.mu.Unlock()
		return true
	}
	granted := make(chan struct{}, 1)
	if live {
		b.live = append(b.live, granted)
	} else {
		b.rollout = append(b.rollout, granted)
	}
	b.mu.Unlock()
	select {
	case <-granted:
		return true
	case <-ctx.Done():
		b.cancelWait(granted)
		return false
	}
}

// cancelWait removes a waiter from its queue. A waiter that is in no queue was
// granted a slot in the meantime, which it releases.
func (b *batch) cancelWait(granted chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, queue := range []*[]chan struct{}{&b.live, &b.rollout} {
		for i, p := range *queue {
			if p == granted {
				*queue = append((*queue)[:i], (*queue)[i+1:]...)
				return
			}
		}
	}
	b.releaseLocked()
}

// release gives the slot to the next waiter.
func (b *batch) release() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.releaseLocked()
}

func (b *batch) releaseLocked() {
	for _, queue := range []*[]chan struct{}{&b.live, &b.rollout} {
		if len(*queue) > 0 {
			next := (*queue)[0]
			*queue = (*queue)[1:]
			next <- struct{}{}
			return
		}
	}
	b.free++
}

// blockBytes is the size of a prompt block in the prefix cache.
const blockBytes = 64

// prefixCache is an LRU cache of prompt prefixes, in blocks.
type prefixCache struct {
	mu      sync.Mutex
	limit   int
	recency *list.List
	blocks  map[uint64]*list.Element
	hits    int
	misses  int
}

func newPrefixCache(limit int) *prefixCache {
	return &prefixCache{limit: limit, recency: list.New(), blocks: map[uint64]*list.Element{}}
}

// lookup returns the number of blocks of a prompt that were not cached, and caches
// them.
func (p *prefixCache) lookup(prompt string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	missing := 0
	d := xxhash.New()
	for at := 0; at < len(prompt); at += blockBytes {
		_, _ = d.WriteString(prompt[at:min(at+blockBytes, len(prompt))])
		if p.touch(d.Sum64()) {
			p.hits++
			continue
		}
		p.misses++
		missing++
	}
	return missing
}

func (p *prefixCache) touch(block uint64) bool {
	if e, ok := p.blocks[block]; ok {
		p.recency.MoveToFront(e)
		return true
	}
	p.blocks[block] = p.recency.PushFront(block)
	for p.recency.Len() > p.limit {
		oldest := p.recency.Back()
		delete(p.blocks, oldest.Value.(uint64))
		p.recency.Remove(oldest)
	}
	return false
}
