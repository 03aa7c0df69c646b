// Package platform speaks to the platform's services other than the
// key-value service. Each has a narrow interface and one file of wire form.
package platform

import (
	"context"
	"encoding/json"
	"time"

	"cactusspoke/internal/web"

	"github.com/zeebo/errs"
)

// Class prefixes the errors of this package.
var Class = errs.Class("platform")

// ErrRefused says that the platform refused an order with an old epoch.
var ErrRefused = Class.New("refused: a newer epoch was seen")

// callTimeout bounds one call.
const callTimeout = 2 * time.Second

// Client speaks to the platform over HTTP.
type Client struct {
	http *web.Client
}

// New returns a client.
func New(http *web.Client) *Client { return &Client{http: http} }

func (c *Client) call(ctx context.Context, method, address, path string, body any) (*web.Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request := web.NewRequest(method, "http://"+address+path)
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return nil, Class.Wrap(err)
		}
		request.WithBody("application/json", data)
	}
	reply, err := c.http.Do(ctx, request)
	if err != nil {
		return nil, Class.Wrap(err)
	}
	return reply, nil
}
