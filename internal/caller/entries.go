package caller

import (
	"context"
	"sort"
	"time"

	"cactusspoke/internal/peer"
	"cactusspoke/internal/routing"

	"github.com/cespare/xxhash/v2"
	"github.com/cloudwego/hertz/pkg/app"
)

// maxEntries is the maximum number of addresses returned to a caller.
const maxEntries = 4

// highLoad is the load at which an instance is listed after all others.
const highLoad = 0.8

type entryWire struct {
	Address       string `json:"address"`
	FailureDomain string `json:"failure-domain"`
}

type entriesWire struct {
	Entries []entryWire `json:"entries"`
	KeepMS  int64       `json:"keep-ms"`
}

// serveEntries returns the addresses of the instances that a caller should use.
func (s *Server) serveEntries(_ context.Context, c *app.RequestContext) {
	selected := selectEntries(s.members.Alive(time.Now()), c.Query("failure-domain"), c.ClientIP()+c.Query("caller"))
	wire := entriesWire{Entries: []entryWire{}, KeepMS: s.entriesTTL.Milliseconds()}
	for _, m := range selected {
		wire.Entries = append(wire.Entries, entryWire{m.CallersAddress(), m.FailureDomain()})
	}
	writeJSON(c, 200, wire)
}

// selectEntries selects instances for one caller. Instances below highLoad come
// first, then those in the caller's failure domain. Among equals, the order
// depends on a hash of the caller, to spread callers over the instances.
func selectEntries(members []peer.Member, domain, caller string) []peer.Member {
	hash := xxhash.Sum64String(caller)
	var available []peer.Member
	for _, m := range members {
		if !m.Draining() {
			available = append(available, m)
		}
	}
	sort.Slice(available, func(i, j int) bool {
		a, b := available[i], available[j]
		if (a.Load() >= highLoad) != (b.Load() >= highLoad) {
			return b.Load() >= highLoad
		}
		if (a.FailureDomain() == domain) != (b.FailureDomain() == domain) {
			return a.FailureDomain() == domain
		}
		return routing.RendezvousScore(hash, a.Name()) > routing.RendezvousScore(hash, b.Name())
	})
	return available[:min(maxEntries, len(available))]
}
