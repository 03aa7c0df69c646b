package reach

import (
	"context"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"cactusspoke/internal/http1"
	"cactusspoke/internal/telemetry"

	"go.uber.org/zap"
)

const (
	// evidenceMaxAge is how long evidence on a server is used. Checks are repeated more often
	// than that while the paths are lost.
	evidenceMaxAge = 2 * time.Second
	// suspicionMaxAge is how long a failed request counts towards a check.
	suspicionMaxAge = time.Second
	// checkInterval is the minimum time between two checks of a service. Slow servers cause
	// checks as well, and these must not add to their load.
	checkInterval = 2 * time.Second
	// recheckInterval is the time between two checks while the paths count as lost.
	recheckInterval = 400 * time.Millisecond
	// pruneInterval is the time after which old evidence is dropped at the latest.
	pruneInterval = 30 * time.Second
	// announcedTime is how long a service stays announced as lost after its paths are
	// restored. The delay keeps callers in place during intermittent faults.
	announcedTime = 2 * time.Second
	// checkedServers is the number of servers that one check connects to, beside up to
	// checkedSuspects that failed requests. More would burden the servers when all instances
	// return at once.
	checkedServers  = 4
	checkedSuspects = 2
)

// Config holds the dependencies of a Monitor.
type Config struct {
	// Addresses returns the addresses of the servers of a service that accept requests.
	Addresses func(service string) []string
	// Connect opens a connection to an address and may keep it for a later request.
	Connect func(ctx context.Context, address string) error
	// Restored is called without locks held when the paths to a service are back.
	Restored func(service string)
	Metrics  *telemetry.Registry
	Log      *zap.Logger
}

// Monitor collects evidence on the paths to servers from requests and, after failures,
// from connections that it opens itself. It is safe for concurrent use.
type Monitor struct {
	config Config
	wake   chan struct{}

	mu sync.Mutex
	// paths holds the last evidence on each address.
	paths    map[string]evidence
	services map[string]*serviceState
}

type evidence struct {
	up bool
	at time.Time
}

// serviceState is the state of the checks of a service.
type serviceState struct {
	// suspects holds when requests to addresses failed without a response.
	suspects  map[string]time.Time
	lost      bool
	lostAt    time.Time
	checking  bool
	checkedAt time.Time
}

// NewMonitor returns a monitor without evidence.
func NewMonitor(config Config) *Monitor {
	return &Monitor{config: config, wake: make(chan struct{}, 1), paths: map[string]evidence{}, services: map[string]*serviceState{}}
}

// Observer returns an observer of the client that sends requests to servers.
func (m *Monitor) Observer() http1.Observer {
	return http1.Observer{
		Answered: func(address string, _ int, _ http.Header) { m.record(address, evidence{true, time.Now()}) },
		Dialed: func(address string, took time.Duration, err error) {
			// A failed dial is evidence from its start.
			m.record(address, evidence{err == nil, time.Now().Add(-took)})
		},
	}
}

// record records whether the server at an address was reachable, unless something later
// is known.
func (m *Monitor) record(address string, e evidence) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if e.at.Before(m.paths[address].at) {
		return
	}
	m.paths[address] = e
}

// Suspect records that a request to a server of a service failed without a response.
// After two servers, or the only one, the service is checked.
func (m *Monitor) Suspect(service, address string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	s := m.service(service)
	s.suspects[address] = now
	maps.DeleteFunc(s.suspects, func(_ string, at time.Time) bool { return now.Sub(at) > suspicionMaxAge })
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// service returns the state of a service; the caller holds mu.
func (m *Monitor) service(name string) *serviceState {
	s, ok := m.services[name]
	if !ok {
		s = &serviceState{suspects: map[string]time.Time{}}
		m.services[name] = s
	}
	return s
}

// Knowledge returns what is known of the servers of a service, without the peers.
func (m *Monitor) Knowledge(service string) Knowledge {
	addresses := m.config.Addresses(service)
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.knowledge(addresses, time.Now())
}

// knowledge counts the fresh evidence on addresses. That a server was reachable before the
// first failure does not count: the path may have been lost since. The caller holds mu.
func (m *Monitor) knowledge(addresses []string, now time.Time) Knowledge {
	k := Knowledge{Servers: len(addresses)}
	firstDown := now.Add(-evidenceMaxAge)
	for _, address := range addresses {
		if e, known := m.paths[address]; known && !e.up && now.Sub(e.at) <= evidenceMaxAge {
			if k.Down == 0 || e.at.Before(firstDown) {
				firstDown = e.at
			}
			k.Down++
		}
	}
	for _, address := range addresses {
		if e := m.paths[address]; e.up && now.Sub(e.at) <= evidenceMaxAge && !e.at.Before(firstDown) {
			k.Up++
		}
	}
	return k
}

// Lost returns the services to which the paths are lost or were until just now, sorted.
func (m *Monitor) Lost() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var lost []string
	for name, s := range m.services {
		if s.lost || time.Since(s.lostAt) < announcedTime {
			lost = append(lost, name)
		}
	}
	slices.Sort(lost)
	return lost
}

// Run checks services until the context ends.
func (m *Monitor) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		next := pruneInterval
		if m.update() {
			next = recheckInterval
		}
		select {
		case <-ctx.Done():
		case <-m.wake:
		case <-time.After(next):
		}
		for service, addresses := range m.due() {
			go m.check(ctx, service, addresses)
		}
	}
	return ctx.Err()
}

// due returns the addresses to connect to, by service, and marks their checks as begun.
func (m *Monitor) due() map[string][]string {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	out := map[string][]string{}
	for name, s := range m.services {
		addresses := m.config.Addresses(name)
		interval := checkInterval
		if s.lost {
			interval = recheckInterval
		}
		suspected := len(s.suspects) >= min(2, max(1, len(addresses)))
		if s.checking || now.Sub(s.checkedAt) < interval-recheckInterval/2 || !s.lost && !suspected {
			continue
		}
		s.checking, s.checkedAt = true, now
		out[name] = m.sample(addresses, s)
		clear(s.suspects)
	}
	return out
}

// sample returns random addresses, or those with the oldest evidence while the paths are
// lost, and a few suspects in addition. A sample of suspects only, or of none, would be biased.
func (m *Monitor) sample(addresses []string, s *serviceState) []string {
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	if s.lost {
		slices.SortStableFunc(addresses, func(a, b string) int { return m.paths[a].at.Compare(m.paths[b].at) })
	}
	size := min(checkedServers, len(addresses))
	out := addresses[:size:size]
	suspected := 0
	for _, address := range addresses[size:] {
		if _, ok := s.suspects[address]; ok && suspected < checkedSuspects {
			suspected++
			out = append(out, address)
		}
	}
	return out
}

// check connects to addresses of a service at once. The client records the outcomes.
func (m *Monitor) check(ctx context.Context, service string, addresses []string) {
	var group sync.WaitGroup
	for _, address := range addresses {
		group.Go(func() {
			outcome := "up"
			if m.config.Connect(ctx, address) != nil {
				outcome = "down"
			}
			m.config.Metrics.Inc("path_checks_total", "outcome", outcome)
		})
	}
	group.Wait()
	m.mu.Lock()
	m.service(service).checking = false
	m.mu.Unlock()
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// update brings the state of each service up to date, drops old evidence and reports
// whether the paths to any service are lost.
func (m *Monitor) update() bool {
	var restored []string
	defer func() {
		for _, service := range restored {
			m.config.Restored(service)
		}
	}()
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	anyLost := int64(0)
	for name, s := range m.services {
		k := m.knowledge(m.config.Addresses(name), now)
		lost := k.Lost()
		if lost != s.lost {
			m.config.Log.Info("reach: paths to servers", zap.String("service", name), zap.Bool("lost", lost),
				zap.Int("up", k.Up), zap.Int("down", k.Down), zap.Int("servers", k.Servers))
		}
		if s.lost && !lost {
			restored = append(restored, name)
		}
		s.lost = lost
		if lost {
			s.lostAt = now
			anyLost++
		}
	}
	maps.DeleteFunc(m.paths, func(_ string, e evidence) bool { return now.Sub(e.at) > evidenceMaxAge })
	m.config.Metrics.SetGauge("lost_services", anyLost)
	return anyLost > 0
}
