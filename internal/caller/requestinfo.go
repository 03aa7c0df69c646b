package caller

import (
	"cactusspoke/internal/failure"

	"github.com/cloudwego/hertz/pkg/app"
)

// requestInfoKey is the context key of a request's requestInfo.
const requestInfoKey = "account"

// unknown replaces the customer or service of a refused request when it is not
// known. Names that don't exist are also counted as unknown, so that callers
// cannot add names of their own to the usage counters.
const unknown = "unknown"

// requestInfo holds what is known of a request when a refusal of it is counted.
type requestInfo struct {
	customer string
	service  string
	// counted is set once the request is forwarded; the forwarder counts its
	// outcome from then on.
	counted bool
}

// requestInfoOf returns the requestInfo of a request.
func requestInfoOf(c *app.RequestContext) *requestInfo {
	if info, ok := c.Get(requestInfoKey); ok {
		return info.(*requestInfo)
	}
	return &requestInfo{customer: unknown, service: unknown}
}

// countRefusal counts a request that was refused before it was forwarded. A
// refusal that came before the caller was identified is still counted for the
// customer of the presented key. Polling for a pending step is not a refusal.
func (s *Server) countRefusal(c *app.RequestContext, err error) {
	info := requestInfoOf(c)
	kind := failure.KindOf(err)
	if info.counted || kind == failure.StepPending {
		return
	}
	if info.customer == unknown {
		_, _ = s.identify(c)
	}
	if _, ok := s.view.Current().Services()[info.service]; !ok {
		info.service = unknown
	}
	s.usageRecorder.Start(info.customer, info.service).Refuse(kind.String())
}
