package failure

import (
	"errors"
	"fmt"

	"github.com/zeebo/errs"
)

// Error is an error with a kind.
type Error struct {
	kind  Kind
	cause error
}

// New returns an error of the kind with a formatted message.
func New(kind Kind, format string, args ...any) *Error {
	return &Error{kind: kind, cause: fmt.Errorf(format, args...)}
}

// Wrap returns an error of the kind that wraps cause in an error class.
func Wrap(kind Kind, class *errs.Class, cause error) *Error {
	return &Error{kind: kind, cause: class.Wrap(cause)}
}

// Error returns the kind's name followed by the message.
func (e *Error) Error() string { return e.kind.String() + ": " + e.cause.Error() }

func (e *Error) Unwrap() error { return e.cause }

func (e *Error) Kind() Kind { return e.kind }

// KindOf returns the kind of the first Error in the chain of err, or Internal if
// there is none.
func KindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.kind
	}
	return Internal
}

// Message returns the message of err without the name of its kind.
func Message(err error) string {
	var e *Error
	if errors.As(err, &e) {
		return e.cause.Error()
	}
	return err.Error()
}
