package replica

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"cactusspoke/internal/web"

	"github.com/cloudwego/hertz/pkg/app"
	"go.uber.org/zap"
)

const (
	// Path is the path of a poll. Its query holds the relay's incarnation at the last
	// poll, the last sequence numbers, and the time to wait for changes.
	Path = "/replica/v1/changes"
	// maxPollWait bounds how long a poll waits for changes.
	maxPollWait = 5 * time.Second
)

// Server answers the polls of followers.
type Server struct {
	incarnation string
	tables      []*Table
	signal      *Signal
	// age returns the time since this instance last reached the store.
	age func() time.Duration
	// active reports whether this instance watches the store. Otherwise two instances
	// could follow each other.
	active func() bool
	log    *zap.Logger
}

// NewServer returns a server of tables that share a signal. incarnation is unique to
// this run of the process.
func NewServer(incarnation string, tables []*Table, signal *Signal, age func() time.Duration, active func() bool, log *zap.Logger) *Server {
	return &Server{incarnation: incarnation, tables: tables, signal: signal, age: age, active: active, log: log}
}

// Register adds the handler to an HTTP server.
func (s *Server) Register(server *web.Server) { server.Handle(http.MethodGet, Path, s.Serve) }

// Serve answers a poll as soon as a table has changes, or after the time that the
// follower wants to wait.
func (s *Server) Serve(ctx context.Context, c *app.RequestContext) {
	if !s.active() {
		c.SetStatusCode(http.StatusServiceUnavailable)
		return
	}
	sequences, ok := s.parseSequences(c)
	if !ok {
		c.SetStatusCode(http.StatusBadRequest)
		return
	}
	wait, err := strconv.Atoi(c.Query("wait-ms"))
	if err != nil {
		wait = 0
	}
	deadline := time.NewTimer(min(maxPollWait, time.Duration(wait)*time.Millisecond))
	defer deadline.Stop()
	for {
		changed := s.signal.Changed()
		u, news := s.collect(sequences)
		if news {
			s.respond(c, u)
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-deadline.C:
			s.respond(c, u)
			return
		case <-changed:
		}
	}
}

// parseSequences returns the sequence numbers of a poll. They are negative if they
// belong to another incarnation.
func (s *Server) parseSequences(c *app.RequestContext) ([]int64, bool) {
	texts := strings.Split(c.Query("after"), ",")
	if len(texts) != len(s.tables) {
		return nil, false
	}
	out := make([]int64, len(texts))
	for i, text := range texts {
		n, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			return nil, false
		}
		out[i] = n
		if c.Query("incarnation") != s.incarnation {
			out[i] = -1
		}
	}
	return out, true
}

// collect returns the changes of all tables and whether there are any.
func (s *Server) collect(sequences []int64) (u update, news bool) {
	u = update{incarnation: s.incarnation, age: s.age()}
	for i, t := range s.tables {
		changes := t.Since(sequences[i])
		u.tables = append(u.tables, changes)
		news = news || changes.Complete || len(changes.Items) > 0
	}
	return u, news
}

func (s *Server) respond(c *app.RequestContext, u update) {
	data, packed, err := encodeUpdate(u)
	if err != nil {
		s.log.Error("replica: cannot encode an update", zap.String("reason", err.Error()))
		c.SetStatusCode(http.StatusInternalServerError)
		return
	}
	if packed {
		c.Response.Header.Set("Content-Encoding", "gzip")
	}
	c.SetContentType("application/json")
	c.SetStatusCode(http.StatusOK)
	c.Response.SetBodyRaw(data)
}
