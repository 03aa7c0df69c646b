package claim

import (
	"context"
	"time"

	"cactusspoke/internal/ring"
	"cactusspoke/internal/store"
)

// Limits of a committer.
const (
	queueLength = 4096
	batchLength = 256
	// commitEvery is the least time between two commits of a range. A claim
	// that comes after a longer silence does not wait.
	commitEvery   = 40 * time.Millisecond
	commitTimeout = 1500 * time.Millisecond
)

type pending struct {
	claim  Claim
	result chan Result
}

// Committer gathers the claims of all ranges into batches, so that the store
// sees a few writes a second and not one per request.
type Committer struct {
	logs  [Ranges]*Log
	rings [Ranges]*ring.Ring[pending]
}

// NewCommitter returns a committer over the logs of all ranges.
func NewCommitter(client store.Client, window time.Duration) *Committer {
	c := &Committer{}
	for i := range Ranges {
		c.logs[i] = NewLog(client, i, window)
		c.rings[i] = ring.New[pending](queueLength)
	}
	return c
}

// Run serves one range until the context ends.
func (c *Committer) Run(ctx context.Context, number int) error {
	queue := c.rings[number]
	var last time.Time
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case first := <-queue.Items():
			time.Sleep(commitEvery - time.Since(last))
			last = time.Now()
			c.commit(ctx, number, append([]pending{first}, queue.Drain(batchLength-1)...))
		}
	}
}

func (c *Committer) commit(ctx context.Context, number int, batch []pending) {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	claims := make([]Claim, len(batch))
	for i, p := range batch {
		claims[i] = p.claim
	}
	for i, r := range c.logs[number].Commit(ctx, claims) {
		batch[i].result <- r
	}
}

// Commit decides one claim together with others that arrive at the same time.
func (c *Committer) Commit(ctx context.Context, claim Claim) Result {
	p := pending{claim: claim, result: make(chan Result, 1)}
	if !c.rings[claim.id.Range()].TryPut(p) {
		return Result{}
	}
	select {
	case r := <-p.result:
		return r
	case <-ctx.Done():
		return Result{}
	}
}

// Trim deletes what is older than the window from every log.
func (c *Committer) Trim(ctx context.Context, now time.Time) {
	for _, l := range c.logs {
		l.Trim(ctx, now)
	}
}

// Held returns how many claims are in memory.
func (c *Committer) Held() int {
	n := 0
	for _, l := range c.logs {
		n += l.Held()
	}
	return n
}
