package platform

import "context"

// PathUsage takes usage reports.
const PathUsage = "/v1/usage"

// Report gives the sealed bytes of a usage window to the platform. Sending
// the same window again must send the same bytes.
func (c *Client) Report(ctx context.Context, address string, window uint64, epoch uint64, holder string, sealed []byte) error {
	wire := WireReport{Window: window, Epoch: epoch, Holder: holder, Sealed: string(sealed)}
	reply, err := c.call(ctx, "POST", address, PathUsage, wire)
	if err != nil {
		return err
	}
	return orderOutcome(reply.Status())
}

// WireReport is a usage report as JSON.
type WireReport struct {
	Window uint64 `json:"window"`
	Epoch  uint64 `json:"epoch"`
	Holder string `json:"holder"`
	Sealed string `json:"sealed"`
}
