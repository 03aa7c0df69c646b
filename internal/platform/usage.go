package platform

import "context"

// PathUsage is the path to which usage reports are posted.
const PathUsage = "/v1/usage"

// ReportUsage sends the sealed usage report of a window to the platform. A repeated
// report of the same window must have the same bytes.
func (c *Client) ReportUsage(ctx context.Context, address string, window uint64, epoch uint64, holder string, sealed []byte) error {
	wire := WireReport{Window: window, Epoch: epoch, Holder: holder, Sealed: string(sealed)}
	reply, err := c.call(ctx, "POST", address, PathUsage, wire)
	if err != nil {
		return err
	}
	return statusError(reply.Status())
}

// WireReport is the JSON form of a usage report.
type WireReport struct {
	Window uint64 `json:"window"`
	Epoch  uint64 `json:"epoch"`
	Holder string `json:"holder"`
	Sealed string `json:"sealed"`
}
