package platform

import (
	"context"
	"time"
)

// PathOrders takes orders of backend servers.
const PathOrders = "/v1/orders"

// Order asks for a number of backend servers in one failure domain.
type Order struct {
	id            string
	epoch         uint64
	holder        string
	service       string
	failureDomain string
	count         int
	validity      time.Duration
}

// NewOrder returns an order. The platform must not act on it after validity.
func NewOrder(id string, epoch uint64, holder, service, failureDomain string, count int, validity time.Duration) Order {
	return Order{id, epoch, holder, service, failureDomain, count, validity}
}

// ID returns the order's id, by which a repeated order is known.
func (o Order) ID() string { return o.id }

// Epoch returns the fencing epoch of who gives the order.
func (o Order) Epoch() uint64 { return o.epoch }

// Holder returns who gives the order.
func (o Order) Holder() string { return o.holder }

// Count returns how many backend servers are wanted.
func (o Order) Count() int { return o.count }

// WireOrder is an order as JSON.
type WireOrder struct {
	ID            string `json:"id"`
	Epoch         uint64 `json:"epoch"`
	Holder        string `json:"holder"`
	Service       string `json:"service"`
	FailureDomain string `json:"failure-domain"`
	Count         int    `json:"count"`
	ValidMS       int64  `json:"valid-ms"`
}

// Order gives an order, and cuts the connection when its validity ends. The
// order's id makes it idempotent.
func (c *Client) Order(ctx context.Context, address string, o Order) error {
	ctx, cancel := context.WithTimeout(ctx, o.validity)
	defer cancel()
	wire := WireOrder{o.id, o.epoch, o.holder, o.service, o.failureDomain, o.count, o.validity.Milliseconds()}
	reply, err := c.call(ctx, "POST", address, PathOrders, wire)
	if err != nil {
		return err
	}
	return orderOutcome(reply.Status())
}

func orderOutcome(status int) error {
	switch status {
	case 200:
		return nil
	case 409, 412:
		return ErrRefused
	default:
		return Class.New("order answered %d", status)
	}
}
