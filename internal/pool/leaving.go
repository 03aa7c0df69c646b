package pool

import (
	"sync"

	"go.uber.org/zap"
)

// LeavingValue is the value of the header with which a server says that it is leaving.
const LeavingValue = "1"

// maxDepartures limits the servers that are remembered as leaving.
const maxDepartures = 4096

// incarnation is one start of a server.
type incarnation struct {
	id   string
	born int64
}

// Departures is the set of servers that announced in a response that they are leaving. The
// announcement is final for an incarnation, so the set outlives registrations and pools. It
// is safe for concurrent use.
type Departures struct {
	mu      sync.Mutex
	leaving map[incarnation]bool
	// order holds the servers by the time of their announcement, the oldest first.
	order []incarnation
}

// NewDepartures returns an empty set.
func NewDepartures() *Departures { return &Departures{leaving: map[incarnation]bool{}} }

// add adds a server and reports whether it is new.
func (d *Departures) add(server incarnation) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.leaving[server] {
		return false
	}
	if len(d.order) == maxDepartures {
		delete(d.leaving, d.order[0])
		d.order = d.order[1:]
	}
	d.leaving[server] = true
	d.order = append(d.order, server)
	return true
}

// has reports whether a server announced that it is leaving.
func (d *Departures) has(server Server) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.leaving[incarnation{server.ID, server.Born}]
}

// UseDepartures makes the pool share a set of departures with others of this process. It
// must be called before servers are added.
func (p *Pool) UseDepartures(d *Departures) { p.departures = d }

// readLeaving records the announcement of the server at an address. Its registration may be
// gone while it answers its last requests.
func (p *Pool) readLeaving(address, text string) {
	if text != LeavingValue {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.byAddress(address); s != nil {
		p.markLeaving(s)
		return
	}
	if former, ok := p.formerHolders[address]; ok {
		p.departures.add(former)
	}
}

// MarkLeaving records that a server announced to another instance that it is leaving.
func (p *Pool) MarkLeaving(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.servers {
		if s.server.ID == id {
			p.markLeaving(s)
		}
	}
}

// markLeaving takes a server out of service; the caller holds mu.
func (p *Pool) markLeaving(s *serverState) {
	if p.departures.add(incarnation{s.server.ID, s.server.Born}) {
		p.log.Info("pool: server says that it is leaving", zap.String("server", s.server.ID), zap.String("service", s.server.Service))
	}
	s.server.Draining = true
}
