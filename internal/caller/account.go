package caller

import (
	"cactusspoke/internal/failure"

	"github.com/cloudwego/hertz/pkg/app"
)

// accountKey is where a request's account is kept while it is answered.
const accountKey = "account"

// unknown stands for a customer or a service that a refused request did not
// make known. Names that callers make up are not counted.
const unknown = "unknown"

// account is what is known of a request for the account of refusals.
type account struct {
	customer string
	service  string
	counted  bool
}

func accountOf(c *app.RequestContext) *account {
	if a, ok := c.Get(accountKey); ok {
		return a.(*account)
	}
	return &account{customer: unknown, service: unknown}
}

// count notes a refusal that came before the request was forwarded; later
// ends are counted where they happen. A refusal that came before the caller
// was identified is still put to the account of the key's customer.
func (s *Server) count(c *app.RequestContext, err error) {
	a := accountOf(c)
	kind := failure.KindOf(err)
	if a.counted || kind == failure.StepPending {
		return
	}
	if a.customer == unknown {
		_, _ = s.identify(c)
	}
	if _, ok := s.view.Current().Services()[a.service]; !ok {
		a.service = unknown
	}
	s.ledger.Start(a.customer, a.service).Refuse(kind.String())
}
