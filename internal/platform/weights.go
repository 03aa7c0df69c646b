package platform

import (
	"context"
	"encoding/json"
	"net/url"
)

// PathWeights tells the newest version of a service's weights.
const PathWeights = "/v1/weights"

// WireWeights is the newest version as JSON.
type WireWeights struct {
	Service string `json:"service"`
	Version int64  `json:"version"`
}

// Weights returns the newest version in the weight store; zero means none.
func (c *Client) Weights(ctx context.Context, address, service string) (int64, error) {
	reply, err := c.call(ctx, "GET", address, PathWeights+"?service="+url.QueryEscape(service), nil)
	if err != nil {
		return 0, err
	}
	if reply.Status() != 200 {
		return 0, Class.New("weights answered %d", reply.Status())
	}
	var wire WireWeights
	if err := json.Unmarshal(reply.Body(), &wire); err != nil {
		return 0, Class.Wrap(err)
	}
	return wire.Version, nil
}
