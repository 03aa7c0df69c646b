package platform

import (
	"context"
	"time"
)

// PathOrders is the path to which orders are posted.
const PathOrders = "/v1/orders"

// Order requests a number of backend servers of a service in one failure domain.
type Order struct {
	id            string
	epoch         uint64
	holder        string
	service       string
	failureDomain string
	count         int
	validity      time.Duration
}

// NewOrder returns an order. The platform must not act on it after the duration
// validity.
func NewOrder(id string, epoch uint64, holder, service, failureDomain string, count int, validity time.Duration) Order {
	return Order{id, epoch, holder, service, failureDomain, count, validity}
}

// ID returns the order's id. The platform uses it to recognise a repeated order.
func (o Order) ID() string { return o.id }

// Epoch returns the fencing epoch of the sender.
func (o Order) Epoch() uint64 { return o.epoch }

// Holder returns the name of the sender, which holds the lease for orders.
func (o Order) Holder() string { return o.holder }

// Count returns the requested number of backend servers.
func (o Order) Count() int { return o.count }

// WireOrder is the JSON form of an order.
type WireOrder struct {
	ID            string `json:"id"`
	Epoch         uint64 `json:"epoch"`
	Holder        string `json:"holder"`
	Service       string `json:"service"`
	FailureDomain string `json:"failure-domain"`
	Count         int    `json:"count"`
	ValidMS       int64  `json:"valid-ms"`
}

// SendOrder sends an order. The request is aborted when the order's validity ends. The
// order's id makes it idempotent.
func (c *Client) SendOrder(ctx context.Context, address string, o Order) error {
	ctx, cancel := context.WithTimeout(ctx, o.validity)
	defer cancel()
	wire := WireOrder{o.id, o.epoch, o.holder, o.service, o.failureDomain, o.count, o.validity.Milliseconds()}
	reply, err := c.call(ctx, "POST", address, PathOrders, wire)
	if err != nil {
		return err
	}
	return statusError(reply.Status())
}

// statusError returns the error for the response status of a fenced request.
func statusError(status int) error {
	switch status {
	case 200:
		return nil
	case 409, 412:
		return ErrRefused
	default:
		return Class.New("platform returned status %d", status)
	}
}
