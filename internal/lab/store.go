package lab

import (
	"context"
	"errors"
	"os"
	"strconv"
	"sync/atomic"
	"time"

	"cactusspoke/internal/store"

	"github.com/cloudwego/hertz/pkg/app"
)

// Store simulates the platform's key-value service with an in-memory store.
type Store struct {
	*server
	memory *store.Memory
	reads  atomic.Uint64
	writes atomic.Uint64
}

// NewStore returns an empty store on an IP address and port.
func NewStore(address string) *Store {
	s := &Store{server: newServer(address), memory: store.NewMemory()}
	s.handleWithFaults("GET", store.PathKey, s.get)
	s.handleWithFaults("PUT", store.PathKey, s.put)
	s.handleWithFaults("DELETE", store.PathKey, s.remove)
	s.handleWithFaults("GET", store.PathList, s.list)
	s.handleWithFaults("GET", store.PathWatch, s.watch)
	s.http.Handle("GET", PathSeen, s.seen)
	return s
}

func (s *Store) get(ctx context.Context, c *app.RequestContext) {
	s.reads.Add(1)
	r, err := s.memory.Get(ctx, c.Query("key"))
	if err != nil || r.Revision() == 0 {
		c.SetStatusCode(404)
		return
	}
	c.Response.Header.Set(store.HeaderRevision, strconv.FormatUint(uint64(r.Revision()), 10))
	c.Data(200, "application/octet-stream", r.Value())
}

func (s *Store) put(ctx context.Context, c *app.RequestContext) {
	s.writes.Add(1)
	expected, err := strconv.ParseUint(c.Query("expected"), 10, 64)
	if err != nil {
		c.SetStatusCode(400)
		return
	}
	revision, err := s.memory.Put(ctx, c.Query("key"), c.Request.Body(), store.Revision(expected))
	c.SetStatusCode(writeStatus(err))
	if err == nil {
		c.Response.Header.Set(store.HeaderRevision, strconv.FormatUint(uint64(revision), 10))
	}
}

func (s *Store) remove(ctx context.Context, c *app.RequestContext) {
	s.writes.Add(1)
	expected, err := strconv.ParseUint(c.Query("expected"), 10, 64)
	if err != nil {
		c.SetStatusCode(400)
		return
	}
	c.SetStatusCode(writeStatus(s.memory.Delete(ctx, c.Query("key"), store.Revision(expected))))
}

func writeStatus(err error) int {
	switch {
	case err == nil:
		return 200
	case errors.Is(err, store.ErrConflict):
		return 409
	default:
		return 413
	}
}

func (s *Store) list(ctx context.Context, c *app.RequestContext) {
	s.reads.Add(1)
	page, err := s.memory.List(ctx, c.Query("prefix"))
	if err != nil {
		c.SetStatusCode(500)
		return
	}
	replyJSON(c, 200, store.EncodePage(page))
}

func (s *Store) watch(ctx context.Context, c *app.RequestContext) {
	s.reads.Add(1)
	after, err := strconv.ParseUint(c.Query("after"), 10, 64)
	if err != nil {
		c.SetStatusCode(400)
		return
	}
	wait, err := strconv.Atoi(c.Query("wait-ms"))
	if err != nil {
		c.SetStatusCode(400)
		return
	}
	page, err := s.memory.Watch(ctx, c.Query("prefix"), store.Revision(after), time.Duration(wait)*time.Millisecond)
	if err != nil {
		c.SetStatusCode(503)
		return
	}
	replyJSON(c, 200, store.EncodePage(page))
}

type storeSeen struct {
	Reads  uint64 `json:"reads"`
	Writes uint64 `json:"writes"`
	PID    int    `json:"pid"`
}

func (s *Store) seen(_ context.Context, c *app.RequestContext) {
	replyJSON(c, 200, storeSeen{s.reads.Load(), s.writes.Load(), os.Getpid()})
}
