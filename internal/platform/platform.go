// Package platform is the HTTP client for the platform's services other than the
// key-value service. Each service has a file with its calls and its JSON form.
package platform

import (
	"context"
	"encoding/json"
	"time"

	"cactusspoke/internal/web"

	"github.com/zeebo/errs"
)

// Class is the error class of this package.
var Class = errs.Class("platform")

// ErrRefused means that the platform refused a request because it has seen a newer
// fencing epoch.
var ErrRefused = Class.New("refused: a newer epoch was seen")

// callTimeout limits one call.
const callTimeout = 2 * time.Second

// Client calls the platform's services over HTTP.
type Client struct {
	http *web.Client
}

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
