package usage

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sort"
	"strconv"
	"strings"
	"time"

	"cactusspoke/internal/duty"
	"cactusspoke/internal/invariant"
	"cactusspoke/internal/logs"
	"cactusspoke/internal/peer"
	"cactusspoke/internal/store"

	"github.com/zeebo/errs"
	"go.uber.org/zap"
)

// Class prefixes the errors of this package.
var Class = errs.Class("usage")

// Keys of sealed windows in the store.
const (
	Prefix    = "usage/"
	sealedKey = Prefix + "sealed/"
	cursorKey = Prefix + "cursor"
)

// collectGrace is how long after its end a window is collected.
const collectGrace = time.Second

// keepSealed is how many sealed windows stay in the store.
const keepSealed = 256

// Collected is what one instance answered for a window.
type Collected struct {
	instance string
	counters []peer.UsageCounter
	missing  bool
}

// NewCollected returns an instance's figures; missing ones stand as such.
func NewCollected(instance string, counters []peer.UsageCounter, missing bool) Collected {
	return Collected{instance, counters, missing}
}

// Reports gives sealed windows to the platform.
type Reports interface {
	ReportUsage(ctx context.Context, address string, window, epoch uint64, holder string, sealed []byte) error
}

// Desk seals and reports windows while the lease is held.
type Desk struct {
	me      string
	address string
	ledger  *Ledger
	client  store.Client
	reports Reports
	collect func(ctx context.Context, window uint64) []Collected
	log     *zap.Logger
	sent    map[uint64]string
}

// NewDesk returns a desk that reports to the platform at an address. collect
// asks every known instance for its figures.
func NewDesk(me, address string, ledger *Ledger, client store.Client, reports Reports,
	collect func(ctx context.Context, window uint64) []Collected, log *zap.Logger,
) *Desk {
	return &Desk{me: me, address: address, ledger: ledger, client: client, reports: reports, collect: collect, log: log, sent: map[uint64]string{}}
}

// Act is one round of the duty: report the next window that has ended.
func (d *Desk) Act(ctx context.Context, term *duty.Term) {
	ctx, cancel := term.Context(ctx)
	defer cancel()
	if err := d.next(store.WithPriority(ctx, store.PrioritySeal), term); err != nil {
		d.log.Warn("usage: window not reported", logs.Err(err))
	}
}

func (d *Desk) next(ctx context.Context, term *duty.Term) error {
	cursor, err := d.client.Get(ctx, cursorKey)
	if err != nil {
		return Class.Wrap(err)
	}
	ended := d.ledger.Window(time.Now().Add(-collectGrace)) - 1
	if cursor.Revision() == 0 {
		return d.move(ctx, cursor, ended)
	}
	last, err := strconv.ParseUint(string(cursor.Value()), 10, 64)
	if err != nil {
		return Class.Wrap(err)
	}
	if last >= ended {
		return nil
	}
	sealed, err := d.seal(ctx, last+1)
	if err != nil {
		return err
	}
	if err := d.report(ctx, term, last+1, sealed); err != nil {
		return err
	}
	return d.move(ctx, cursor, last+1)
}

func (d *Desk) move(ctx context.Context, cursor store.Record, window uint64) error {
	_, err := d.client.Put(ctx, cursorKey, []byte(strconv.FormatUint(window, 10)), cursor.Revision())
	if err != nil {
		return Class.Wrap(err)
	}
	return d.dropOld(ctx, window)
}

func (d *Desk) dropOld(ctx context.Context, window uint64) error {
	delete(d.sent, window-keepSealed)
	if window < keepSealed {
		return nil
	}
	old, err := d.client.Get(ctx, key(window-keepSealed))
	if err != nil || old.Revision() == 0 {
		return Class.Wrap(err)
	}
	return Class.Wrap(d.client.Delete(ctx, old.Key(), old.Revision()))
}

func key(window uint64) string { return fmt.Sprintf("%s%020d", sealedKey, window) }

// seal fixes a window's figures for ever; whoever seals first decides.
func (d *Desk) seal(ctx context.Context, window uint64) ([]byte, error) {
	present, err := d.client.Get(ctx, key(window))
	if err != nil {
		return nil, Class.Wrap(err)
	}
	if present.Revision() != 0 {
		return present.Value(), nil
	}
	figures := Encode(window, d.collect(ctx, window))
	_, err = d.client.Put(ctx, key(window), figures, 0)
	if err == nil {
		return figures, nil
	}
	if !errors.Is(err, store.ErrConflict) {
		return nil, Class.Wrap(err)
	}
	present, err = d.client.Get(ctx, key(window))
	if err != nil {
		return nil, Class.Wrap(err)
	}
	if present.Revision() == 0 {
		return nil, Class.New("window %d is neither sealed nor free", window)
	}
	return present.Value(), nil
}

func (d *Desk) report(ctx context.Context, term *duty.Term, window uint64, sealed []byte) error {
	before, again := d.sent[window]
	invariant.Check(invariant.UsageOnce, !again || before == string(sealed), "window %d is reported with other figures", window)
	if !term.Valid() {
		return Class.New("the lease ended")
	}
	d.sent[window] = string(sealed)
	return d.reports.ReportUsage(ctx, d.address, window, term.Epoch(), d.me, sealed)
}

type figureWire struct {
	Customer string `json:"customer"`
	Service  string `json:"service"`
	Kind     string `json:"kind"`
	Value    uint64 `json:"value"`
}

type windowWire struct {
	Window    uint64       `json:"window"`
	Figures   []figureWire `json:"figures"`
	Uncounted []string     `json:"uncounted-instances,omitempty"`
}

// Encode adds up the figures of all instances. Instances that did not answer
// stand beside the figures and not inside them.
func Encode(number uint64, collected []Collected) []byte {
	sums := map[figure]uint64{}
	wire := windowWire{Window: number, Figures: []figureWire{}}
	for _, c := range collected {
		if c.missing {
			wire.Uncounted = append(wire.Uncounted, c.instance)
		}
		for _, f := range c.counters {
			sums[figure{f.Customer(), f.Service(), f.Kind()}] += f.Value()
		}
	}
	for f, v := range sums {
		wire.Figures = append(wire.Figures, figureWire{f.customer, f.service, f.kind, v})
	}
	sort.Slice(wire.Figures, func(i, j int) bool {
		a, b := wire.Figures[i], wire.Figures[j]
		return strings.Join([]string{a.Customer, a.Service, a.Kind}, "\x00") < strings.Join([]string{b.Customer, b.Service, b.Kind}, "\x00")
	})
	sort.Strings(wire.Uncounted)
	data, err := json.Marshal(wire)
	if err != nil {
		panic(err)
	}
	return data
}
