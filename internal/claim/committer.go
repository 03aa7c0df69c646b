package claim

import (
	"context"
	"time"

	"cactusspoke/internal/queue"
	"cactusspoke/internal/store"
)

// Limits of a committer, for each hash range.
const (
	queueCapacity = 4096 // claims
	maxBatch      = 256  // claims
	// minCommitInterval is the minimum time between the starts of two commits of a
	// range. A claim that arrives later than that after the last commit is not
	// delayed.
	minCommitInterval = 40 * time.Millisecond
	commitTimeout     = 1500 * time.Millisecond
)

// pendingClaim is a claim in a queue. result receives its result and has room for
// it, so that the committer never blocks.
type pendingClaim struct {
	claim  Claim
	result chan Result
}

// Committer commits the claims of each hash range in batches, so that the store
// gets a few writes per second instead of one per request.
type Committer struct {
	logs   [Ranges]*Log
	queues [Ranges]*queue.Queue[pendingClaim]
}

// NewCommitter returns a committer for all hash ranges. Claims are kept for at least
// window.
func NewCommitter(client store.Client, window time.Duration) *Committer {
	c := &Committer{}
	for i := range Ranges {
		c.logs[i] = NewLog(client, i, window)
		c.queues[i] = queue.New[pendingClaim](queueCapacity)
	}
	return c
}

// Run commits the claims of one hash range until ctx ends.
func (c *Committer) Run(ctx context.Context, number int) error {
	queue := c.queues[number]
	var last time.Time
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case first := <-queue.Items():
			time.Sleep(minCommitInterval - time.Since(last))
			last = time.Now()
			c.commit(ctx, number, append([]pendingClaim{first}, queue.Drain(maxBatch-1)...))
		}
	}
}

func (c *Committer) commit(ctx context.Context, number int, batch []pendingClaim) {
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

// Commit commits one claim, in a batch with others of its hash range. The outcome is
// Unavailable if the queue is full or ctx ends; the claim may still be committed
// after ctx has ended.
func (c *Committer) Commit(ctx context.Context, claim Claim) Result {
	p := pendingClaim{claim: claim, result: make(chan Result, 1)}
	if !c.queues[claim.id.Range()].TryPut(p) {
		return Result{}
	}
	select {
	case r := <-p.result:
		return r
	case <-ctx.Done():
		return Result{}
	}
}

// Trim deletes the segments older than the window from all logs.
func (c *Committer) Trim(ctx context.Context, now time.Time) {
	for _, l := range c.logs {
		l.Trim(ctx, now)
	}
}

// Len returns the number of claims in memory.
func (c *Committer) Len() int {
	n := 0
	for _, l := range c.logs {
		n += l.Len()
	}
	return n
}
