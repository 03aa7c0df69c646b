package replica

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// minFollowedDomain is the number of instances of a failure domain from which on
	// not all of them watch the store.
	minFollowedDomain = 8
	// minRelays is the least number of relays of a failure domain, and
	// followersPerRelay how many instances share one beyond that.
	minRelays         = 2
	followersPerRelay = 16
)

// Member is an instance that takes part.
type Member struct {
	Name          string
	FailureDomain string
	// Address is where the instance serves its followers.
	Address string
}

// Plan is the source of an instance's copies.
type Plan struct {
	// Direct means that the instance watches the store.
	Direct bool
	// Relays are the relays of the instance's failure domain, the preferred one first.
	Relays []Member
}

// MakePlan returns the plan of an instance, given all members. Instances with the
// same members agree on the relays, which are chosen by rendezvous hashing, so that
// few change when members come and go.
//
// Load pattern: hundreds of instances, and changes that each of them must learn of.
func MakePlan(self Member, members []Member) Plan {
	var domain []Member
	for _, m := range members {
		if m.FailureDomain == self.FailureDomain {
			domain = append(domain, m)
		}
	}
	if len(domain) < minFollowedDomain {
		return Plan{Direct: true}
	}
	count := max(minRelays, (len(domain)+followersPerRelay-1)/followersPerRelay)
	relays := rank(domain, self.FailureDomain)[:count]
	if slices.ContainsFunc(relays, func(m Member) bool { return m.Name == self.Name }) {
		return Plan{Direct: true}
	}
	return Plan{Relays: rank(relays, self.Name)}
}

// rank returns members in the order of the hash of their name and a topic.
func rank(members []Member, topic string) []Member {
	out := slices.Clone(members)
	slices.SortFunc(out, func(a, b Member) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(topic+"/"+a.Name), xxhash.Sum64String(topic+"/"+b.Name)), cmp.Compare(a.Name, b.Name))
	})
	return out
}
