package lab

import (
	"container/list"
	"context"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// batch is the set of requests that an engine runs together. Live requests
// enter before rollouts.
type batch struct {
	mu      sync.Mutex
	free    int
	live    []chan struct{}
	rollout []chan struct{}
}

func newBatch(slots int) *batch { return &batch{free: slots} }

// enter waits for a place; it returns false when the context ended first.
func (b *batch) enter(ctx context.Context, live bool) bool {
	b.mu.Lock()
	if b.free > 0 {
		b.free--
		b.mu.Unlock()
		return true
	}
	place := make(chan struct{}, 1)
	if live {
		b.live = append(b.live, place)
	} else {
		b.rollout = append(b.rollout, place)
	}
	b.mu.Unlock()
	select {
	case <-place:
		return true
	case <-ctx.Done():
		b.abandon(place)
		return false
	}
}

// abandon passes on a place that was granted too late.
func (b *batch) abandon(place chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, queue := range []*[]chan struct{}{&b.live, &b.rollout} {
		for i, p := range *queue {
			if p == place {
				*queue = append((*queue)[:i], (*queue)[i+1:]...)
				return
			}
		}
	}
	b.pass()
}

// leave gives the place to the next request.
func (b *batch) leave() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.pass()
}

func (b *batch) pass() {
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

// blockBytes is the size of one block of a prompt in the prefix cache.
const blockBytes = 64

// prefixCache remembers the prefixes of prompts in limited memory; the least
// recently used go first.
type prefixCache struct {
	mu     sync.Mutex
	limit  int
	order  *list.List
	blocks map[uint64]*list.Element
	hits   int
	misses int
}

func newPrefixCache(limit int) *prefixCache {
	return &prefixCache{limit: limit, order: list.New(), blocks: map[uint64]*list.Element{}}
}

// visit returns how many blocks of a prompt were not cached, and caches it.
func (p *prefixCache) visit(prompt string) int {
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
		p.order.MoveToFront(e)
		return true
	}
	p.blocks[block] = p.order.PushFront(block)
	for p.order.Len() > p.limit {
		oldest := p.order.Back()
		delete(p.blocks, oldest.Value.(uint64))
		p.order.Remove(oldest)
	}
	return false
}
