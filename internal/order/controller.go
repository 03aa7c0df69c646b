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

// Prefix is the key prefix of order intents in the store.
const Prefix = "orders/"

// maxOrderValidity is the maximum time that an order may take to arrive; after that
// it is no longer valid.
const maxOrderValidity = time.Second

// Intent is an order that is stored before it is sent. It is confirmed once the
// platform has confirmed the order.
type Intent struct {
	id            string
	epoch         uint64
	service       string
	failureDomain string
	count         int
	confirmed     bool
}

type intentJSON struct {
	ID        string `json:"id"`
	Epoch     uint64 `json:"epoch"`
	Service   string `json:"service"`
	Domain    string `json:"failure-domain"`
	Count     int    `json:"count"`
	Confirmed bool   `json:"settled"`
}

func encodeIntent(i Intent) []byte {
	data, err := json.Marshal(intentJSON{i.id, i.epoch, i.service, i.failureDomain, i.count, i.confirmed})
	if err != nil {
		panic(err)
	}
	return data
}

func decodeIntent(data []byte) (Intent, error) {
	var w intentJSON
	if err := json.Unmarshal(data, &w); err != nil {
		return Intent{}, Class.Wrap(err)
	}
	return Intent{w.ID, w.Epoch, w.Service, w.Domain, w.Count, w.Confirmed}, nil
}

// Sender sends an order to the platform.
type Sender interface {
	SendOrder(ctx context.Context, address string, o platform.Order) error
}

// Controller sends orders for the targets of a planner while its instance holds the
// duty. It stores the intent of each order before it sends the order. So the next
// holder sends unconfirmed orders again with the same ids, and never another order
// under the same id.
type Controller struct {
	instance string
	address  string
	client   store.Client
	sender   Sender
	planner  *Planner
	demand   func(now time.Time) []Demand
	log      *zap.Logger
	epoch    uint64
	intents  map[string]store.Record
	sequence int
}

// NewController returns a controller that sends orders to the platform at address.
func NewController(instance, address string, client store.Client, sender Sender, planner *Planner,
	demand func(now time.Time) []Demand, log *zap.Logger,
) *Controller {
	return &Controller{instance: instance, address: address, client: client, sender: sender, planner: planner, demand: demand, log: log}
}

// Reconcile sends the orders for which the target has changed since the last one.
func (c *Controller) Reconcile(ctx context.Context, term *duty.Term) {
	if err := c.loadIntents(ctx, term); err != nil {
		c.log.Warn("order: cannot load and confirm earlier intents, will retry", logs.Err(err))
		return
	}
	for _, demand := range c.demand(time.Now()) {
		for _, target := range c.planner.Plan(demand) {
			if err := c.applyTarget(ctx, term, demand.service, target); err != nil {
				c.log.Warn("order: cannot send order, will retry", logs.Err(err))
				return
			}
		}
	}
}

// loadIntents reads all intents and sends the unconfirmed ones again, at the start of
// a term and after an error.
func (c *Controller) loadIntents(ctx context.Context, term *duty.Term) error {
	if c.epoch == term.Epoch() && c.intents != nil {
		return nil
	}
	ctx, cancel := term.Context(ctx)
	defer cancel()
	page, err := c.client.List(store.WithPriority(ctx, store.PriorityUrgent), Prefix)
	if err != nil {
		return Class.Wrap(err)
	}
	c.intents = nil
	records := map[string]store.Record{}
	for _, r := range page.Records() {
		records[r.Key()] = r
	}
	for key, r := range records {
		intent, err := decodeIntent(r.Value())
		if err != nil {
			return err
		}
		if intent.confirmed {
			continue
		}
		confirmed, err := c.sendOrder(ctx, term, r, intent)
		if err != nil {
			return err
		}
		records[key] = confirmed
	}
	c.intents = records
	c.epoch = term.Epoch()
	return nil
}

// applyTarget sends an order for a target, unless the last order was confirmed and
// has the same number of servers.
func (c *Controller) applyTarget(ctx context.Context, term *duty.Term, service string, target Target) error {
	ctx, cancel := term.Context(ctx)
	defer cancel()
	key := Prefix + service + "/" + target.failureDomain
	record := c.intents[key]
	if record.Revision() != 0 {
		previous, err := decodeIntent(record.Value())
		if err != nil {
			return err
		}
		if previous.count == target.count && previous.confirmed {
			return nil
		}
	}
	c.sequence++
	intent := Intent{
		id: fmt.Sprintf("%d-%d-%s", term.Epoch(), c.sequence, c.instance), epoch: term.Epoch(),
		service: service, failureDomain: target.failureDomain, count: target.count,
	}
	stored, err := c.putIntent(ctx, key, intent, record.Revision())
	if err != nil {
		c.intents = nil
		return err
	}
	confirmed, err := c.sendOrder(ctx, term, stored, intent)
	if err != nil {
		c.intents = nil
		return err
	}
	c.intents[key] = confirmed
	return nil
}

func (c *Controller) putIntent(ctx context.Context, key string, intent Intent, expected store.Revision) (store.Record, error) {
	value := encodeIntent(intent)
	revision, err := c.client.Put(store.WithPriority(ctx, store.PriorityUrgent), key, value, expected)
	if err != nil {
		return store.Record{}, Class.Wrap(err)
	}
	return store.NewRecord(key, value, revision), nil
}

// errLeaseEnded means that the lease ended before the order was sent.
var errLeaseEnded = errors.New("the lease ended before the order was sent")

// sendOrder sends the order of an intent and marks the intent as confirmed. It checks
// the lease just before it sends the order, which expires with the lease at the
// latest.
func (c *Controller) sendOrder(ctx context.Context, term *duty.Term, record store.Record, intent Intent) (store.Record, error) {
	validity := min(time.Until(term.Deadline()), maxOrderValidity)
	if !term.Valid() || validity <= 0 {
		return record, errLeaseEnded
	}
	order := platform.NewOrder(intent.id, term.Epoch(), c.instance, intent.service, intent.failureDomain, intent.count, validity)
	invariant.Check(invariant.SingleOrders, term.Valid(), "order %s sent without the lease", intent.id)
	if err := c.sender.SendOrder(ctx, c.address, order); err != nil {
		return record, err
	}
	intent.confirmed = true
	return c.putIntent(ctx, record.Key(), intent, record.Revision())
}
