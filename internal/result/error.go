package result

import (
	stderrors "errors"
	"fmt"
	"time"

	"github.com/juju/errors"
)

// Error is an error with a result code.
type Error struct {
	Code       Code          `json:"code"`
	Message    string        `json:"message"`
	RetryAfter time.Duration `json:"retry_after,omitempty"` // suggested delay in nanoseconds; 0 for none
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("%d %s: %s", e.Code, e.Code.Info().Name, e.Message)
}

// New returns an error of code c with a formatted message.
func New(c Code, format string, args ...any) error {
	return errors.Trace(&Error{Code: c, Message: fmt.Sprintf(format, args...)})
}

// NewRetryAfter is like New and also sets the time after which the caller should retry.
func NewRetryAfter(c Code, after time.Duration, format string, args ...any) error {
	return errors.Trace(&Error{Code: c, Message: fmt.Sprintf(format, args...), RetryAfter: after})
}

// From returns the Error that err wraps. For any other error it returns an Error with the
// code Internal, and for nil it returns nil.
func From(err error) *Error {
	if err == nil {
		return nil
	}
	var e *Error
	if stderrors.As(err, &e) {
		return e
	}
	return &Error{Code: Internal, Message: err.Error()}
}

// CodeOf returns the code of From(err), or OK if err is nil.
func CodeOf(err error) Code {
	if err == nil {
		return OK
	}
	return From(err).Code
}
