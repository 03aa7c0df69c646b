package web

import (
	"cactusspoke/internal/intake"

	"github.com/cloudwego/hertz/pkg/app"
)

// Intake limits what the clients of a server may take of the process.
type Intake struct {
	budget  *intake.Budget
	headers func() int
	owner   func(c *app.RequestContext) string
	work    func(c *app.RequestContext) int64
	refused func(c *app.RequestContext)
}

// NewIntake returns an intake that takes memory and connections from a budget.
func NewIntake(budget *intake.Budget) *Intake {
	return &Intake{
		budget: budget, headers: func() int { return 0 },
		owner:   func(*app.RequestContext) string { return "" },
		work:    func(*app.RequestContext) int64 { return 0 },
		refused: func(*app.RequestContext) {},
	}
}

// WithHeaderLimit sets the function that returns the configured limit of headers, in bytes.
// It has an effect above defaultHeaderBytes.
func (i *Intake) WithHeaderLimit(limit func() int) *Intake {
	i.headers = limit
	return i
}

// WithOwner sets the function that returns the customer of a request.
func (i *Intake) WithOwner(owner func(c *app.RequestContext) string) *Intake {
	i.owner = owner
	return i
}

// WithWork sets the function that returns the bytes that a request takes while it is
// handled, besides its body.
func (i *Intake) WithWork(work func(c *app.RequestContext) int64) *Intake {
	i.work = work
	return i
}

// WithRefused sets a function that completes the response to a refused request.
func (i *Intake) WithRefused(complete func(c *app.RequestContext)) *Intake {
	i.refused = complete
	return i
}

// headerLimit returns the length at which a head is refused.
func (i *Intake) headerLimit() int { return min(maxHeaderBytes, max(defaultHeaderBytes, i.headers())) }
