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

// maxEntries is how many addresses a caller is told.
const maxEntries = 4

// busy is the load from which an instance is told last.
const busy = 0.8

type entryWire struct {
	Address       string `json:"address"`
	FailureDomain string `json:"failure-domain"`
}

type entriesWire struct {
	Entries []entryWire `json:"entries"`
	KeepMS  int64       `json:"keep-ms"`
}

// entries tells a caller which entry instances to use.
func (s *Server) entries(_ context.Context, c *app.RequestContext) {
	chosen := pick(s.members.Alive(time.Now()), c.Query("failure-domain"), c.ClientIP()+c.Query("caller"))
	wire := entriesWire{Entries: []entryWire{}, KeepMS: s.keepTime.Milliseconds()}
	for _, m := range chosen {
		wire.Entries = append(wire.Entries, entryWire{m.CallersAddress(), m.FailureDomain()})
	}
	writeJSON(c, 200, wire)
}

// pick orders the instances for one caller: those that are not busy first,
// near ones before far ones, and otherwise each caller in another order.
func pick(members []peer.Member, domain, caller string) []peer.Member {
	hash := xxhash.Sum64String(caller)
	var out []peer.Member
	for _, m := range members {
		if !m.Draining() {
			out = append(out, m)
		}
	}
	sort.Slice(out, func(i, j int) bool {
		a, b := out[i], out[j]
		if (a.Load() >= busy) != (b.Load() >= busy) {
			return b.Load() >= busy
		}
		if (a.FailureDomain() == domain) != (b.FailureDomain() == domain) {
			return a.FailureDomain() == domain
		}
		return routing.RendezvousScore(hash, a.Name()) > routing.RendezvousScore(hash, b.Name())
	})
	return out[:min(maxEntries, len(out))]
}
