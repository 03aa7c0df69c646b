package memory

import (
	"context"
	"io"
)

// ErrTooLong means that a body is longer than its limit.
var ErrTooLong = Class.New("body is too long")

// ReadAll reads r to its end, up to limit bytes, which the account holds. The error is
// ErrTooLong, that of Account.Resize or that of r.
func ReadAll(ctx context.Context, r io.Reader, account *Account, limit int64) ([]byte, error) {
	body, err := io.ReadAll(&accountedReader{ctx: ctx, inner: r, account: account, limit: limit})
	if err != nil {
		return nil, err
	}
	return body, nil
}

type accountedReader struct {
	ctx     context.Context
	inner   io.Reader
	account *Account
	total   int64
	limit   int64
}

// Read implements io.Reader.
func (r *accountedReader) Read(p []byte) (int, error) {
	n, err := r.inner.Read(p)
	r.total += int64(n)
	if r.total > r.limit {
		return n, ErrTooLong
	}
	if holdErr := r.account.Resize(r.ctx, r.total); holdErr != nil {
		return n, holdErr
	}
	if err != nil && r.account.Evicted() {
		return n, ErrExhausted
	}
	return n, err
}
