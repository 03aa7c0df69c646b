package web

import (
	"errors"
	"io"
	"math/bits"
	"net"
	"net/http"
	"strconv"
	"time"

	"cactusspoke/internal/intake"

	"github.com/bytedance/gopkg/lang/mcache"
	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol/http1/ext"
)

const (
	// firstBodyBuffer is the first size of the buffer of a body.
	firstBodyBuffer = 64 << 10
	// bodyStep is how much of a body is read at a time.
	bodyStep = 64 << 10
	// chunkStep is the same for chunked bodies, which the HTTP library copies once more.
	chunkStep = 16 << 10
	// chunkOverhead is what the HTTP library holds for a chunked body at a time.
	chunkOverhead = 64 << 10
	// maxPooledBuffer is the largest buffer that is used again.
	maxPooledBuffer = 512 << 10
	// minBodyProgress is how much of a body a client must send within the read timeout.
	minBodyProgress = 4 << 10
	// retryAfterRefused is the Retry-After value, in seconds, of requests that are refused
	// for lack of memory. Stalled clients are closed within that time.
	retryAfterRefused = 1
)

// errBodyTooLong means that a body exceeds the server's limit.
var errBodyTooLong = Class.New("body of the request is too long")

// receiveBody reads the body of a request, whose stream the HTTP library provides, and
// makes it the request's body. If it returns false, it has responded.
func (s *Server) receiveBody(conn *meteredConn, c *app.RequestContext) bool {
	request := &c.Request
	if !request.IsBodyStream() {
		return true
	}
	length := request.Header.ContentLength()
	stream := request.BodyStream()
	if length >= 0 && length == len(request.BodyBytes()) {
		_ = ext.ReleaseBodyStream(stream)
		_ = request.CloseBodyStream()
		return true
	}
	conn.answerable.Store(true)
	err := s.readBody(conn, stream, length)
	conn.answerable.Store(false)
	if err != nil {
		_ = request.CloseBodyStream()
		s.refuse(conn, c, err)
		return false
	}
	_ = ext.ReleaseBodyStream(stream)
	request.SetBodyRaw(conn.body)
	request.Header.SetContentLength(len(conn.body))
	return true
}

// readBody reads a body into the connection's buffer, which is charged before it grows. The
// length is negative if it is not known.
func (s *Server) readBody(conn *meteredConn, stream io.Reader, length int) error {
	limit, step := s.maxBodyBytes, bodyStep
	if length > limit {
		return errBodyTooLong
	}
	if length >= 0 {
		limit = length
	} else {
		step = chunkStep
		conn.inChunks = true
		if err := conn.account.Charge(chunkOverhead); err != nil {
			return err
		}
		defer conn.account.Release(chunkOverhead)
	}
	recent := 0
	_ = conn.SetReadDeadline(time.Now().Add(s.readTimeout))
	for {
		size := len(conn.body)
		if size == limit && length >= 0 {
			return nil
		}
		full := size == cap(conn.body)
		if full && (size == 0 || length >= 0) {
			if err := conn.growBody(limit); err != nil {
				return err
			}
			full = false
		}
		space := conn.body[size:min(cap(conn.body), size+step)]
		if length >= 0 {
			space = space[:min(len(space), limit-size)]
		}
		if full {
			space = conn.overflow[:] // the body may end here
		}
		n, err := stream.Read(space)
		if size+n > limit {
			return errBodyTooLong
		}
		if full && n > 0 {
			if err := conn.growBody(limit); err != nil {
				return err
			}
			conn.body = append(conn.body, conn.overflow[0])
		} else {
			conn.body = conn.body[:size+n]
		}
		conn.passedOn(n)
		if errors.Is(err, io.EOF) && (length < 0 || len(conn.body) == length) {
			return nil
		}
		if err != nil {
			return err
		}
		if recent += n; recent >= minBodyProgress {
			recent = 0
			_ = conn.SetReadDeadline(time.Now().Add(s.readTimeout))
		}
	}
}

// growBody replaces the buffer of the body by a larger one, which need not exceed limit. The
// last two steps of a large one are a single one, because the buffers before and after it are
// held at once: doubling to the limit would take one and a half times the limit.
func (c *meteredConn) growBody(limit int) error {
	size := min(limit, max(firstBodyBuffer, 2*cap(c.body)))
	if size > maxPooledBuffer && size >= limit/2 {
		size = limit
	}
	charge := bufferBytes(size)
	if err := c.account.Charge(charge); err != nil {
		return err
	}
	grown := newBuffer(size)[:len(c.body)]
	copy(grown, c.body)
	freeBuffer(c.body)
	c.account.Release(c.bodyCharge)
	c.body, c.bodyCharge = grown, charge
	return nil
}

// bufferBytes returns what a buffer takes. Those that are used again have sizes that are
// powers of 2.
func bufferBytes(size int) int64 {
	if size > maxPooledBuffer {
		return int64(size)
	}
	return 1 << bits.Len(uint(size-1))
}

// newBuffer returns a buffer of at least a size.
func newBuffer(size int) []byte {
	if size > maxPooledBuffer {
		return make([]byte, size)
	}
	return mcache.Malloc(size)
}

func freeBuffer(buffer []byte) {
	if cap(buffer) > 0 && cap(buffer) <= maxPooledBuffer {
		mcache.Free(buffer)
	}
}

// refuse responds to a request that was not received. The connection is closed, as the rest
// of the request is not read.
func (s *Server) refuse(conn *meteredConn, c *app.RequestContext, cause error) {
	var timeout net.Error
	status := http.StatusBadRequest
	switch {
	case conn.evicted.Load(), errors.Is(cause, intake.ErrExhausted):
		status = http.StatusServiceUnavailable
		c.Response.Header.Set("Retry-After", strconv.Itoa(retryAfterRefused))
	case errors.Is(cause, errBodyTooLong), errors.Is(cause, intake.ErrTooLarge):
		status = http.StatusRequestEntityTooLarge
		conn.account.Refused("body")
	case errors.As(cause, &timeout) && timeout.Timeout():
		status = http.StatusRequestTimeout
		conn.account.Refused("stalled")
	}
	c.SetStatusCode(status)
	c.SetBodyString(http.StatusText(status))
	c.SetConnectionClose()
	s.intake.refused(c)
}

// chargeWork takes the memory that handling a request takes besides its body.
func (s *Server) chargeWork(conn *meteredConn, c *app.RequestContext) (int64, error) {
	if len(c.Request.Body()) == 0 {
		return 0, nil
	}
	work := s.intake.work(c)
	if work == 0 {
		return 0, nil
	}
	return conn.account.ChargeWork(work)
}
