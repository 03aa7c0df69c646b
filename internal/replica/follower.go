package replica

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"cactusspoke/internal/http1"
	"cactusspoke/internal/kv"

	"go.uber.org/zap"
)

const (
	// pollWait is how long a poll waits for changes. A relay that is frozen or cut off
	// is noticed after pollWait and pollSlack.
	pollWait = 700 * time.Millisecond
	// pollSlack is the time that a poll may take beyond pollWait.
	pollSlack = 400 * time.Millisecond
	// maxRelayAge is how long ago a relay may have reached the store. Relays renew
	// their registration more often than that.
	maxRelayAge = time.Second
	// relayPenalty is how long a relay that failed is not asked again.
	relayPenalty = 5 * time.Second
	// failureLogInterval bounds the log lines about one relay during an outage.
	failureLogInterval = 10 * time.Second
	// directTime is how long an instance watches the store after all its relays have
	// failed, with as much jitter.
	directTime = 5 * time.Second
	// maxDirectJitter spreads the followers of a failed relay.
	maxDirectJitter = 200 * time.Millisecond
	// planInterval is the time between two checks of the plan while the instance
	// watches the store.
	planInterval = 500 * time.Millisecond
)

// Config holds the dependencies of a Follower.
type Config struct {
	// Self returns this instance, and Members all instances that take part.
	Self    Member
	Members func() []Member
	Tables  []*Table
	// Watch updates all tables from the store until its context ends.
	Watch func(ctx context.Context)
	// StoreReachable reports whether this instance's last call reached the store.
	StoreReachable func() bool
	Client         *http1.Client
	Log            *zap.Logger
}

// Follower keeps tables up to date, from the store or from a relay.
type Follower struct {
	Config
	// relay is the relay that is polled, with its incarnation and sequence numbers.
	relay       string
	incarnation string
	sequences   []int64
	failedUntil map[string]time.Time
	loggedAt    map[string]time.Time

	mu     sync.Mutex
	direct bool
}

// NewFollower returns a follower.
func NewFollower(config Config) *Follower {
	return &Follower{Config: config, failedUntil: map[string]time.Time{}, loggedAt: map[string]time.Time{}, direct: true}
}

// Direct reports whether the instance watches the store. Then it may be a relay.
func (f *Follower) Direct() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.direct
}

func (f *Follower) setDirect(direct bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.direct = direct
}

// Run keeps the tables up to date until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		plan := MakePlan(f.Self, f.Members())
		relay, ok := f.chooseRelay(plan, time.Now())
		switch {
		case plan.Direct:
			f.watchUntil(ctx, func() bool { return !MakePlan(f.Self, f.Members()).Direct })
		case ok:
			f.setDirect(false)
			f.poll(ctx, relay)
		case !f.StoreReachable():
			// The store is away for the relays and for this instance.
			clear(f.failedUntil)
			kv.Sleep(ctx, pollWait)
		default:
			kv.Sleep(ctx, rand.N(maxDirectJitter))
			until := time.Now().Add(directTime + rand.N(directTime))
			f.Log.Info("replica: no relay answers, watching the store")
			f.watchUntil(ctx, func() bool { return time.Now().After(until) })
		}
	}
	return ctx.Err()
}

// watchUntil watches the store until a condition holds.
func (f *Follower) watchUntil(ctx context.Context, done func() bool) {
	f.setDirect(true)
	f.relay = ""
	ctx, cancel := context.WithCancel(ctx)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		f.Watch(ctx)
	}()
	for ctx.Err() == nil && !done() {
		kv.Sleep(ctx, planInterval)
	}
	cancel()
	<-ended
}

// chooseRelay returns the first relay of a plan that did not fail lately.
func (f *Follower) chooseRelay(plan Plan, now time.Time) (Member, bool) {
	for _, m := range plan.Relays {
		if now.After(f.failedUntil[m.Address]) {
			return m, true
		}
	}
	return Member{}, false
}

// poll polls a relay once and merges what it returns.
func (f *Follower) poll(ctx context.Context, relay Member) {
	if f.relay != relay.Address {
		f.relay, f.incarnation = relay.Address, ""
		f.sequences = make([]int64, len(f.Tables))
	}
	u, err := f.request(ctx, relay.Address)
	if ctx.Err() != nil {
		return
	}
	if err == nil && u.age > maxRelayAge {
		err = Class.New("the relay has not reached the store for %s", u.age)
	}
	if err != nil {
		f.logFailure(relay, err)
		f.failedUntil[relay.Address] = time.Now().Add(relayPenalty)
		f.relay = ""
		if u.incarnation == "" {
			return
		}
	}
	f.incarnation = u.incarnation
	for i, t := range f.Tables {
		f.sequences[i] = u.tables[i].Sequence
		t.Merge(u.tables[i])
		t.Reachable(err == nil)
	}
}

// logFailure logs the failure of a relay, once in failureLogInterval.
func (f *Follower) logFailure(relay Member, err error) {
	if now := time.Now(); now.Sub(f.loggedAt[relay.Address]) > failureLogInterval {
		f.loggedAt[relay.Address] = now
		f.Log.Warn("replica: relay failed", zap.String("relay", relay.Name), zap.String("reason", err.Error()))
	}
}

// request sends one poll.
func (f *Follower) request(ctx context.Context, address string) (update, error) {
	wait := pollWait
	if f.incarnation == "" {
		wait = 0
	}
	ctx, cancel := context.WithTimeout(ctx, wait+pollSlack)
	defer cancel()
	after := make([]string, len(f.sequences))
	for i, n := range f.sequences {
		after[i] = strconv.FormatInt(n, 10)
	}
	uri := Path + "?incarnation=" + url.QueryEscape(f.incarnation) + "&after=" + strings.Join(after, ",") + "&wait-ms=" + strconv.FormatInt(wait.Milliseconds(), 10)
	response, err := f.Client.Do(ctx, address, &http1.Request{Method: http.MethodGet, URI: uri, Host: address})
	if err != nil {
		return update{}, Class.Wrap(err)
	}
	defer response.Close()
	data, err := response.ReadAll(maxMessageBytes)
	if err != nil {
		return update{}, Class.Wrap(err)
	}
	if response.Status() != http.StatusOK {
		return update{}, Class.New("the relay answered with status %d", response.Status())
	}
	return decodeUpdate(data, response.Header("Content-Encoding") == "gzip", len(f.Tables))
}
