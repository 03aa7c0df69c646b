package usage

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sort"
	"strconv"
	"strings"
	"time"

	"cactusspoke/internal/duty"
	"cactusspoke/internal/invariant"
	"cactusspoke/internal/logs"
	"cactusspoke/internal/peer"
	"cactusspoke/internal/store"

	"github.com/zeebo/errs"
	"go.uber.org/zap"
)

// Class prefixes the errors of this package.
var Class = errs.Class("usage")

// Keys in the store: the sealed windows, and the last window that was reported.
const (
	Prefix       = "usage/"
	sealedPrefix = Prefix + "sealed/"
	cursorKey    = Prefix + "cursor"
)

// collectDelay is the time from the end of a window until its usage is collected.
const collectDelay = time.Second

// retainedSealed is how many sealed windows are kept in the store.
const retainedSealed = 256

// InstanceUsage is the usage that one instance counted in a window.
type InstanceUsage struct {
	instance string
	counters []peer.UsageCounter
	missing  bool
}

// NewInstanceUsage returns the usage of an instance. missing means that the instance did
// not reply.
func NewInstanceUsage(instance string, counters []peer.UsageCounter, missing bool) InstanceUsage {
	return InstanceUsage{instance, counters, missing}
}

// Sender sends sealed windows to the platform.
type Sender interface {
	ReportUsage(ctx context.Context, address string, window, epoch uint64, holder string, sealed []byte) error
}

// Reporter seals windows and reports them to the platform while its instance holds the
// duty.
type Reporter struct {
	instance string
	address  string
	recorder *Recorder
	client   store.Client
	sender   Sender
	collect  func(ctx context.Context, window uint64) []InstanceUsage
	log      *zap.Logger
	reported map[uint64]string // the sealed windows that this instance sent
}

// NewReporter returns a reporter that reports to the platform at address. collect
// gets the usage in a window from every known instance.
func NewReporter(instance, address string, recorder *Recorder, client store.Client, sender Sender,
	collect func(ctx context.Context, window uint64) []InstanceUsage, log *zap.Logger,
) *Reporter {
	return &Reporter{instance: instance, address: address, recorder: recorder, client: client, sender: sender, collect: collect, log: log, reported: map[uint64]string{}}
}

// ReportNext reports the next window that has ended, if there is one.
func (r *Reporter) ReportNext(ctx context.Context, term *duty.Term) {
	ctx, cancel := term.Context(ctx)
	defer cancel()
	if err := r.reportNext(store.WithPriority(ctx, store.PrioritySeal), term); err != nil {
		r.log.Warn("usage: cannot report window, will retry", logs.Err(err))
	}
}

// reportNext reports the window after the cursor, if it has ended. Without a cursor,
// it starts after the last window that has ended.
func (r *Reporter) reportNext(ctx context.Context, term *duty.Term) error {
	cursor, err := r.client.Get(ctx, cursorKey)
	if err != nil {
		return Class.Wrap(err)
	}
	ended := r.recorder.Window(time.Now().Add(-collectDelay)) - 1
	if cursor.Revision() == 0 {
		return r.advanceCursor(ctx, cursor, ended)
	}
	last, err := strconv.ParseUint(string(cursor.Value()), 10, 64)
	if err != nil {
		return Class.Wrap(err)
	}
	if last >= ended {
		return nil
	}
	sealed, err := r.seal(ctx, last+1)
	if err != nil {
		return err
	}
	if err := r.report(ctx, term, last+1, sealed); err != nil {
		return err
	}
	return r.advanceCursor(ctx, cursor, last+1)
}

// advanceCursor sets the cursor to a window and deletes the expired sealed window.
func (r *Reporter) advanceCursor(ctx context.Context, cursor store.Record, window uint64) error {
	_, err := r.client.Put(ctx, cursorKey, []byte(strconv.FormatUint(window, 10)), cursor.Revision())
	if err != nil {
		return Class.Wrap(err)
	}
	return r.deleteExpired(ctx, window)
}

// deleteExpired deletes the sealed window that is retainedSealed windows before a
// window.
func (r *Reporter) deleteExpired(ctx context.Context, window uint64) error {
	delete(r.reported, window-retainedSealed)
	if window < retainedSealed {
		return nil
	}
	old, err := r.client.Get(ctx, sealedKey(window-retainedSealed))
	if err != nil || old.Revision() == 0 {
		return Class.Wrap(err)
	}
	return Class.Wrap(r.client.Delete(ctx, old.Key(), old.Revision()))
}

func sealedKey(window uint64) string { return fmt.Sprintf("%s%020d", sealedPrefix, window) }

// seal returns the final usage of a window. It collects the usage and writes it only
// if no instance has done so before, so that all reports of a window are the same.
func (r *Reporter) seal(ctx context.Context, window uint64) ([]byte, error) {
	existing, err := r.client.Get(ctx, sealedKey(window))
	if err != nil {
		return nil, Class.Wrap(err)
	}
	if existing.Revision() != 0 {
		return existing.Value(), nil
	}
	value := Encode(window, r.collect(ctx, window))
	_, err = r.client.Put(ctx, sealedKey(window), value, 0)
	if err == nil {
		return value, nil
	}
	if !errors.Is(err, store.ErrConflict) {
		return nil, Class.Wrap(err)
	}
	existing, err = r.client.Get(ctx, sealedKey(window))
	if err != nil {
		return nil, Class.Wrap(err)
	}
	if existing.Revision() == 0 {
		return nil, Class.New("window %d was sealed by another instance, but its key is absent", window)
	}
	return existing.Value(), nil
}

// report sends a sealed window if the lease is still held.
func (r *Reporter) report(ctx context.Context, term *duty.Term, window uint64, sealed []byte) error {
	previous, repeated := r.reported[window]
	invariant.Check(invariant.UsageOnce, !repeated || previous == string(sealed), "window %d is reported with other counts", window)
	if !term.Valid() {
		return Class.New("the lease ended before the window was reported")
	}
	r.reported[window] = string(sealed)
	return r.sender.ReportUsage(ctx, r.address, window, term.Epoch(), r.instance, sealed)
}

type counterJSON struct {
	Customer string `json:"customer"`
	Service  string `json:"service"`
	Kind     string `json:"kind"`
	Value    uint64 `json:"value"`
}

type windowJSON struct {
	Window    uint64        `json:"window"`
	Counters  []counterJSON `json:"figures"`
	Uncounted []string      `json:"uncounted-instances,omitempty"`
}

// Encode adds up the counters of all instances and encodes the window as JSON. It
// lists the instances that did not reply, which the sums do not include.
func Encode(number uint64, collected []InstanceUsage) []byte {
	sums := map[counterKey]uint64{}
	encoded := windowJSON{Window: number, Counters: []counterJSON{}}
	for _, c := range collected {
		if c.missing {
			encoded.Uncounted = append(encoded.Uncounted, c.instance)
		}
		for _, counter := range c.counters {
			sums[counterKey{counter.Customer(), counter.Service(), counter.Kind()}] += counter.Value()
		}
	}
	for key, value := range sums {
		encoded.Counters = append(encoded.Counters, counterJSON{key.customer, key.service, key.kind, value})
	}
	sort.Slice(encoded.Counters, func(i, j int) bool {
		a, b := encoded.Counters[i], encoded.Counters[j]
		return strings.Join([]string{a.Customer, a.Service, a.Kind}, "\x00") < strings.Join([]string{b.Customer, b.Service, b.Kind}, "\x00")
	})
	sort.Strings(encoded.Uncounted)
	data, err := json.Marshal(encoded)
	if err != nil {
		panic(err)
	}
	return data
}
