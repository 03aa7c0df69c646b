package instance

import (
	"context"
	"fmt"
	"time"

	"cactusspoke/internal/claim"
)

// ownerTimeout bounds the wait for the owner of a range.
const ownerTimeout = 700 * time.Millisecond

// claimer sends claims to the owner of their hash range, which gathers them
// into batches. Ownership is only a hint: the log decides, so an instance
// that cannot reach the owner commits by itself under the same nonce.
type claimer struct {
	i *Instance
}

// Claim decides a claim.
func (c *claimer) Claim(ctx context.Context, cl claim.Claim) claim.Result {
	ranked := c.i.members.Rank(time.Now(), fmt.Sprintf("claims/%d", cl.ID().Range()))
	if len(ranked) > 0 && ranked[0].Name() != c.i.members.Self().Name() {
		ownerCtx, cancel := context.WithTimeout(ctx, ownerTimeout)
		defer cancel()
		result, err := c.i.clients.Claim(ownerCtx, ranked[0].PeersAddress(), cl)
		if err == nil && result.Outcome() != claim.Unavailable {
			return result
		}
	}
	return c.i.committer.Commit(ctx, cl)
}

// Release gives a claim back.
func (c *claimer) Release(ctx context.Context, cl claim.Claim) {
	c.i.committer.Commit(ctx, cl.Released())
}
