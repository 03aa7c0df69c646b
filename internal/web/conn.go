package web

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"cactusspoke/internal/intake"
)

// Limits of a connection.
const (
	// defaultHeaderBytes limits the headers of a request unless the configuration names a
	// higher limit. It is four times what deployments configure.
	defaultHeaderBytes = 64 << 10
	// maxReadAhead is the most that the HTTP library reads before a handler is called,
	// besides the head: the beginning of the body and the rest of a buffer.
	maxReadAhead = 32 << 10
	// firstHeadBuffer is the first size of the buffer of a head that arrives in parts.
	firstHeadBuffer = 4 << 10
	// maxFraming limits what is read of a chunked body without a byte of content: lengths
	// of chunks, trailers, and chunks that are read in part.
	maxFraming = 64 << 10
	// freeFraming is the part of it that fits into the first buffer of the connection.
	freeFraming = 4 << 10
	// writeStep is how much is written at a time, so that progress is seen.
	writeStep = 64 << 10
	// writeTimeout is how long a client may take for writeStep bytes of a response.
	writeTimeout = 30 * time.Second
	// deadlineRefresh is the minimum time between two settings of a write deadline.
	deadlineRefresh = time.Second
)

var (
	errHeadTooLong = Class.New("head of the request is too long")
	errFraming     = Class.New("chunked body has too much framing")
)

const headTooLongResponse = "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"

// meteredConn is a client's connection below the HTTP library. It gathers the head of a
// request, so that the library parses it at once, limits its length, charges buffers before
// they grow, and writes responses in steps. The library reads and writes on one goroutine.
type meteredConn struct {
	*net.TCPConn
	intake  *Intake
	account *intake.Account
	// maxBodyBytes is the server's limit of a body.
	maxBodyBytes int
	// evicted means that the connection is being closed by the budget.
	evicted atomic.Bool
	// answerable means that the goroutine that reads a body responds with a refusal when
	// the connection is evicted.
	answerable atomic.Bool
	closed     sync.Once

	inHead bool
	// headEnded means that the end of the head was given to the library.
	headEnded bool
	// headBytes is how much was given to the library since the request began.
	headBytes int
	// scanner looks for the end of the head in what is given to the library.
	scanner headScanner
	// head holds what was gathered and not yet given to the library.
	head       []byte
	headCharge int64

	inChunks      bool
	framing       int
	framingCharge int64

	// body is the buffer of the body of the current request.
	body       []byte
	bodyCharge int64
	// responseCharge is what is held for the current response, and writing means that it is
	// large and being sent.
	responseCharge int64
	writing        bool
	// overflow receives content beyond the limit of a chunked body.
	overflow [1]byte

	deadlineSetAt time.Time
}

func newMeteredConn(conn *net.TCPConn, in *Intake, maxBodyBytes int) *meteredConn {
	c := &meteredConn{TCPConn: conn, intake: in, maxBodyBytes: maxBodyBytes, inHead: true}
	c.account = in.budget.Open(c.evict)
	return c
}

// evict ends the connection. If the connection receives a body, the client gets a response.
func (c *meteredConn) evict() {
	c.evicted.Store(true)
	if c.answerable.Load() {
		_ = c.TCPConn.SetReadDeadline(time.Unix(1, 0))
		return
	}
	_ = c.TCPConn.Close()
}

// Close closes the connection and releases what it holds.
func (c *meteredConn) Close() error {
	err := c.TCPConn.Close()
	c.closed.Do(c.account.Close)
	return err
}

// SetReadDeadline sets the deadline unless the connection is being closed.
func (c *meteredConn) SetReadDeadline(t time.Time) error {
	err := c.TCPConn.SetReadDeadline(t)
	if c.evicted.Load() {
		_ = c.TCPConn.SetReadDeadline(time.Unix(1, 0))
	}
	return err
}

// Read reads from the connection.
func (c *meteredConn) Read(p []byte) (int, error) {
	switch {
	case c.inHead:
		c.sent()
		return c.readHead(p)
	case c.inChunks:
		return c.readChunks(p)
	default:
		return c.TCPConn.Read(p)
	}
}

// readHead reads until a handler is called. The first bytes of a head are passed on as they
// come, since most heads come whole. The rest is gathered first: the library would copy what
// it has at each read, and keep all copies until the request ends.
func (c *meteredConn) readHead(p []byte) (int, error) {
	if len(c.head) > 0 {
		n := copy(p, c.head)
		c.head = c.head[n:]
		if len(c.head) == 0 {
			c.freeHead()
		}
		return n, nil
	}
	if c.headBytes > c.intake.headerLimit()+maxReadAhead {
		return 0, c.refuseHead()
	}
	if c.headEnded && c.scanner.length > c.maxBodyBytes {
		// The library would wait for the beginning of the body. After this error it calls
		// the handler, which refuses the request.
		return 0, errBodyTooLong
	}
	if c.headEnded || c.headBytes == 0 {
		n, err := c.TCPConn.Read(p)
		if n > 0 && c.headBytes == 0 {
			c.account.Enter(intake.Reading)
		}
		c.scan(p[:n])
		return n, err
	}
	if err := c.gather(); err != nil {
		c.freeHead()
		return 0, err
	}
	return c.readHead(p)
}

// gather reads until the end of the head.
func (c *meteredConn) gather() error {
	limit := c.intake.headerLimit()
	for !c.headEnded {
		if c.headBytes >= limit {
			return c.refuseHead()
		}
		if len(c.head) == cap(c.head) {
			if err := c.growHead(); err != nil {
				return err
			}
		}
		n, err := c.TCPConn.Read(c.head[len(c.head):cap(c.head)])
		c.account.Progress(n)
		c.scan(c.head[len(c.head) : len(c.head)+n])
		c.head = c.head[:len(c.head)+n]
		if err != nil && !c.headEnded {
			return err
		}
	}
	return nil
}

func (c *meteredConn) growHead() error {
	size := max(firstHeadBuffer, 2*cap(c.head))
	// The library holds the same bytes again once they are given to it.
	charge := int64(2 * size)
	if err := c.account.Charge(charge); err != nil {
		return err
	}
	grown := make([]byte, len(c.head), size)
	copy(grown, c.head)
	c.account.Release(c.headCharge)
	c.head, c.headCharge = grown, charge
	return nil
}

// freeHead gives the buffer of the head back. The library holds a copy of it until the
// request ends, which beginRequest releases.
func (c *meteredConn) freeHead() { c.head = nil }

// refuseHead responds to a head that is too long.
func (c *meteredConn) refuseHead() error {
	c.account.Refused("head")
	_ = c.SetWriteDeadline(time.Now().Add(deadlineRefresh))
	_, _ = c.TCPConn.Write([]byte(headTooLongResponse))
	_ = c.TCPConn.Close()
	return errHeadTooLong
}

// scan notes whether the head ends within the next bytes.
func (c *meteredConn) scan(p []byte) {
	c.headBytes += len(p)
	if c.headEnded {
		return
	}
	c.headEnded = c.scanner.scan(p)
}

// readChunks reads a chunked body. The library keeps what it read of the framing, and copies
// of it, until it passes on content.
func (c *meteredConn) readChunks(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p[:min(len(p), chunkStep)])
	c.framing += n
	if c.framing > maxFraming {
		c.account.Refused("framing")
		return 0, errFraming
	}
	if c.framing <= freeFraming {
		return n, err
	}
	charge := int64(c.framing)
	if chargeErr := c.account.Charge(charge); chargeErr != nil {
		return 0, chargeErr
	}
	c.framingCharge += charge
	return n, err
}

// passedOn notes that the library passed on content of a body.
func (c *meteredConn) passedOn(n int) {
	c.account.Progress(n)
	c.framing = 0
	c.account.Release(c.framingCharge)
	c.framingCharge = 0
}

// beginRequest notes that the head of a request was parsed.
func (c *meteredConn) beginRequest(owner string) {
	c.sent()
	c.inHead = false
	c.account.SetOwner(owner)
}

// endRequest notes that the handler of a request has ended. buffered is what the library has
// read of the next request, and writing means that a large response is to be sent.
func (c *meteredConn) endRequest(buffered []byte, writing bool) {
	c.account.Release(c.headCharge + c.framingCharge)
	c.headCharge, c.framingCharge, c.framing = 0, 0, 0
	c.inHead, c.inChunks, c.headEnded, c.headBytes, c.scanner = true, false, false, 0, headScanner{}
	phase := intake.Idle
	if len(buffered) > 0 {
		phase = intake.Reading
		c.scan(buffered)
	}
	if c.writing = writing; writing {
		phase = intake.Writing
	}
	c.account.Enter(phase)
}

// freeBody releases the body of the request before, whose response has been sent.
func (c *meteredConn) freeBody() {
	if c.body == nil && c.bodyCharge == 0 {
		return
	}
	freeBuffer(c.body)
	c.body = nil
	c.account.Release(c.bodyCharge)
	c.bodyCharge = 0
}

// Write writes a part of a response.
func (c *meteredConn) Write(p []byte) (int, error) {
	if len(p) <= writeStep {
		c.extendWriteDeadline(deadlineRefresh)
		return c.TCPConn.Write(p)
	}
	written := 0
	for written < len(p) {
		c.extendWriteDeadline(0)
		n, err := c.TCPConn.Write(p[written:min(len(p), written+writeStep)])
		written += n
		c.account.Progress(n)
		if err != nil {
			return written, c.writeError(err)
		}
	}
	return written, nil
}

func (c *meteredConn) writeError(err error) error {
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		c.account.Refused("unread")
	}
	return err
}

// extendWriteDeadline sets the write deadline if it was not set within a time.
func (c *meteredConn) extendWriteDeadline(refresh time.Duration) {
	now := time.Now()
	if now.Sub(c.deadlineSetAt) < refresh {
		return
	}
	c.deadlineSetAt = now
	_ = c.SetWriteDeadline(now.Add(writeTimeout))
}
