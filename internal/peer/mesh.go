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
	"cactusspoke/internal/ring"
	"cactusspoke/internal/store"
	"cactusspoke/internal/timer"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"
)

// Periods and sizes of the exchange.
const (
	exchangePeriod  = 500 * time.Millisecond
	exchangeJitter  = 0.2
	exchangeFanOut  = 2
	pushFanOut      = 8
	exchangeTimeout = time.Second
)

// Mesh spreads what each instance knows to the others.
type Mesh struct {
	members  *Members
	view     *configuration.View
	fleet    *fleet.Fleet
	suspects *quarantine.List
	clients  *Clients
	timers   *timer.Service
	log      *zap.Logger
	pushes   *ring.Ring[struct{}]
	loadOf   func() float64

	sent     metrics.Counter
	received metrics.Counter
	bytesOut metrics.Counter
	bytesIn  metrics.Counter
}

// NewMesh returns a mesh. loadOf tells how busy this instance is, from 0 to 1.
func NewMesh(members *Members, view *configuration.View, servers *fleet.Fleet, suspects *quarantine.List,
	clients *Clients, timers *timer.Service, registry metrics.Registry, log *zap.Logger, loadOf func() float64,
) *Mesh {
	return &Mesh{
		members: members, view: view, fleet: servers, suspects: suspects, clients: clients,
		timers: timers, log: log, pushes: ring.New[struct{}](1), loadOf: loadOf,
		sent:     metrics.GetOrRegisterCounter("peer-exchanges-sent", registry),
		received: metrics.GetOrRegisterCounter("peer-exchanges-received", registry),
		bytesOut: metrics.GetOrRegisterCounter("peer-exchange-bytes-out", registry),
		bytesIn:  metrics.GetOrRegisterCounter("peer-exchange-bytes-in", registry),
	}
}

// Push asks for an exchange with many members at once, after a change.
func (m *Mesh) Push() { m.pushes.TryPut(struct{}{}) }

// RunExchange exchanges with a few random members each period.
func (m *Mesh) RunExchange(ctx context.Context) error {
	odd := false
	return m.timers.Subscribe(ctx, exchangePeriod, exchangeJitter, func(now time.Time) {
		odd = !odd
		// In a large cell loads travel only with the first exchange of every
		// second round, to stay within the cell's bytes.
		full := exchangeFanOut
		if len(m.members.Others(now)) >= manyMembers {
			full = 0
			if odd {
				full = 1
			}
		}
		m.round(ctx, exchangeFanOut, full)
	})
}

// RunPush exchanges with many members after each change.
func (m *Mesh) RunPush(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-m.pushes.Items():
			m.round(ctx, pushFanOut, 0)
		}
	}
}

// round exchanges with random members; the first full ones also tell loads.
func (m *Mesh) round(ctx context.Context, fanOut, full int) {
	others := m.members.Others(time.Now())
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	var done sync.WaitGroup
	for i, o := range others[:min(fanOut, len(others))] {
		done.Go(func() { m.exchange(ctx, o, i >= full) })
	}
	done.Wait()
}

func (m *Mesh) exchange(ctx context.Context, with Member, brief bool) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	client, err := m.clients.Get(with.peersAddress)
	if err != nil {
		return
	}
	sentAt := time.Now()
	reply, err := client.Exchange(ctx, &peerpb.ExchangeRequest{Digest: m.digest(sentAt, with.revision, brief), Brief: brief})
	if err != nil {
		return
	}
	m.sent.Inc(1)
	m.take(reply.GetDigest(), sentAt, true)
}

// Answer takes in a peer's digest and returns what the peer may not know.
func (m *Mesh) Answer(request *peerpb.ExchangeRequest) *peerpb.ExchangeReply {
	now := time.Now()
	m.received.Inc(1)
	told := request.GetDigest()
	m.take(told, now, false)
	return &peerpb.ExchangeReply{Digest: m.digest(now, store.Revision(told.GetRevision()), request.GetBrief())}
}

// digest is everything that a peer at a revision may not know.
func (m *Mesh) digest(now time.Time, after store.Revision, brief bool) *peerpb.Digest {
	self := m.members.Self()
	self.load = m.loadOf()
	snapshot := m.view.Current()
	d := &peerpb.Digest{
		Self:        encodeMember(self),
		Revision:    uint64(snapshot.Revision()),
		After:       uint64(after),
		Records:     encodeRecords(snapshot.ChangedSince(after)),
		Suspensions: encodeDigests(m.view.Suspensions()),
		Suspects:    encodeSuspects(now, m.suspects.Suspects(now)),
	}
	heard := m.members.Heard()
	if brief {
		heard = heard[:min(briefHeard, len(heard))]
	} else {
		d.Loads = encodeLoads(now, m.fleet.Loads())
	}
	d.Heard = encodeHeard(now, heard)
	if age, seen := m.view.Age(now); seen {
		d.StoreSeen = true
		d.ConfirmedAgeMs = uint32(age.Milliseconds() + 1)
	}
	m.bytesOut.Inc(int64(proto.Size(d)))
	return d
}

// take learns from a digest. Only an answer confirms our view: its age counts
// from before our request left, which bounds its time on the way.
func (m *Mesh) take(d *peerpb.Digest, at time.Time, answer bool) {
	if d.GetSelf() == nil {
		return
	}
	m.bytesIn.Inc(int64(proto.Size(d)))
	now := time.Now()
	m.members.Hear(now, decodeMember(d.GetSelf(), d.GetRevision()))
	for _, h := range d.GetHeard() {
		m.members.HearOf(now, h.GetMember(), time.Duration(h.GetAgeMs())*time.Millisecond)
	}
	m.view.Suspend(decodeDigests(d.GetSuspensions()))
	m.view.Apply(decodeRecords(d.GetRecords()), store.Revision(d.GetAfter()), store.Revision(d.GetRevision()))
	if answer && d.GetStoreSeen() && m.view.Current().Revision() <= store.Revision(d.GetRevision()) {
		m.view.Confirm(at.Add(-time.Duration(d.GetConfirmedAgeMs()) * time.Millisecond))
	}
	m.takeLoads(now, d.GetLoads())
	for _, s := range d.GetSuspects() {
		m.suspects.Learn(now, decodeSuspect(now, s))
	}
}

func (m *Mesh) takeLoads(now time.Time, loads []*peerpb.Load) {
	if len(loads) == 0 {
		return
	}
	names := namesByHash(m.fleet.Names())
	for _, w := range loads {
		if l, ok := decodeLoad(now, w, names); ok {
			m.fleet.Report(now, l)
		}
	}
}
