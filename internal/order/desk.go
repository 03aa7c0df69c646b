package order

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"cactusspoke/internal/duty"
	"cactusspoke/internal/invariant"
	"cactusspoke/internal/logs"
	"cactusspoke/internal/platform"
	"cactusspoke/internal/store"

	"github.com/zeebo/errs"
	"go.uber.org/zap"
)

// Class prefixes the errors of this package.
var Class = errs.Class("order")

// Prefix is the prefix of order intents in the store.
const Prefix = "orders/"

// maxValidity bounds how long an order may be on its way.
const maxValidity = time.Second

// Intent is an order as it was decided, before it was given.
type Intent struct {
	id      string
	epoch   uint64
	service string
	domain  string
	count   int
	settled bool
}

type intentWire struct {
	ID      string `json:"id"`
	Epoch   uint64 `json:"epoch"`
	Service string `json:"service"`
	Domain  string `json:"failure-domain"`
	Count   int    `json:"count"`
	Settled bool   `json:"settled"`
}

func encodeIntent(i Intent) []byte {
	data, err := json.Marshal(intentWire{i.id, i.epoch, i.service, i.domain, i.count, i.settled})
	if err != nil {
		panic(err)
	}
	return data
}

func decodeIntent(data []byte) (Intent, error) {
	var w intentWire
	if err := json.Unmarshal(data, &w); err != nil {
		return Intent{}, Class.Wrap(err)
	}
	return Intent{w.ID, w.Epoch, w.Service, w.Domain, w.Count, w.Settled}, nil
}

// Orders gives one order to the platform.
type Orders interface {
	SendOrder(ctx context.Context, address string, o platform.Order) error
}

// Desk gives orders while the lease is held. Every order is written to the
// store before it is given, so that a successor repeats what an earlier
// holder left unsettled under the same id, and never contradicts it.
type Desk struct {
	me       string
	address  string
	client   store.Client
	orders   Orders
	planner  *Planner
	demand   func(now time.Time) []Demand
	log      *zap.Logger
	epoch    uint64
	intents  map[string]store.Record
	sequence int
}

// NewDesk returns a desk that gives orders to the platform at an address.
func NewDesk(me, address string, client store.Client, orders Orders, planner *Planner,
	demand func(now time.Time) []Demand, log *zap.Logger,
) *Desk {
	return &Desk{me: me, address: address, client: client, orders: orders, planner: planner, demand: demand, log: log}
}

// Act is one round of the duty.
func (d *Desk) Act(ctx context.Context, term *duty.Term) {
	if err := d.takeOver(ctx, term); err != nil {
		d.log.Warn("order: intents not settled", logs.Err(err))
		return
	}
	for _, demand := range d.demand(time.Now()) {
		for _, want := range d.planner.Plan(demand) {
			if err := d.want(ctx, term, demand.service, want); err != nil {
				d.log.Warn("order: not given", logs.Err(err))
				return
			}
		}
	}
}

// takeOver reads all intents in a new term and settles the open ones.
func (d *Desk) takeOver(ctx context.Context, term *duty.Term) error {
	if d.epoch == term.Epoch() && d.intents != nil {
		return nil
	}
	ctx, cancel := term.Context(ctx)
	defer cancel()
	page, err := d.client.List(store.WithPriority(ctx, store.PriorityUrgent), Prefix)
	if err != nil {
		return Class.Wrap(err)
	}
	d.intents = nil
	found := map[string]store.Record{}
	for _, r := range page.Records() {
		found[r.Key()] = r
	}
	for key, r := range found {
		intent, err := decodeIntent(r.Value())
		if err != nil {
			return err
		}
		if intent.settled {
			continue
		}
		settled, err := d.give(ctx, term, r, intent)
		if err != nil {
			return err
		}
		found[key] = settled
	}
	d.intents = found
	d.epoch = term.Epoch()
	return nil
}

func (d *Desk) want(ctx context.Context, term *duty.Term, service string, want Want) error {
	ctx, cancel := term.Context(ctx)
	defer cancel()
	key := Prefix + service + "/" + want.failureDomain
	record := d.intents[key]
	if record.Revision() != 0 {
		last, err := decodeIntent(record.Value())
		if err != nil {
			return err
		}
		if last.count == want.count && last.settled {
			return nil
		}
	}
	d.sequence++
	intent := Intent{
		id: fmt.Sprintf("%d-%d-%s", term.Epoch(), d.sequence, d.me), epoch: term.Epoch(),
		service: service, domain: want.failureDomain, count: want.count,
	}
	written, err := d.put(ctx, key, intent, record.Revision())
	if err != nil {
		d.intents = nil
		return err
	}
	settled, err := d.give(ctx, term, written, intent)
	if err != nil {
		d.intents = nil
		return err
	}
	d.intents[key] = settled
	return nil
}

func (d *Desk) put(ctx context.Context, key string, intent Intent, expected store.Revision) (store.Record, error) {
	value := encodeIntent(intent)
	revision, err := d.client.Put(store.WithPriority(ctx, store.PriorityUrgent), key, value, expected)
	if err != nil {
		return store.Record{}, Class.Wrap(err)
	}
	return store.NewRecord(key, value, revision), nil
}

// errEnded says that the right to act ended before the order left.
var errEnded = errors.New("the lease ended")

// give sends one order and marks its intent as settled. The right to act is
// asked for at the last moment, and the order dies with it.
func (d *Desk) give(ctx context.Context, term *duty.Term, record store.Record, intent Intent) (store.Record, error) {
	validity := min(time.Until(term.Deadline()), maxValidity)
	if !term.Valid() || validity <= 0 {
		return record, errEnded
	}
	order := platform.NewOrder(intent.id, term.Epoch(), d.me, intent.service, intent.domain, intent.count, validity)
	invariant.Check(invariant.SingleOrders, term.Valid(), "order %s without the lease", intent.id)
	if err := d.orders.SendOrder(ctx, d.address, order); err != nil {
		return record, err
	}
	intent.settled = true
	return d.put(ctx, record.Key(), intent, record.Revision())
}
