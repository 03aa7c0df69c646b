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

// AnyEdit accepts whatever edit stands.
const AnyEdit = ^uint64(0)

// maxTries bounds the tries of a change that can be made on any content.
const maxTries = 8

// ConflictError says that another operator's edit came first.
type ConflictError struct {
	expected uint64
	standing *profile.Profile
	wanted   *profile.Profile
}

// Error names both edits.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("conflict: the edit was made against edit %d, but edit %d stands", e.expected, e.standing.Edit())
}

// Standing returns the profile that stands.
func (e *ConflictError) Standing() *profile.Profile { return e.standing }

// Wanted returns the profile that was to be written.
func (e *ConflictError) Wanted() *profile.Profile { return e.wanted }

// Editor changes the configuration in the store for operators.
type Editor struct {
	client store.Client
}

// NewEditor returns an editor.
func NewEditor(client store.Client) *Editor { return &Editor{client: client} }

// Accepted tells what became of a change.
type Accepted struct {
	edit     uint64
	revision store.Revision
}

// Edit returns the number of the edit; zero for records without edits.
func (a Accepted) Edit() uint64 { return a.edit }

// Revision returns the store's revision of the change.
func (a Accepted) Revision() store.Revision { return a.revision }

// Profile returns a profile as it stands; nil means that there is none.
func (e *Editor) Profile(ctx context.Context, name string) (*profile.Profile, store.Revision, error) {
	r, err := e.client.Get(ctx, profile.ProfileKey(name))
	if err != nil || r.Revision() == 0 {
		return nil, 0, Class.Wrap(err)
	}
	p, err := profile.DecodeProfile(r.Value())
	return p, r.Revision(), err
}

// PutProfile accepts an edit if the expected edit still stands. The standing
// content goes to the history first, so that no accepted edit is lost.
func (e *Editor) PutProfile(ctx context.Context, p *profile.Profile, expected uint64) (Accepted, error) {
	standing, revision, err := e.Profile(ctx, p.Name())
	if err != nil {
		return Accepted{}, err
	}
	last := uint64(0)
	if standing != nil {
		last = standing.Edit()
	}
	if expected != AnyEdit && expected != last {
		if standing == nil {
			return Accepted{}, Class.New("there is no profile %q yet; its first edit is made against edit 0", p.Name())
		}
		return Accepted{}, &ConflictError{expected, standing, p}
	}
	next := p.WithEdit(last + 1)
	if standing != nil {
		if err := e.archive(ctx, standing); err != nil {
			return Accepted{}, err
		}
	}
	written, err := e.client.Put(ctx, profile.ProfileKey(p.Name()), profile.EncodeProfile(next), revision)
	if errors.Is(err, store.ErrConflict) && !errors.Is(err, store.ErrUnknown) {
		return Accepted{}, e.conflict(ctx, p, last)
	}
	if err != nil {
		return Accepted{}, Class.Wrap(err)
	}
	return Accepted{next.Edit(), written}, nil
}

func (e *Editor) conflict(ctx context.Context, wanted *profile.Profile, expected uint64) error {
	standing, _, err := e.Profile(ctx, wanted.Name())
	if err != nil {
		return err
	}
	if standing == nil {
		return Class.New("the profile changed at the same time; try again")
	}
	return &ConflictError{expected, standing, wanted}
}

// archive stores the content of an accepted edit that is about to be replaced.
// Racing operators all store the same content, so the first one is enough.
func (e *Editor) archive(ctx context.Context, standing *profile.Profile) error {
	_, err := e.client.Put(ctx, profile.HistoryKey(standing.Name(), standing.Edit()), profile.EncodeProfile(standing), 0)
	if errors.Is(err, store.ErrConflict) {
		return nil
	}
	return Class.Wrap(err)
}

// History returns the accepted edits of a profile, oldest first.
func (e *Editor) History(ctx context.Context, name string) ([]*profile.Profile, error) {
	standing, _, err := e.Profile(ctx, name)
	if err != nil {
		return nil, err
	}
	if standing == nil {
		return nil, Class.New("there is no profile %q", name)
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
		if p.Edit() < standing.Edit() {
			out = append(out, p)
		}
	}
	return append(out, standing), nil
}

// PutService writes a service whose profile exists.
func (e *Editor) PutService(ctx context.Context, s *profile.Service) (Accepted, error) {
	p, _, err := e.Profile(ctx, s.Profile())
	if err != nil {
		return Accepted{}, err
	}
	if p == nil {
		return Accepted{}, Class.New("service %s names profile %q, which does not exist", s.Name(), s.Profile())
	}
	return e.replace(ctx, profile.ServiceKey(s.Name()), func([]byte) ([]byte, error) {
		return profile.EncodeService(s), nil
	})
}

// PutCustomer writes a customer's weight and services, and keeps its keys.
func (e *Editor) PutCustomer(ctx context.Context, c *profile.Customer) (Accepted, error) {
	return e.replace(ctx, profile.CustomerKey(c.Name()), func(present []byte) ([]byte, error) {
		merged := c
		if len(present) > 0 {
			old, err := profile.DecodeCustomer(present)
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

// GrantKey makes a key for a customer. The key itself is only returned here.
func (e *Editor) GrantKey(ctx context.Context, secret []byte, customer string) (text, id string, accepted Accepted, err error) {
	text, id, err = key.New()
	if err != nil {
		return "", "", Accepted{}, err
	}
	granted := profile.NewKey(id, key.Digest(secret, text))
	accepted, err = e.replace(ctx, profile.CustomerKey(customer), func(present []byte) ([]byte, error) {
		c, err := existing(customer, present)
		if err != nil {
			return nil, err
		}
		return profile.EncodeCustomer(c.WithKey(granted)), nil
	})
	return text, id, accepted, err
}

// WithdrawKey withdraws a key for ever.
func (e *Editor) WithdrawKey(ctx context.Context, customer, id string) (Accepted, error) {
	return e.replace(ctx, profile.CustomerKey(customer), func(present []byte) ([]byte, error) {
		c, err := existing(customer, present)
		if err != nil {
			return nil, err
		}
		next, ok := c.WithWithdrawn(id)
		if !ok {
			return nil, Class.New("customer %s has no key %s", customer, id)
		}
		return profile.EncodeCustomer(next), nil
	})
}

func existing(name string, present []byte) (*profile.Customer, error) {
	if len(present) == 0 {
		return nil, Class.New("there is no customer %q", name)
	}
	return profile.DecodeCustomer(present)
}

// replace changes a record whatever stands there, trying again when another
// operator's change came first.
func (e *Editor) replace(ctx context.Context, recordKey string, change func(present []byte) ([]byte, error)) (Accepted, error) {
	for range maxTries {
		r, err := e.client.Get(ctx, recordKey)
		if err != nil {
			return Accepted{}, Class.Wrap(err)
		}
		next, err := change(r.Value())
		if err != nil {
			return Accepted{}, err
		}
		revision, err := e.client.Put(ctx, recordKey, next, r.Revision())
		if err == nil {
			return Accepted{0, revision}, nil
		}
		if !errors.Is(err, store.ErrConflict) {
			return Accepted{}, Class.Wrap(err)
		}
	}
	return Accepted{}, Class.New("others keep changing %s; try again", recordKey)
}
