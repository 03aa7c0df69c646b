package node

import (
	"bytes"
	"strings"

	"cactusspoke/internal/intake"
	"cactusspoke/internal/routetable"
	"cactusspoke/internal/web"

	"github.com/cloudwego/hertz/pkg/app"
)

// Bytes that a job takes besides its body while it is decoded: its items in the form of the
// store, which are no longer than the body, and a hash of each ID.
const (
	workPerByte = 1.125
	// workPerItem is for the hash, in a table that grows; an item has at least quotesPerItem
	// quotation marks, for its ID and its path.
	workPerItem   = 28
	quotesPerItem = 8
	// workPerPart is for the parts that are encoded for one write to the store.
	workPerPart = 4 << 20
)

// jobWork estimates the memory that a job takes while it is decoded and written to the store.
func jobWork(body []byte) int64 {
	items := bytes.Count(body, []byte{'"'}) / quotesPerItem
	return int64(workPerByte*float64(len(body))) + workPerItem*int64(items) + min(workPerPart, 2*int64(len(body)))
}

// callerIntake returns the intake of the port for callers.
func (e *Entry) callerIntake(budget *intake.Budget, view *routetable.View) *web.Intake {
	headers := e.adapter.Headers
	return web.NewIntake(budget).
		WithHeaderLimit(func() int {
			if table := view.Table(); table != nil {
				return table.Limits().HeaderBytes
			}
			return 0
		}).
		WithOwner(func(c *app.RequestContext) string {
			table := view.Table()
			if table == nil {
				return ""
			}
			key, _ := strings.CutPrefix(string(c.Request.Header.Peek("Authorization")), headers.AuthScheme)
			customer, known := table.CustomerByKey(key)
			if !known {
				return ""
			}
			return customer.Name
		}).
		WithWork(func(c *app.RequestContext) int64 {
			table := view.Table()
			if table == nil {
				return 0
			}
			path, _, _ := strings.Cut(string(c.Request.Header.RequestURI()), "?")
			route, ok := table.Match(string(c.Request.Header.Host()), path)
			if !ok || route.Kind != routetable.Rollout {
				return 0
			}
			return jobWork(c.Request.Body())
		}).
		WithRefused(func(c *app.RequestContext) {
			c.Response.Header.Set(headers.RequestID, string(c.Request.Header.Peek(headers.RequestID)))
		})
}
