package store

import (
	"context"
	"encoding/base64"
	"encoding/json"
	"errors"
	"net/url"
	"strconv"
	"time"

	"cactusspoke/internal/web"
)

// Paths and headers of the key-value service's HTTP API.
const (
	PathKey        = "/v1/kv"
	PathList       = "/v1/list"
	PathWatch      = "/v1/watch"
	HeaderRevision = "X-Revision"
)

// WireRecord is the JSON form of a record. The value is in base64.
type WireRecord struct {
	Key      string `json:"key"`
	Value    string `json:"value"`
	Revision uint64 `json:"revision"`
}

// WirePage is the JSON form of a page.
type WirePage struct {
	Records  []WireRecord `json:"records"`
	Revision uint64       `json:"revision"`
}

// HTTP is a Client that uses the HTTP API of the key-value service.
type HTTP struct {
	client  *web.Client
	address string
	timeout time.Duration
}

// NewHTTP returns a client for the service at address, an IP address and port. timeout
// limits each call. A watch may take this long in addition to its waiting time.
func NewHTTP(client *web.Client, address string, timeout time.Duration) *HTTP {
	return &HTTP{client: client, address: address, timeout: timeout}
}

// Get reads a key. The record of an absent key has revision zero.
func (h *HTTP) Get(ctx context.Context, key string) (Record, error) {
	reply, err := h.call(ctx, "GET", PathKey+"?key="+url.QueryEscape(key), nil, h.timeout)
	if err != nil {
		return Record{}, err
	}
	if reply.Status() == 404 {
		return Record{key: key}, nil
	}
	if reply.Status() != 200 {
		return Record{}, ErrNotApplied
	}
	rev, err := strconv.ParseUint(reply.Header(HeaderRevision), 10, 64)
	if err != nil {
		return Record{}, Class.Wrap(err)
	}
	return Record{key: key, value: reply.Body(), revision: Revision(rev)}, nil
}

// List reads all keys with a prefix.
func (h *HTTP) List(ctx context.Context, prefix string) (Page, error) {
	return h.getPage(ctx, PathList+"?prefix="+url.QueryEscape(prefix), h.timeout)
}

// Watch waits for changes to keys with a prefix.
func (h *HTTP) Watch(ctx context.Context, prefix string, after Revision, wait time.Duration) (Page, error) {
	query := url.Values{}
	query.Set("prefix", prefix)
	query.Set("after", strconv.FormatUint(uint64(after), 10))
	query.Set("wait-ms", strconv.FormatInt(wait.Milliseconds(), 10))
	return h.getPage(ctx, PathWatch+"?"+query.Encode(), wait+h.timeout)
}

// Put writes a key if it is at the expected revision.
func (h *HTTP) Put(ctx context.Context, key string, value []byte, expected Revision) (Revision, error) {
	reply, err := h.call(ctx, "PUT", writePath(key, expected), value, h.timeout)
	if err != nil {
		return 0, err
	}
	if err := writeStatusError(reply.Status()); err != nil {
		return 0, err
	}
	rev, err := strconv.ParseUint(reply.Header(HeaderRevision), 10, 64)
	if err != nil {
		return 0, errors.Join(ErrUnknown, err)
	}
	return Revision(rev), nil
}

// Delete deletes a key if it is at the expected revision.
func (h *HTTP) Delete(ctx context.Context, key string, expected Revision) error {
	reply, err := h.call(ctx, "DELETE", writePath(key, expected), nil, h.timeout)
	if err != nil {
		return err
	}
	return writeStatusError(reply.Status())
}

func writePath(key string, expected Revision) string {
	return PathKey + "?key=" + url.QueryEscape(key) + "&expected=" + strconv.FormatUint(uint64(expected), 10)
}

// writeStatusError returns the error for the response status of a write.
func writeStatusError(status int) error {
	switch status {
	case 200:
		return nil
	case 409:
		return ErrConflict
	case 503, 429:
		return ErrNotApplied
	default:
		return ErrUnknown
	}
}

func (h *HTTP) call(ctx context.Context, method, path string, body []byte, timeout time.Duration) (*web.Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	reply, err := h.client.Do(ctx, web.NewRequest(method, "http://"+h.address+path).WithBody("application/octet-stream", body))
	if errors.Is(err, web.ErrNotSent) {
		return nil, errors.Join(ErrNotApplied, err)
	}
	if err != nil {
		return nil, errors.Join(ErrUnknown, err)
	}
	return reply, nil
}

func (h *HTTP) getPage(ctx context.Context, path string, timeout time.Duration) (Page, error) {
	reply, err := h.call(ctx, "GET", path, nil, timeout)
	if err != nil {
		return Page{}, err
	}
	if reply.Status() != 200 {
		return Page{}, ErrNotApplied
	}
	var wire WirePage
	if err := json.Unmarshal(reply.Body(), &wire); err != nil {
		return Page{}, Class.Wrap(err)
	}
	return decodePage(wire)
}

func decodePage(wire WirePage) (Page, error) {
	page := Page{revision: Revision(wire.Revision)}
	for _, w := range wire.Records {
		value, err := base64.StdEncoding.DecodeString(w.Value)
		if err != nil {
			return Page{}, Class.Wrap(err)
		}
		page.records = append(page.records, Record{key: w.Key, value: value, revision: Revision(w.Revision)})
	}
	return page, nil
}

// EncodePage returns the JSON form of a page.
func EncodePage(p Page) WirePage {
	wire := WirePage{Revision: uint64(p.revision), Records: []WireRecord{}}
	for _, r := range p.records {
		wire.Records = append(wire.Records, WireRecord{
			Key:      r.key,
			Value:    base64.StdEncoding.EncodeToString(r.value),
			Revision: uint64(r.revision),
		})
	}
	return wire
}
