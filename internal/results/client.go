package results

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"cactusspoke/internal/batch"
	"cactusspoke/internal/http1"
	"cactusspoke/internal/kv"
	"cactusspoke/internal/telemetry"

	"go.uber.org/zap"
)

const (
	// HolderKey is the store key of the address at which the duty holder answers reads. It
	// is bound to the lease of the duty.
	HolderKey = "cluster/entry-holder"
	// callTimeout is the time that a call may take beyond the wait for results. The holder
	// answers from memory; the store can still be read in time after that.
	callTimeout = 250 * time.Millisecond
	// failurePause is how long the holder is not asked after a failed call. Its successor
	// announces itself within about that time.
	failurePause = time.Second
	// maxResponseBytes bounds a response: one page and one result of any size.
	maxResponseBytes = 40 << 20
	// announceRetryDelay is the pause after a failed write of the address.
	announceRetryDelay = 200 * time.Millisecond
)

type wireHolder struct {
	Address string `json:"address"`
}

// Announce writes the address at which the duty holder answers reads, under its lease.
func Announce(ctx context.Context, store kv.Store, fence kv.Condition, lease kv.LeaseID, address string, log *zap.Logger) error {
	data, err := json.Marshal(wireHolder{address})
	if err != nil {
		return Class.Wrap(err)
	}
	for ctx.Err() == nil {
		_, err = store.Commit(ctx, kv.Txn{Conditions: []kv.Condition{fence}, Puts: []kv.Put{{Key: HolderKey, Value: data, Lease: lease}}})
		if err == nil {
			return nil
		}
		log.Warn("results: announcing the holder failed, will retry", zap.String("reason", err.Error()))
		kv.Sleep(ctx, announceRetryDelay)
	}
	return ctx.Err()
}

// Client reads results at the duty holder. Its answers are as current as those of the store.
// It is safe for concurrent use.
type Client struct {
	client  *http1.Client
	metrics *telemetry.Registry
	log     *zap.Logger

	mu          sync.Mutex
	address     string
	pausedUntil time.Time
}

// NewClient returns a client without a holder.
func NewClient(client *http1.Client, metrics *telemetry.Registry, log *zap.Logger) *Client {
	return &Client{client: client, metrics: metrics, log: log}
}

// Read returns the results of a customer's job from a position on, after waiting up to wait
// for the next one. It reports false if the holder cannot tell, so that the store must be
// read.
func (c *Client) Read(ctx context.Context, id, customer string, after int, wait time.Duration) (batch.ResultPage, bool) {
	query := url.Values{"job": {id}, "customer": {customer}, "after": {strconv.Itoa(after)}, "wait-ms": {strconv.FormatInt(wait.Milliseconds(), 10)}}
	data, ok := c.call(ctx, ResultsPath, query, wait)
	if !ok {
		return batch.ResultPage{}, false
	}
	record, list, err := batch.DecodeChunk(id, data)
	if err != nil {
		c.fail("", err)
		return batch.ResultPage{}, false
	}
	return batch.ResultPage{Total: record.Total, Results: list}, true
}

// Item returns the body of an item of a customer's open job. It reports false if the holder
// does not have it.
func (c *Client) Item(ctx context.Context, id, customer, item string) ([]byte, bool) {
	return c.call(ctx, ItemPath, url.Values{"job": {id}, "customer": {customer}, "item": {item}}, 0)
}

// call sends one call to the holder. A failure pauses further calls.
func (c *Client) call(ctx context.Context, path string, query url.Values, wait time.Duration) ([]byte, bool) {
	address := c.holder(time.Now())
	if address == "" {
		c.metrics.Inc("holder_reads_total", "outcome", "no-holder")
		return nil, false
	}
	parent := ctx
	ctx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	response, err := c.client.Do(ctx, address, &http1.Request{Method: http.MethodGet, URI: path + "?" + query.Encode(), Host: address})
	if err != nil {
		if parent.Err() == nil {
			c.fail(address, err)
		}
		return nil, false
	}
	defer response.Close()
	data, err := response.ReadAll(maxResponseBytes)
	switch {
	case err != nil:
		if parent.Err() == nil {
			c.fail(address, err)
		}
		return nil, false
	case response.Status() == http.StatusNotFound:
		c.metrics.Inc("holder_reads_total", "outcome", "unknown-job")
		return nil, false
	case response.Status() != http.StatusOK:
		c.fail(address, Class.New("the holder answered with status %d", response.Status()))
		return nil, false
	}
	c.metrics.Inc("holder_reads_total", "outcome", "ok")
	return data, true
}

// holder returns the address of the holder; empty if there is none to ask now.
func (c *Client) holder(now time.Time) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Before(c.pausedUntil) {
		return ""
	}
	return c.address
}

// fail pauses calls to the holder that failed, unless another one has announced itself.
func (c *Client) fail(address string, err error) {
	c.metrics.Inc("holder_reads_total", "outcome", "failed")
	c.mu.Lock()
	defer c.mu.Unlock()
	if address != "" && address != c.address {
		return
	}
	now := time.Now()
	if now.After(c.pausedUntil) {
		c.log.Info("results: the holder does not answer, reading the store", zap.String("holder", c.address), zap.String("reason", err.Error()))
	}
	c.pausedUntil = now.Add(failurePause)
}

// Reset replaces the address; items is empty if no holder is known.
func (c *Client) Reset(items []kv.Item) {
	if len(items) == 0 {
		c.setAddress("")
	}
	c.Apply(items)
}

// Apply applies a change of the address.
func (c *Client) Apply(events []kv.Item) {
	for _, e := range events {
		if e.Deleted {
			c.setAddress("")
			continue
		}
		var w wireHolder
		if err := json.Unmarshal(e.Value, &w); err != nil {
			c.log.Error("results: cannot decode the address of the holder", zap.String("reason", err.Error()))
			c.setAddress("")
			continue
		}
		c.setAddress(w.Address)
	}
}

// Reachable does nothing: the holder may answer while the store does not.
func (c *Client) Reachable(bool) {}

// setAddress sets the address of the holder. A new one is asked at once.
func (c *Client) setAddress(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if address != c.address {
		c.address, c.pausedUntil = address, time.Time{}
	}
}
