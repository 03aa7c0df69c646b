package node

import (
	"time"

	"cactusspoke/internal/pool"
	"cactusspoke/internal/ratelimit"
	"cactusspoke/internal/routetable"
)

// limitShares returns the function that decides how much of a server's limit, or
// of the rate of a cold server, this process uses, given the configuration and the entry instances.
func limitShares(self string, holder bool, view *routetable.View, members *ratelimit.Members) pool.ShareFunc {
	return func(server pool.Server, limit float64, cold bool, now time.Time) float64 {
		senders := ratelimit.Senders{
			Self: self, IsHolder: holder,
			HolderSends: view.HolderSendsTo(server.Service), EntriesSend: view.ForwardsTo(server.Service),
		}
		members.Fill(&senders, now)
		if cold {
			return ratelimit.ColdShare(server.ID, limit, senders)
		}
		return ratelimit.Share(server.ID, limit, senders)
	}
}
