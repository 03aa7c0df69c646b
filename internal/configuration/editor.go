package configuration

import (
	"context"
	"errors"
	"fmt"

	"cactusspoke/internal/key"
	"cactusspoke/internal/profile"
	"cactusspoke/internal/store"

	"github.com/zeebo/errs"
)

// Class prefixes the errors of this package.
var Class = errs.Class("configuration")

// AnyEdit disables the check of the expected edit number in PutProfile.
const AnyEdit = ^uint64(0)

// maxAttempts limits how often an unconditional update is retried after a write conflict.
const maxAttempts = 8

// ConflictError reports that another operator changed the profile first.
type ConflictError struct {
	expected uint64
	current  *profile.Profile
	proposed *profile.Profile
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("conflict: the edit was made against edit %d, but edit %d stands", e.expected, e.current.Edit())
}

// Current returns the profile that is currently stored.
func (e *ConflictError) Current() *profile.Profile { return e.current }

// Proposed returns the profile whose write was rejected.
func (e *ConflictError) Proposed() *profile.Profile { return e.proposed }

// Editor changes the configuration in the store on behalf of operators.
type Editor struct {
	client store.Client
}

func NewEditor(client store.Client) *Editor { return &Editor{client: client} }

// WriteResult is the result of a successful write.
type WriteResult struct {
	edit     uint64
	revision store.Revision
}

// Edit returns the edit number, or zero for records that have none.
func (a WriteResult) Edit() uint64 { return a.edit }

// Revision returns the store revision of the write.
func (a WriteResult) Revision() store.Revision { return a.revision }

// Profile returns the stored profile and its revision, or nil if it does not exist.
func (e *Editor) Profile(ctx context.Context, name string) (*profile.Profile, store.Revision, error) {
	r, err := e.client.Get(ctx, profile.ProfileKey(name))
	if err != nil || r.Revision() == 0 {
		return nil, 0, Class.Wrap(err)
	}
	p, err := profile.DecodeProfile(r.Value())
	return p, r.Revision(), err
}

// PutProfile writes a profile if the stored edit number equals expected. The
// stored content is copied to the history first, so that no accepted edit is
// lost.
func (e *Editor) PutProfile(ctx context.Context, p *profile.Profile, expected uint64) (WriteResult, error) {
	current, revision, err := e.Profile(ctx, p.Name())
	if err != nil {
		return WriteResult{}, err
	}
	currentEdit := uint64(0)
	if current != nil {
		currentEdit = current.Edit()
	}
	if expected != AnyEdit && expected != currentEdit {
		if current == nil {
			return WriteResult{}, Class.New("profile %q does not exist yet; its first edit must be made against edit 0", p.Name())
		}
		return WriteResult{}, &ConflictError{expected, current, p}
	}
	next := p.WithEdit(currentEdit + 1)
	if current != nil {
		if err := e.archive(ctx, current); err != nil {
			return WriteResult{}, err
		}
	}
	written, err := e.client.Put(ctx, profile.ProfileKey(p.Name()), profile.EncodeProfile(next), revision)
	if errors.Is(err, store.ErrConflict) && !errors.Is(err, store.ErrUnknown) {
		return WriteResult{}, e.conflictError(ctx, p, currentEdit)
	}
	if err != nil {
		return WriteResult{}, Class.Wrap(err)
	}
	return WriteResult{next.Edit(), written}, nil
}

func (e *Editor) conflictError(ctx context.Context, proposed *profile.Profile, expected uint64) error {
	current, _, err := e.Profile(ctx, proposed.Name())
	if err != nil {
		return err
	}
	if current == nil {
		return Class.New("the profile was changed concurrently; try again")
	}
	return &ConflictError{expected, current, proposed}
}

// archive copies an accepted edit that is about to be overwritten to the
// history. Concurrent operators write identical content, so a conflict means
// that the copy already exists.
func (e *Editor) archive(ctx context.Context, current *profile.Profile) error {
	_, err := e.client.Put(ctx, profile.HistoryKey(current.Name(), current.Edit()), profile.EncodeProfile(current), 0)
	if errors.Is(err, store.ErrConflict) {
		return nil
	}
	return Class.Wrap(err)
}

// History returns the accepted edits of a profile, oldest first.
func (e *Editor) History(ctx context.Context, name string) ([]*profile.Profile, error) {
	current, _, err := e.Profile(ctx, name)
	if err != nil {
		return nil, err
	}
	if current == nil {
		return nil, Class.New("profile %q does not exist", name)
	}
	page, err := e.client.List(ctx, profile.HistoryPrefix(name))
	if err != nil {
		return nil, Class.Wrap(err)
	}
	var out []*profile.Profile
	for _, r := range page.Records() {
		p, err := profile.DecodeProfile(r.Value())
		if err != nil {
			return nil, err
		}
		if p.Edit() < current.Edit() {
			out = append(out, p)
		}
	}
	return append(out, current), nil
}

// PutService writes a service. Its profile must exist.
func (e *Editor) PutService(ctx context.Context, s *profile.Service) (WriteResult, error) {
	p, _, err := e.Profile(ctx, s.Profile())
	if err != nil {
		return WriteResult{}, err
	}
	if p == nil {
		return WriteResult{}, Class.New("service %s refers to profile %q, which does not exist", s.Name(), s.Profile())
	}
	return e.update(ctx, profile.ServiceKey(s.Name()), func([]byte) ([]byte, error) {
		return profile.EncodeService(s), nil
	})
}

// PutCustomer writes a customer's weight and services and preserves its keys.
func (e *Editor) PutCustomer(ctx context.Context, c *profile.Customer) (WriteResult, error) {
	return e.update(ctx, profile.CustomerKey(c.Name()), func(stored []byte) ([]byte, error) {
		merged := c
		if len(stored) > 0 {
			old, err := profile.DecodeCustomer(stored)
			if err != nil {
				return nil, err
			}
			for _, k := range old.Keys() {
				merged = merged.WithKey(k)
			}
		}
		return profile.EncodeCustomer(merged), nil
	})
}

// GrantKey creates a key for a customer. The key itself is returned only here;
// the store holds its digest.
func (e *Editor) GrantKey(ctx context.Context, secret []byte, customer string) (text, id string, accepted WriteResult, err error) {
	text, id, err = key.New()
	if err != nil {
		return "", "", WriteResult{}, err
	}
	granted := profile.NewKey(id, key.Digest(secret, text))
	accepted, err = e.update(ctx, profile.CustomerKey(customer), func(stored []byte) ([]byte, error) {
		c, err := decodeExistingCustomer(customer, stored)
		if err != nil {
			return nil, err
		}
		return profile.EncodeCustomer(c.WithKey(granted)), nil
	})
	return text, id, accepted, err
}

// WithdrawKey permanently withdraws a key.
func (e *Editor) WithdrawKey(ctx context.Context, customer, id string) (WriteResult, error) {
	return e.update(ctx, profile.CustomerKey(customer), func(stored []byte) ([]byte, error) {
		c, err := decodeExistingCustomer(customer, stored)
		if err != nil {
			return nil, err
		}
		next, ok := c.WithKeyWithdrawn(id)
		if !ok {
			return nil, Class.New("customer %s has no key %s", customer, id)
		}
		return profile.EncodeCustomer(next), nil
	})
}

func decodeExistingCustomer(name string, stored []byte) (*profile.Customer, error) {
	if len(stored) == 0 {
		return nil, Class.New("customer %q does not exist", name)
	}
	return profile.DecodeCustomer(stored)
}

// update applies change to the stored record and retries when a concurrent
// write caused a conflict.
func (e *Editor) update(ctx context.Context, recordKey string, change func(stored []byte) ([]byte, error)) (WriteResult, error) {
	for range maxAttempts {
		r, err := e.client.Get(ctx, recordKey)
		if err != nil {
			return WriteResult{}, Class.Wrap(err)
		}
		next, err := change(r.Value())
		if err != nil {
			return WriteResult{}, err
		}
		revision, err := e.client.Put(ctx, recordKey, next, r.Revision())
		if err == nil {
			return WriteResult{0, revision}, nil
		}
		if !errors.Is(err, store.ErrConflict) {
			return WriteResult{}, Class.Wrap(err)
		}
	}
	return WriteResult{}, Class.New("%s keeps being changed by other operators; try again", recordKey)
}
