package web

import (
	"bytes"
	"context"
	"io"

	"cactusspoke/internal/intake"

	"github.com/cloudwego/hertz/pkg/app"
)

// ReserveResponse makes size the memory that is taken for the response of a handler, before
// the handler allocates it. ctx is the handler's. The memory is released when the response
// was sent. The error is that of intake.Account.Charge.
func ReserveResponse(ctx context.Context, size int64) error {
	conn, ok := ctx.Value(connectionKey{}).(*meteredConn)
	if !ok {
		return nil
	}
	if more := size - conn.responseCharge; more > 0 {
		if err := conn.account.Charge(more); err != nil {
			return err
		}
	} else {
		conn.account.Release(-more)
	}
	conn.responseCharge = size
	return nil
}

// responseBody is a response that is complete in memory. The HTTP library copies bodies
// that are streams to the connection. Of other bodies it keeps the last part until it sends
// the next response.
type responseBody struct{ bytes.Reader }

// holdResponse makes a large response a stream, and counts what it holds until it was sent.
func (c *meteredConn) holdResponse(request *app.RequestContext) (held bool) {
	response := &request.Response
	if response.GetHijackWriter() != nil || response.IsBodyStream() {
		return false
	}
	data := response.BodyBytes()
	if len(data) <= writeStep {
		return false
	}
	body := &responseBody{}
	body.Reset(data)
	response.SetBodyStreamNoReset(body, len(data))
	if more := int64(cap(data)) - c.responseCharge; more > 0 {
		c.account.Force(more)
		c.responseCharge += more
	}
	return true
}

// freeResponse releases the memory of a response.
func (c *meteredConn) freeResponse() {
	if c.responseCharge == 0 {
		return
	}
	c.account.Release(c.responseCharge)
	c.responseCharge = 0
}

// ReadFrom writes the body of a response that is a stream.
func (c *meteredConn) ReadFrom(r io.Reader) (int64, error) {
	// The HTTP library limits r to the length of the body.
	limited, ok := r.(*io.LimitedReader)
	if !ok {
		return io.Copy(writerOnly{c}, r)
	}
	body, ok := limited.R.(*responseBody)
	if !ok {
		return io.Copy(writerOnly{c}, r)
	}
	return body.WriteTo(writerOnly{c})
}

// writerOnly hides the other methods of a connection from io.Copy.
type writerOnly struct{ io.Writer }

// sent notes that the response before has been sent.
func (c *meteredConn) sent() {
	c.freeBody()
	c.freeResponse()
	if c.writing {
		c.writing = false
		c.account.Enter(intake.Idle)
	}
}
