package platform

import (
	"context"
	"encoding/json"
	"net/url"
)

// PathWeights is the path of the newest version of a service's weights.
const PathWeights = "/v1/weights"

// WireWeights is the JSON form of the newest version of a service's weights.
type WireWeights struct {
	Service string `json:"service"`
	Version int64  `json:"version"`
}

// Weights returns the newest version of a service's weights in the weight store, or
// zero if there is none.
func (c *Client) Weights(ctx context.Context, address, service string) (int64, error) {
	reply, err := c.call(ctx, "GET", address, PathWeights+"?service="+url.QueryEscape(service), nil)
	if err != nil {
		return 0, err
	}
	if reply.Status() != 200 {
		return 0, Class.New("weight store returned status %d", reply.Status())
	}
	var wire WireWeights
	if err := json.Unmarshal(reply.Body(), &wire); err != nil {
		return 0, Class.Wrap(err)
	}
	return wire.Version, nil
}
