package results

import (
	"context"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"cactusspoke/internal/batch"
	"cactusspoke/internal/web"

	"github.com/cloudwego/hertz/pkg/app"
)

const (
	// ResultsPath and ItemPath are the paths of the calls. The number is the version of
	// their query and body.
	ResultsPath = "/results/v1"
	ItemPath    = "/items/v1"
	// maxWait bounds how long a call waits for results.
	maxWait = 2 * time.Second
	// maxPageBytes bounds the texts of one page, beyond its first result.
	maxPageBytes = 1 << 20
)

// Server answers reads of entry instances at the duty holder.
type Server struct {
	isHolder func() bool
	// cache is that of the current term; nil while the process does not hold the duty.
	cache atomic.Pointer[Cache]
}

// NewServer returns a server. isHolder reports whether the process still holds the duty, and
// thus has seen all committed results.
func NewServer(isHolder func() bool) *Server { return &Server{isHolder: isHolder} }

// Use sets the cache of the current term; nil at its end.
func (s *Server) Use(cache *Cache) { s.cache.Store(cache) }

// Register adds the handlers to an HTTP server.
func (s *Server) Register(server *web.Server) {
	server.Handle(http.MethodGet, ResultsPath, s.ServeResults)
	server.Handle(http.MethodGet, ItemPath, s.ServeItem)
}

// current returns the cache, or false with a response if the process does not hold the duty.
func (s *Server) current(c *app.RequestContext) (*Cache, bool) {
	cache := s.cache.Load()
	if cache == nil || !s.isHolder() {
		c.SetStatusCode(http.StatusServiceUnavailable)
		return nil, false
	}
	return cache, true
}

// ServeResults responds with the results after a position, and waits for the next one if
// there is none yet. Whether the duty is still held is checked after the results were read:
// another holder may have committed more.
func (s *Server) ServeResults(ctx context.Context, c *app.RequestContext) {
	after, err := strconv.Atoi(c.Query("after"))
	waitMS, waitErr := strconv.Atoi(c.Query("wait-ms"))
	if err != nil || waitErr != nil || after < 0 || waitMS < 0 {
		c.SetStatusCode(http.StatusBadRequest)
		return
	}
	deadline := time.NewTimer(min(maxWait, time.Duration(waitMS)*time.Millisecond))
	defer deadline.Stop()
	expired := waitMS == 0
	for {
		cache, ok := s.current(c)
		if !ok {
			return
		}
		page, changed, ok := cache.Read(c.Query("job"), c.Query("customer"), after)
		if !ok {
			c.SetStatusCode(http.StatusNotFound)
			return
		}
		if len(page.Results) > 0 || expired || after >= page.Total {
			if _, held := s.current(c); held {
				respond(c, c.Query("customer"), page)
			}
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-deadline.C:
			expired = true
		}
	}
}

// respond sends a page of results in the format of a chunk.
func respond(c *app.RequestContext, customer string, page batch.ResultPage) {
	size := 0
	for i, r := range page.Results {
		size += len(r.Text) + entryOverheadBytes
		if size > maxPageBytes && i > 0 {
			page.Results = page.Results[:i]
			break
		}
	}
	c.SetContentType("application/json")
	c.SetStatusCode(http.StatusOK)
	c.Response.SetBodyRaw(batch.EncodeChunk(batch.Record{Customer: customer, Total: page.Total}, page.Results))
}

// ServeItem responds with the body of an item of an open job.
func (s *Server) ServeItem(_ context.Context, c *app.RequestContext) {
	cache, ok := s.current(c)
	if !ok {
		return
	}
	body, ok := cache.Item(c.Query("job"), c.Query("customer"), c.Query("item"))
	if !ok {
		c.SetStatusCode(http.StatusNotFound)
		return
	}
	c.SetContentType("application/octet-stream")
	c.SetStatusCode(http.StatusOK)
	c.Response.SetBodyRaw(body)
}
