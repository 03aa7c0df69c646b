package instance

import (
	"context"
	"fmt"
	"time"

	"cactusspoke/internal/claim"
)

// ownerTimeout limits the wait for the instance that owns a claim's hash range.
const ownerTimeout = 700 * time.Millisecond

// claimer sends claims to the instance that owns their hash range, which commits
// them in batches. Ownership is only an optimization: the claim log decides, so
// an instance that cannot reach the owner commits the claim itself with the same
// nonce.
type claimer struct {
	instance *Instance
}

// Claim requests a claim and returns the outcome.
func (c *claimer) Claim(ctx context.Context, cl claim.Claim) claim.Result {
	ranked := c.instance.members.Rank(time.Now(), fmt.Sprintf("claims/%d", cl.ID().Range()))
	if len(ranked) > 0 && ranked[0].Name() != c.instance.members.Self().Name() {
		ownerCtx, cancel := context.WithTimeout(ctx, ownerTimeout)
		defer cancel()
		result, err := c.instance.clients.Claim(ownerCtx, ranked[0].PeersAddress(), cl)
		if err == nil && result.Outcome() != claim.Unavailable {
			return result
		}
	}
	return c.instance.committer.Commit(ctx, cl)
}

// Release commits the release of a claim.
func (c *claimer) Release(ctx context.Context, cl claim.Claim) {
	c.instance.committer.Commit(ctx, cl.Released())
}
