package peer

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"cactusspoke/internal/configuration"
	"cactusspoke/internal/fleet"
	"cactusspoke/internal/peer/peerpb"
	"cactusspoke/internal/quarantine"
	"cactusspoke/internal/queue"
	"cactusspoke/internal/store"
	"cactusspoke/internal/timer"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"
)

const (
	// exchangePeriod is the interval between two rounds of heartbeats.
	exchangePeriod = 500 * time.Millisecond
	// exchangeJitter is the fraction of the period by which it varies at random.
	exchangeJitter = 0.2
	// exchangeFanOut is the number of members contacted in a periodic round.
	exchangeFanOut = 2
	// pushFanOut is the number of members contacted after a change.
	pushFanOut = 8
	// exchangeTimeout limits one exchange.
	exchangeTimeout = time.Second
)

// Gossip spreads configuration, load reports, heartbeats and suspect requests between
// instances by exchanging digests with random members.
type Gossip struct {
	members      *Members
	view         *configuration.View
	fleet        *fleet.Fleet
	suspects     *quarantine.Tracker
	clients      *Clients
	timers       *timer.Service
	log          *zap.Logger
	pushRequests *queue.Queue[struct{}]
	currentLoad  func() float64

	sent     metrics.Counter
	received metrics.Counter
	bytesOut metrics.Counter
	bytesIn  metrics.Counter
}

// NewGossip returns the gossip of this instance. currentLoad returns the load of
// this instance, from 0 to 1.
func NewGossip(members *Members, view *configuration.View, servers *fleet.Fleet, suspects *quarantine.Tracker,
	clients *Clients, timers *timer.Service, registry metrics.Registry, log *zap.Logger, currentLoad func() float64,
) *Gossip {
	return &Gossip{
		members: members, view: view, fleet: servers, suspects: suspects, clients: clients,
		timers: timers, log: log, pushRequests: queue.New[struct{}](1), currentLoad: currentLoad,
		sent:     metrics.GetOrRegisterCounter("peer-exchanges-sent", registry),
		received: metrics.GetOrRegisterCounter("peer-exchanges-received", registry),
		bytesOut: metrics.GetOrRegisterCounter("peer-exchange-bytes-out", registry),
		bytesIn:  metrics.GetOrRegisterCounter("peer-exchange-bytes-in", registry),
	}
}

// Push requests an immediate exchange with several members after a change.
func (g *Gossip) Push() { g.pushRequests.TryPut(struct{}{}) }

// RunExchange exchanges digests with a few random members in each period.
func (g *Gossip) RunExchange(ctx context.Context) error {
	oddRound := false
	return g.timers.RunEvery(ctx, exchangePeriod, exchangeJitter, func(now time.Time) {
		oddRound = !oddRound
		// In a large cluster, load reports are sent only in the first exchange of
		// every second round, to limit the traffic between its members.
		withLoads := exchangeFanOut
		if len(g.members.Others(now)) >= largeClusterSize {
			withLoads = 0
			if oddRound {
				withLoads = 1
			}
		}
		g.exchangeRound(ctx, exchangeFanOut, withLoads)
	})
}

// RunPush exchanges digests with several random members after each change.
func (g *Gossip) RunPush(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-g.pushRequests.Items():
			g.exchangeRound(ctx, pushFanOut, 0)
		}
	}
}

// exchangeRound exchanges digests with fanOut random members. Only the first
// withLoads exchanges include load reports.
func (g *Gossip) exchangeRound(ctx context.Context, fanOut, withLoads int) {
	others := g.members.Others(time.Now())
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	var done sync.WaitGroup
	for i, o := range others[:min(fanOut, len(others))] {
		done.Go(func() { g.exchange(ctx, o, i >= withLoads) })
	}
	done.Wait()
}

func (g *Gossip) exchange(ctx context.Context, member Member, brief bool) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	client, err := g.clients.Get(member.peersAddress)
	if err != nil {
		return
	}
	sentAt := time.Now()
	reply, err := client.Exchange(ctx, &peerpb.ExchangeRequest{Digest: g.digest(sentAt, member.revision, brief), Brief: brief})
	if err != nil {
		return
	}
	g.sent.Inc(1)
	g.applyDigest(reply.GetDigest(), sentAt, true)
}

// HandleExchange applies a peer's digest and returns the reply with what the peer may
// not know yet.
func (g *Gossip) HandleExchange(request *peerpb.ExchangeRequest) *peerpb.ExchangeReply {
	now := time.Now()
	g.received.Inc(1)
	received := request.GetDigest()
	g.applyDigest(received, now, false)
	return &peerpb.ExchangeReply{Digest: g.digest(now, store.Revision(received.GetRevision()), request.GetBrief())}
}

// digest returns what a peer whose configuration is at revision after may not
// know. A brief digest has no load reports and fewer heartbeat times.
func (g *Gossip) digest(now time.Time, after store.Revision, brief bool) *peerpb.Digest {
	self := g.members.Self()
	self.load = g.currentLoad()
	snapshot := g.view.Current()
	d := &peerpb.Digest{
		Self:        encodeMember(self),
		Revision:    uint64(snapshot.Revision()),
		After:       uint64(after),
		Records:     encodeRecords(snapshot.ChangedSince(after)),
		Suspensions: encodeDigests(g.view.Suspensions()),
		Suspects:    encodeSuspects(now, g.suspects.Suspects(now)),
	}
	heard := g.members.Heard()
	if brief {
		heard = heard[:min(maxBriefHeard, len(heard))]
	} else {
		d.Loads = encodeLoads(now, g.fleet.Loads())
	}
	d.Heard = encodeHeard(now, heard)
	if age, seen := g.view.Age(now); seen {
		d.StoreSeen = true
		d.ConfirmedAgeMs = uint32(age.Milliseconds() + 1)
	}
	g.bytesOut.Inc(int64(proto.Size(d)))
	return d
}

// applyDigest updates this instance from a peer's digest. Only a reply can confirm
// the view: the age in it is counted from at, when the request was sent, so that
// the time in transit is included.
func (g *Gossip) applyDigest(d *peerpb.Digest, at time.Time, isReply bool) {
	if d.GetSelf() == nil {
		return
	}
	g.bytesIn.Inc(int64(proto.Size(d)))
	now := time.Now()
	g.members.RecordHeartbeat(now, decodeMember(d.GetSelf(), d.GetRevision()))
	for _, h := range d.GetHeard() {
		g.members.RecordIndirectHeartbeat(now, h.GetMember(), time.Duration(h.GetAgeMs())*time.Millisecond)
	}
	g.view.Suspend(decodeDigests(d.GetSuspensions()))
	g.view.Apply(decodeRecords(d.GetRecords()), store.Revision(d.GetAfter()), store.Revision(d.GetRevision()))
	if isReply && d.GetStoreSeen() && g.view.Current().Revision() <= store.Revision(d.GetRevision()) {
		g.view.Confirm(at.Add(-time.Duration(d.GetConfirmedAgeMs()) * time.Millisecond))
	}
	g.applyLoads(now, d.GetLoads())
	for _, s := range d.GetSuspects() {
		g.suspects.MergeSuspect(now, decodeSuspect(now, s))
	}
}

func (g *Gossip) applyLoads(now time.Time, loads []*peerpb.Load) {
	if len(loads) == 0 {
		return
	}
	names := namesByHash(g.fleet.Names())
	for _, w := range loads {
		if l, ok := decodeLoad(now, w, names); ok {
			g.fleet.UpdateLoad(now, l)
		}
	}
}
